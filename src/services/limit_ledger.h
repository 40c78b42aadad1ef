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
  std::uint64_t reserved = 0;  ///< granted in advance, for a later time; part of `granted`
  std::uint64_t refused = 0;
  std::uint64_t returned = 0;
};

/// One leader's account of the call rates that replicas accept from all routers together. Routers report the
/// limits that they observe in responses of replicas, and request credit before they send a call to a limited
/// replica. In any period the ledger grants no more than the limit allows plus a burst (kMinBurst,
/// kBurstSeconds). Grants of earlier leaders aren't known, so an account starts without credit. Used by one
/// thread.
class LimitLedger {
 public:
  /// Returns a reply with one decision for each credit request; without decisions for a duplicate message.
  wire::LimitReply accept(const wire::LimitRequest& request, TimePoint now);
  /// Returns and clears the replicas whose published limit started, changed or ended since the last call,
  /// with the limit in calls per second; nullopt: no limit.
  std::vector<std::pair<ReplicaId, std::optional<double>>> takeChanges();
  /// Removes limits that ended more than 60 s ago.
  void expire(TimePoint now);

  /// Returns the number of limits that are in force.
  std::size_t activeCount() const;
  const LimitCounts& counts() const { return counts_; }

 private:
  struct Account {
    double per_second = 0;
    double credit = 0;                ///< in calls; below 0: granted in advance
    TimePoint refilled_at{};          ///< when credit was last refilled
    TimePoint observed_at{};          ///< latest observation of the limit by any router
    std::optional<TimePoint> ended;   ///< when the limit ended; nullopt: in force
    TimePoint announced_until{};      ///< end of the retry times announced to refused callers
    std::optional<double> published;  ///< rate published to routers, in calls per second
    TimePoint published_at{};         ///< when `published` was last changed
  };
  struct Requester {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  bool acceptSequence(const wire::LimitRequest& request);
  void observeLimit(const ReplicaId& replica, double per_second, TimePoint at, TimePoint now);
  void observeNoLimit(const ReplicaId& replica, TimePoint sent);
  void returnCredit(const ReplicaId& replica, TimePoint now);
  wire::LimitDecision decide(const wire::LimitCreditRequest& ask, TimePoint now);
  static void refill(Account& account, TimePoint now);
  static double rateOf(const Account& account);
  void evictOldest();

  std::map<ReplicaId, Account> accounts_;
  std::map<NodeName, Requester> requesters_;
  std::vector<ReplicaId> changed_;
  LimitCounts counts_;
};

}  // namespace ferryrock::services
