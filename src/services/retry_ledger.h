#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "balance/retry_budget_settings.h"
#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// What a leader knows of the retries of one service over all routers, in retries of the current window.
struct RetryBudgetView {
  ServiceName service;
  double budget = 0;       ///< what the leader may grant
  double used = 0;         ///< retries that routers reported
  double outstanding = 0;  ///< credits that routers may still use, or may have used unreported
  double assumed = 0;      ///< what routers that this leader doesn't know may have used under earlier leaders
};

/// What a new leader knows of the use of retry budgets under earlier leaders.
struct EarlierRetryUse {
  std::set<NodeName> routers;  ///< routers that may have used credits
  bool lists_all = false;      ///< no others have
  TimePoint reported_from =
      TimePoint::min();  ///< router processes that started by then report all of their router's use
};

/// Leader side of the retry budgets; the router's side is calls::RetryBudget. A credit allows one attempt
/// beyond the first of a call. The ledger grants a credit only if what routers used within the window, the
/// credits that they may still use, and this one stay within the budget. Credits are leased: those of a
/// router without contact count until they have lapsed, and then for one window more, as it may have used
/// them just before. What a new leader can't know counts as used. Used by one thread.
class RetryLedger {
 public:
  RetryLedger(const balance::RetryBudgetSettings& budget, EarlierRetryUse earlier, TimePoint now);

  /// Applies the usage in a router's status. Statuses must be in order.
  void accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Returns the credits for an update that is being sent to the router, and extends its lease.
  /// status_interval: interval at which routers report to this leader.
  wire::RetryCredits creditsFor(const wire::CallRouterStatus& status, Duration status_interval,
                                TimePoint now);
  /// True if retries of the router wait for credits.
  static bool isAwaited(const wire::CallRouterStatus& status);
  /// Removes routers whose usage and credits no longer count.
  void expire(TimePoint now);
  std::vector<RetryBudgetView> view(TimePoint now) const;

 private:
  /// Usage that counts until a time, of an earlier process of a router.
  struct PastUse {
    double retries = 0;
    TimePoint until{};
  };
  struct ServiceUse {
    wire::RetryUse reported;
    TimePoint reported_at{};
    std::uint64_t granted = 0;  ///< wire::RetryGrant::total that was sent last
    std::vector<PastUse> past;
  };
  struct RouterRecord {
    std::uint64_t incarnation = 0;
    TimePoint started_at{};
    TimePoint last_status{};
    TimePoint lease_until{};  ///< no credit is used later
    bool takes_credits = false;
    std::map<ServiceName, ServiceUse> services;
  };
  /// Sums over all routers.
  struct Totals {
    double calls = 0;
    double used = 0;
    double outstanding = 0;
    double legacy_routers = 0;   ///< routers of builds without credits
    double unknown_routers = 0;  ///< routers whose use under earlier leaders isn't known
  };
  struct CachedTotals {
    Totals totals;
    TimePoint at{};
  };

  void startProcess(RouterRecord& record, const wire::CallRouterStatus& status, TimePoint now) const;
  double recentUse(const ServiceUse& use, TimePoint now) const;
  static std::uint64_t creditsHeld(const ServiceUse& use);
  double outstanding(const RouterRecord& record, const ServiceUse& use, TimePoint now) const;
  Totals sum(const ServiceName& service, TimePoint now) const;
  Totals& totals(const ServiceName& service, TimePoint now);
  double budgetFor(const Totals& totals) const;
  double maxPerRouter(double budget) const;
  double assumedUse(double budget, const Totals& totals, TimePoint now) const;
  bool reportsAll(const NodeName& router) const;
  wire::RetryGrant grant(RouterRecord& record, const wire::RetryUse& use, TimePoint now);
  /// Time for which a retry counts after it was sent.
  Duration countedFor() const { return budget_.window + balance::kRetryDelayMargin; }

  balance::RetryBudgetSettings budget_;
  EarlierRetryUse earlier_;
  TimePoint started_at_;
  std::map<NodeName, RouterRecord> routers_;
  std::map<ServiceName, CachedTotals> cached_;
};

}  // namespace ferryrock::services
