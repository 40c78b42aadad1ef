#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Counts for metrics.
struct StreamOriginCounts {
  std::uint64_t found = 0;    ///< queries that were answered with an origin
  std::uint64_t unknown = 0;  ///< queries for streams that aren't known here
};

/// Origins of the resumable streams that routers report to this member. They are facts that never change, so
/// that members needn't agree on them: the answer of any one member is right. Kept in memory; the owner
/// stores what accept() returns on disk, so that the origins survive a crash of all members. Used by one
/// thread.
class StreamOriginStore {
 public:
  /// Returns the origins to be stored: those that aren't on disk yet, or will not be there for long.
  wire::StreamOrigins accept(const wire::StreamOrigins& reported, TimePoint now);
  /// Adds origins that an earlier run of the process stored.
  void restore(const wire::StreamOrigins& stored, TimePoint now);
  wire::StreamOriginReply answer(const wire::StreamOriginQuery& query);
  /// Removes streams that haven't been reported for longer than the retention.
  void expire(TimePoint now);

  std::size_t size() const { return origins_.size(); }
  const StreamOriginCounts& counts() const { return counts_; }

  /// Longer than any stream's last report can precede a caller's return: routers repeat reports while a
  /// stream runs, and callers return within the time limits of their routes.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  /// About 200 B each. The oldest are removed beyond this.
  static constexpr std::size_t kMaxStreams = 300'000;

 private:
  struct Entry {
    wire::StreamOrigin origin;
    TimePoint reported_at{};
    TimePoint stored_at{};
  };
  void record(const wire::StreamOrigin& origin, TimePoint now, TimePoint stored_at);
  void removeOldest();

  std::unordered_map<std::string, Entry> origins_;
  /// Streams by the time of each report, oldest first; a repeated report adds another element.
  std::deque<std::pair<TimePoint, std::string>> reports_;
  StreamOriginCounts counts_;
};

}  // namespace ferryrock::services
