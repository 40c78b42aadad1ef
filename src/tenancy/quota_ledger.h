#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "tenancy/quota_bucket.h"
#include "tenancy/quota_tolerance.h"
#include "wire/service_messages.h"

namespace ferryrock::tenancy {

/// Counts for metrics, over all tenants, in the quotas' units.
struct QuotaCounts {
  double charged = 0;  ///< told by routers as used, less what they gave back
  double granted = 0;  ///< to calls that waited for it
  std::uint64_t refused = 0;
};

/// One leader's account of what tenants use over all routers. Calls of a tenant with much credit run at once
/// and are charged by totals that routers tell every kChargeInterval; once its credit is below half, the
/// tenant is limited: routers ask before each call, so that nothing is granted beyond the credit. Used by one
/// thread.
class QuotaLedger {
 public:
  QuotaLedger(const QuotaTolerance& tolerance, TimePoint now) : tolerance_(tolerance), began_(now) {}

  /// Takes the limits of a catalog; a lower one holds at once, a tenant that is new begins with all of it.
  void setCatalog(const wire::ServiceCatalog& catalog, TimePoint now);
  /// The answer lists a decision for each ask.
  wire::QuotaAnswer accept(const wire::QuotaUse& use, TimePoint now);
  /// Finds out which tenants are limited; true if that has changed.
  bool refresh(TimePoint now);
  const std::vector<TenantName>& limited() const { return limited_; }
  /// Forgets totals of routers that are gone.
  template <class Routers>
  void keepRouters(const Routers& routers) {
    std::erase_if(routers_, [&routers](const auto& item) { return !routers.contains(item.first); });
  }
  /// routers: those that were heard within the last window, as far as all_heard says so. The history of those
  /// that are gone, or have started since, isn't known: that share of the window before this leader is
  /// assumed as used.
  template <class Routers>
  void followRouters(const Routers& routers, bool all_heard) {
    std::size_t told = 0;
    for (const auto& [router, record] : routers) {
      const auto known = routers_.find(router);
      told += known != routers_.end() && known->second.history >= tolerance_.window ? 1 : 0;
    }
    const bool any = all_heard && !routers.empty();
    setUntold(any ? 1 - static_cast<double>(told) / static_cast<double>(routers.size()) : 1);
  }
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Account {
    QuotaBucket bucket;
    bool limited = false;
    bool of_new_leader = false;  ///< what ran before is known by what routers tell alone
    bool filling = false;        ///< of a new leader, that hasn't seen half of the credit yet
    TimePoint limited_since{};
    TimePoint promised{};  ///< credit up to then is told to callers that were refused
  };
  struct RouterTotals {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::map<TenantName, std::int64_t> totals;
    bool told_history = false;
    Duration history{};  ///< before this leader began
  };

  void charge(RouterTotals& known, const wire::QuotaSpent& spent, bool baseline, TimePoint now);
  void takeHistory(const wire::QuotaHistory& history, TimePoint now);
  void setUntold(double share);
  wire::QuotaDecision decide(const wire::QuotaAsk& ask, TimePoint now);
  /// True if the tenant's calls have to ask.
  static bool isShort(Account& account, TimePoint now);
  static Duration promise(Account& account, double amount, TimePoint now);

  QuotaTolerance tolerance_;
  TimePoint began_;
  double untold_ = 1;  ///< share of the routers whose history isn't known
  bool first_catalog_ = true;
  std::map<TenantName, Account> accounts_;
  std::vector<TenantName> limited_;
  std::map<NodeName, RouterTotals> routers_;
  QuotaCounts counts_;
};

}  // namespace ferryrock::tenancy
