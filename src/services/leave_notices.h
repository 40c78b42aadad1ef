#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::services {

/// Who waits for a notice to bind: a question of this member's own shell, or another member's request.
struct NoticeOrigin {
  std::optional<std::uint64_t> question;  ///< of the own shell
  NodeName member;                        ///< otherwise: who asked
  std::uint64_t number = 0;               ///< the asking member's
};

struct LeaveNotice {
  NoticeOrigin origin;
  ReplicaId replica;
  TimePoint deadline{};
  std::optional<LogIndex> revision;  ///< that routers must hold; set once the notice is committed
  std::uint64_t closing = 0;         ///< RouterTables::closings() then
  bool confirming = false;           ///< a quorum is asked whether this member still leads
  std::uint64_t read = 0;
};

/// Notices that replicas leave, until they bind or their time is over. Used by one thread.
class LeaveNotices {
 public:
  LeaveNotice& add(LeaveNotice notice) { return notices_.emplace_back(std::move(notice)); }
  std::vector<LeaveNotice>& all() { return notices_; }
  const std::vector<LeaveNotice>& all() const { return notices_; }
  /// Takes out and returns the notices that the predicate selects.
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
  /// Earliest deadline; TimePoint::max() without a notice.
  TimePoint nextDeadline() const;

 private:
  std::vector<LeaveNotice> notices_;
};

}  // namespace ferryrock::services
