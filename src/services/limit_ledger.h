#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Counts for metrics.
struct LimitCounts {
  std::uint64_t granted = 0;
  std::uint64_t reserved = 0;  ///< of those granted, for a later time
  std::uint64_t refused = 0;
  std::uint64_t returned = 0;
};

/// One leader's account of the calls that replicas take a second from all routers together. Routers tell what
/// replicas named, and ask before they send a call there; what is granted in any time is no more than the
/// limit allows and kBurst. What earlier leaders granted isn't known: an account begins without credit. Used
/// by one thread.
class LimitLedger {
 public:
  /// The answer lists a decision for each ask.
  wire::LimitReply accept(const wire::LimitRequest& request, TimePoint now);
  /// Replicas whose limit began, ended or became a different one for routers, since this was last asked; with
  /// the calls a second, nullopt: no limit.
  std::vector<std::pair<ReplicaId, std::optional<double>>> takeChanges();
  /// Forgets what is old enough to be of no use.
  void expire(TimePoint now);

  /// Limits that hold.
  std::size_t limited() const;
  const LimitCounts& counts() const { return counts_; }

 private:
  struct Account {
    double per_second = 0;
    double credit = 0;  ///< calls; below 0: promised for later
    TimePoint credited{};
    TimePoint named{};               ///< last, by any router
    std::optional<TimePoint> ended;  ///< no limit since then
    TimePoint promised{};            ///< refused callers were told times up to this one
    std::optional<double> told;      ///< to routers
    TimePoint told_at{};
  };
  struct Requester {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  bool isNew(const wire::LimitRequest& request);
  void name(const ReplicaId& replica, double per_second, TimePoint at, TimePoint now);
  void end(const ReplicaId& replica, TimePoint sent);
  void giveBack(const ReplicaId& replica, TimePoint now);
  wire::LimitDecision decide(const wire::LimitAsk& ask, TimePoint now);
  static void refill(Account& account, TimePoint now);
  static double rateOf(const Account& account);
  void keepBounded();

  std::map<ReplicaId, Account> accounts_;
  std::map<NodeName, Requester> requesters_;
  std::vector<ReplicaId> changed_;
  LimitCounts counts_;
};

}  // namespace ferryrock::services
