#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::services {

/// Origin of a leave notice, which is answered once the notice binds: a request to this member itself, or a
/// request that another member forwarded.
struct NoticeOrigin {
  std::optional<std::uint64_t> local_request;  ///< request to this member; nullopt: forwarded
  NodeName member;                             ///< member that forwarded the request
  std::uint64_t number = 0;                    ///< number of the request at that member
};

/// Notice that a replica stops taking new calls. It binds once no router in contact may send new calls there.
struct LeaveNotice {
  NoticeOrigin origin;
  ReplicaId replica;
  TimePoint deadline{};
  std::optional<LogIndex> revision;   ///< revision that routers must hold; set once the notice is committed
  std::uint64_t closing_count = 0;    ///< RouterTables::closings() when the revision was set
  bool confirmation_pending = false;  ///< a quorum read that confirms this member's leadership is pending
  std::uint64_t read = 0;             ///< id of that quorum read
};

/// Pending leave notices of replicas; a notice is removed when it binds or its deadline passes. Used by one
/// thread.
class LeaveNotices {
 public:
  LeaveNotice& add(LeaveNotice notice) { return notices_.emplace_back(std::move(notice)); }
  std::vector<LeaveNotice>& all() { return notices_; }
  const std::vector<LeaveNotice>& all() const { return notices_; }
  /// Removes and returns the notices that the predicate selects.
  template <class Predicate>
  std::vector<LeaveNotice> takeIf(Predicate selects) {
    std::vector<LeaveNotice> taken;
    std::vector<LeaveNotice> kept;
    for (LeaveNotice& notice : notices_) {
      (selects(notice) ? taken : kept).push_back(std::move(notice));
    }
    notices_ = std::move(kept);
    return taken;
  }
  /// Returns the earliest deadline; TimePoint::max(): no notice is pending.
  TimePoint nextDeadline() const;

 private:
  std::vector<LeaveNotice> notices_;
};

}  // namespace ferryrock::services
