#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::load {

/// One line of the fault log that tools/fleet writes.
struct FaultRecord {
  WallMilliseconds wall_ms = 0;
  std::string action;  ///< "up", "kill", "pause", "resume", "cut", "heal", "restart", "stop", "down"; of
                       ///< engines also "leave", "return", "drain", "undrain"
  std::string name;    ///< of the process
  std::string url;     ///< its address for callers; empty if callers don't meet it
};

/// What was done to the processes of a fleet, and when: the failures that were caused on purpose.
/// A planned stop is no failure: it excuses nothing.
class FaultHistory {
 public:
  FaultHistory() = default;
  explicit FaultHistory(std::vector<FaultRecord> records);
  /// Reads JSON lines. Throws Error UnreadableFile or MalformedBody.
  static FaultHistory fromFile(const std::string& file);

  /// True if the process at this address was dead, paused or cut off at any time within [from, to].
  bool disturbed(const std::string& url, WallMilliseconds from, WallMilliseconds to) const;
  /// When a process named so was last killed within [from, to]; 0 if it wasn't.
  WallMilliseconds lastKill(const std::string& name, WallMilliseconds from, WallMilliseconds to) const;
  /// Since when an engine had been leaving at this moment: by the action "leave" or "drain", until "return",
  /// "undrain" or "restart".
  std::optional<WallMilliseconds> leavingSince(const std::string& name, WallMilliseconds at) const;
  /// How many times an engine began to leave.
  std::uint64_t leavingCount() const;
  /// When the last disturbance of the process at this address within [from, to] ended: `to` if it lasts,
  /// `from` if there was none.
  WallMilliseconds undisturbedSince(const std::string& url, WallMilliseconds from, WallMilliseconds to) const;
  /// Sorted by time.
  const std::vector<FaultRecord>& records() const { return records_; }
  /// True if the process at this address was stopped as planned, and not yet started again, at any time
  /// within [from, to].
  bool stopped(const std::string& url, WallMilliseconds from, WallMilliseconds to) const;
  std::size_t size() const { return records_.size(); }

 private:
  /// True if an action that begins so, up to what ends it, overlaps [from, to].
  bool overlaps(const std::string& url, WallMilliseconds from, WallMilliseconds to,
                const std::function<bool(const std::string& action)>& begins) const;
  /// When the disturbance that the record began ended; nothing if it lasts.
  std::optional<WallMilliseconds> endOfDisturbance(std::vector<FaultRecord>::const_iterator begin) const;

  std::vector<FaultRecord> records_;
};

}  // namespace ferryrock::load
