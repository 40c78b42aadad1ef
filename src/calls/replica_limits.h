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

/// Outcome of a credit request.
struct LimitRequestOutcome {
  enum class Verdict : std::uint8_t {
    Granted,     ///< the call may be sent to the replica from `at` on
    Refused,     ///< no credit is available before `at`
    Unanswered,  ///< no leader decided in time
  };
  std::uint64_t request_number = 0;
  Verdict verdict = Verdict::Unanswered;
  TimePoint at{};
};

/// Counters for metrics.
struct ReplicaLimitCounts {
  std::uint64_t asked = 0;
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t returned = 0;
  std::uint64_t sent = 0;          ///< calls sent to replicas with a rate limit
  std::uint64_t sent_locally = 0;  ///< part of `sent` on the local allowance, without a leader
};

/// One router's part in enforcing the rate limits that replicas set for all routers together; the leader's
/// part is services::LimitLedger. A call to such a replica needs a credit from the leader. While there is no
/// contact with a leader, the router uses its local allowance: a small share of the limit with a random start
/// value, so that all routers together stay below the limit. Limits are kept per replica incarnation and
/// apart from the replica table, which a new leader sends afresh. Not thread-safe; used by one thread.
class ReplicaLimits {
 public:
  explicit ReplicaLimits(const ReplicaLimitsSettings& settings)
      : settings_(settings), random_(settings.seed) {}

  enum class Change : std::uint8_t {
    None,
    Added,    ///< the replica had no limit before
    Changed,  ///< the limit has another value
    Ended,    ///< the replica no longer has a limit
  };

  /// Records a limit stated in the headers of a response. If the order of two responses isn't known, the
  /// lower limit applies. sent: time at which the call that was answered was sent; nullopt: unknown.
  Change recordLimit(const ReplicaId& replica, double per_second, std::optional<TimePoint> sent,
                     TimePoint now);
  /// Records a response that states no limit. It ends a limit only if the call was sent after the limit was
  /// last stated, since responses may arrive out of order.
  Change recordNoLimit(const ReplicaId& replica, TimePoint sent);
  /// Records a limit that the leader learned from other routers.
  Change onLeaderLimit(const ReplicaId& replica, double per_second, TimePoint now);
  /// Removes a limit because another router got a response without one, as published by the leader. If this
  /// router has since received the limit again, the next response will restore it.
  void onLeaderLimitEnd(const ReplicaId& replica) { limits_.erase(replica); }
  /// Removes the limit of an incarnation that has ended.
  void forget(const ReplicaId& replica) { limits_.erase(replica); }

  bool isLimited(const ReplicaId& replica) const { return limits_.contains(replica); }
  /// nullopt: the replica has no limit.
  std::optional<double> limitOf(const ReplicaId& replica) const;
  std::size_t size() const { return limits_.size(); }

  /// Records contact with a leader. grants: the leader's build decides on credit requests.
  void onLeader(bool grants, std::uint32_t routers, TimePoint now);
  /// True if a call without a credit of its own may be sent to the replica now.
  bool admits(const ReplicaId& replica, TimePoint now);
  bool hasSpareCredit(const ReplicaId& replica, TimePoint now) const;
  /// Records that a call without a credit of its own is sent to the replica.
  void onSent(const ReplicaId& replica, TimePoint now);
  /// Records that a call with a credit of its own is sent.
  void onSentWithCredit() { ++counts_.sent; }
  /// Requests a credit for a call that can wait for the given time; nullopt: no contact with a leader.
  std::optional<std::uint64_t> requestCredit(const ReplicaId& replica, Duration wait, TimePoint now);
  /// Requests at intervals a credit that any call may use. This way the replica is used even while others can
  /// take the calls, and the end of its limit is noticed.
  void requestSpareCredit(const ReplicaId& replica, TimePoint now);
  /// Abandons the request of a call that has ended. A credit that is still granted to it is returned.
  void abandon(std::uint64_t request_number);
  /// Returns a credit that wasn't used, or whose call certainly wasn't sent.
  void returnCredit(const ReplicaId& replica);
  std::vector<LimitRequestOutcome> accept(const wire::LimitReply& reply, TimePoint now);
  /// Returns the outcomes of requests that no leader answered in time.
  std::vector<LimitRequestOutcome> tick(TimePoint now);
  /// Returns the message for the leader, if there is anything to send.
  std::optional<wire::LimitRequest> message(TimePoint now);
  TimePoint nextDeadline() const;
  const ReplicaLimitCounts& counts() const { return counts_; }

  /// A granted credit expires if it isn't used within this time.
  static constexpr Duration kCreditTtl = std::chrono::seconds(1);

 private:
  struct Limit {
    double per_second = 0;
    TimePoint stated_at{};                ///< time of the last response that stated this value
    TimePoint any_stated_at{};            ///< time of the last response that stated any value
    std::optional<TimePoint> spare_from;  ///< start of the validity of a credit that any call may use
    TimePoint next_spare_request{};
    double local_allowance = 0;  ///< number of calls that may be sent without a leader
    TimePoint allowance_updated_at{};
    std::optional<TimePoint>
        allowance_period;  ///< leaderless period of the start value, see leaderlessSince()
  };
  struct CreditRequest {
    ReplicaId replica;
    TimePoint since{};
    Duration wait{};
    bool spare = false;
    bool sent = false;
    bool abandoned = false;
  };

  bool leaderTimedOut(TimePoint now) const;
  TimePoint leaderlessSince() const;
  Limit& addLimit(const ReplicaId& replica, double per_second, TimePoint now);
  void queueReport(const ReplicaId& replica, std::optional<double> per_second, TimePoint at);
  Duration spareInterval(const Limit& limit) const;
  void accrueLocalAllowance(Limit& limit, TimePoint now);
  bool hasSpare(const Limit& limit, TimePoint now) const;
  std::optional<LimitRequestOutcome> resolve(std::uint64_t number, const CreditRequest& pending,
                                             const wire::LimitDecision& decision, TimePoint now);
  void enforceBounds();

  ReplicaLimitsSettings settings_;
  Random random_;
  std::map<ReplicaId, Limit> limits_;
  std::optional<TimePoint> last_leader_contact_;
  bool leader_grants_ = false;
  std::uint32_t routers_ = 1;
  std::map<std::uint64_t, CreditRequest> requests_;
  struct LimitReport {
    std::optional<double> per_second;  ///< nullopt: the limit has ended
    TimePoint at{};
  };
  std::map<ReplicaId, LimitReport> pending_reports_;  ///< pending reports to the leader
  std::vector<ReplicaId> returned_;
  std::uint64_t next_request_ = 1;
  std::uint64_t sequence_ = 0;
  ReplicaLimitCounts counts_;
};

}  // namespace ferryrock::calls
