#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "calls/call.h"
#include "common/random.h"

namespace ferryrock::calls {

struct ReplicaLimitsSettings {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 1;
};

/// An ask for credit that has ended.
struct LimitResolved {
  enum class Verdict : std::uint8_t {
    Granted,     ///< the call may be sent there from `at` on
    Refused,     ///< there is no credit for it before `at`
    Unanswered,  ///< no leader decides
  };
  std::uint64_t ask = 0;
  Verdict verdict = Verdict::Unanswered;
  TimePoint at{};
};

/// Counts for metrics.
struct ReplicaLimitCounts {
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t returned = 0;
  std::uint64_t sent = 0;   ///< to replicas with a limit
  std::uint64_t alone = 0;  ///< of those, by this router's own part, without a leader
};

/// One router's part in the limits that replicas name for all routers together; the leader's is
/// services::LimitLedger. A call for such a replica needs a credit of the leader. While none is heard, the
/// router goes by its own part of the limit: a small one, drawn so that all routers together stay below the
/// limit. Kept by the replica's life and apart from the replica table, which a new leader lists anew. Used by
/// one thread.
class ReplicaLimits {
 public:
  explicit ReplicaLimits(const ReplicaLimitsSettings& settings)
      : settings_(settings), random_(settings.seed) {}

  enum class Change : std::uint8_t {
    None,
    Named,    ///< the replica had no limit before
    Changed,  ///< another value
    Ended,    ///< it has none any more
  };

  /// The head of an answer names a limit. Of two answers whose order isn't known the lower limit holds.
  /// sent: when the answered call left; nullopt: not known.
  Change name(const ReplicaId& replica, double per_second, std::optional<TimePoint> sent, TimePoint now);
  /// An answer names none. It ends a limit only if the call left after that was last named: answers may
  /// arrive in another order than they were written in.
  Change end(const ReplicaId& replica, TimePoint sent);
  /// The leader tells that other routers heard a limit.
  Change onTold(const ReplicaId& replica, double per_second, TimePoint now);
  /// The leader tells that another router was answered without one. If this router heard a limit named since,
  /// the next answer names it again.
  void onToldEnd(const ReplicaId& replica) { limits_.erase(replica); }
  /// The life is over.
  void forget(const ReplicaId& replica) { limits_.erase(replica); }

  bool isLimited(const ReplicaId& replica) const { return limits_.contains(replica); }
  /// nullopt: it named none.
  std::optional<double> limitOf(const ReplicaId& replica) const;
  std::size_t size() const { return limits_.size(); }

  /// An update of a leader came. grants: its build decides on asks.
  void onLeader(bool grants, std::uint32_t routers, TimePoint now);
  /// True if a call without a credit of its own may be sent to the replica now.
  bool admits(const ReplicaId& replica, TimePoint now);
  bool hasSpareCredit(const ReplicaId& replica, TimePoint now) const;
  /// A call without a credit of its own is sent there.
  void onSent(const ReplicaId& replica, TimePoint now);
  /// A call with a credit of its own is sent there.
  void onSentWithCredit() { ++counts_.sent; }
  /// Asks the leader for credit for a call that can wait so long; nullopt: no leader is heard.
  std::optional<std::uint64_t> ask(const ReplicaId& replica, Duration wait, TimePoint now);
  /// Asks for a credit that any call may use, now and then, so that the replica is used at all while others
  /// can take the calls, and is heard to end its limit.
  void askSpare(const ReplicaId& replica, TimePoint now);
  /// The call of the ask has ended; what may still be granted to it is given back.
  void abandon(std::uint64_t ask);
  /// A credit that wasn't used, or whose sending certainly wasn't made.
  void giveBack(const ReplicaId& replica);
  std::vector<LimitResolved> accept(const wire::LimitReply& reply, TimePoint now);
  /// Asks that no leader has answered in time.
  std::vector<LimitResolved> tick(TimePoint now);
  /// What the leader is to hear now.
  std::optional<wire::LimitRequest> message(TimePoint now);
  TimePoint nextDeadline() const;
  const ReplicaLimitCounts& counts() const { return counts_; }

  /// A granted credit that isn't used by then has lapsed.
  static constexpr Duration kCreditLasts = std::chrono::seconds(1);

 private:
  struct Limit {
    double per_second = 0;
    TimePoint named{};                    ///< this value, last
    TimePoint heard{};                    ///< any value, last
    std::optional<TimePoint> spare_from;  ///< a credit that any call may use
    TimePoint next_spare_ask{};
    double own_part = 0;  ///< calls that may be sent without a leader
    TimePoint own_part_at{};
    std::optional<TimePoint> own_part_of;  ///< the silence that it was drawn for, see silenceBegan()
  };
  struct Ask {
    ReplicaId replica;
    TimePoint since{};
    Duration wait{};
    bool spare = false;
    bool sent = false;
    bool abandoned = false;
  };

  bool leaderSilent(TimePoint now) const;
  TimePoint silenceBegan() const;
  Limit& addLimit(const ReplicaId& replica, double per_second, TimePoint now);
  void tell(const ReplicaId& replica, std::optional<double> per_second, TimePoint at);
  Duration spareInterval(const Limit& limit) const;
  void growOwnPart(Limit& limit, TimePoint now);
  bool hasSpare(const Limit& limit, TimePoint now) const;
  std::optional<LimitResolved> resolve(std::uint64_t number, const Ask& ask,
                                       const wire::LimitDecision& decision, TimePoint now);
  void keepBounded();

  ReplicaLimitsSettings settings_;
  Random random_;
  std::map<ReplicaId, Limit> limits_;
  std::optional<TimePoint> leader_heard_;
  bool leader_grants_ = false;
  std::uint32_t routers_ = 1;
  std::map<std::uint64_t, Ask> asks_;
  struct News {
    std::optional<double> per_second;  ///< nullopt: the limit has ended
    TimePoint at{};
  };
  std::map<ReplicaId, News> news_;  ///< for the leader
  std::vector<ReplicaId> returned_;
  std::uint64_t next_ask_ = 1;
  std::uint64_t sequence_ = 0;
  ReplicaLimitCounts counts_;
};

}  // namespace ferryrock::calls
