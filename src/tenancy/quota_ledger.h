#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "tenancy/quota_bucket.h"
#include "tenancy/quota_tolerance.h"
#include "wire/service_messages.h"

namespace ferryrock::tenancy {

/// Counters for metrics, over all tenants, in the units of their quotas.
struct QuotaCounts {
  double charged = 0;  ///< usage reported by routers, less refunds
  double granted = 0;  ///< credit granted to calls that requested it
  std::uint64_t refused = 0;
  double held = 0;                         ///< usage that routers out of contact are assumed to repeat
  std::size_t routers_out_of_contact = 0;  ///< routers whose usage is held
};

/// Leader side of the tenants' quotas: usage over all routers. Calls of a tenant with much credit run at once
/// and are charged through the totals that routers report every kChargeInterval. Once a tenant's credit is
/// low, the tenant is limited: routers request credit before each call, so that nothing is granted beyond the
/// credit. A router out of contact may grant again what leaves the window of its own
/// usage; the ledger holds that usage until the router reports again. Not thread-safe.
class QuotaLedger {
 public:
  QuotaLedger(const QuotaTolerance& tolerance, TimePoint now) : tolerance_(tolerance), started_at_(now) {}

  /// Applies the limits of a catalog. A lower limit takes effect at once; a tenant that is added later starts
  /// with its whole burst as credit.
  void setCatalog(const wire::ServiceCatalog& catalog, TimePoint now);
  /// Applies a router's message; the response has a decision for each credit request.
  wire::QuotaAnswer accept(const wire::QuotaUse& use, TimePoint now);
  /// Updates the list of limited tenants; returns true if it has changed.
  bool refresh(TimePoint now);
  const std::vector<TenantName>& limited() const { return limited_; }
  /// Removes the totals of routers that are gone, unless their usage is still held.
  template <class Routers>
  void keepRouters(const Routers& routers) {
    std::erase_if(routers_, [&routers](const auto& item) {
      return !routers.contains(item.first) && !item.second.out_of_contact;
    });
  }
  /// Updates which routers are out of contact. routers: by name, with `last_contact`. timeout: time without
  /// contact after which a router may grant credit without this leader.
  template <class Routers>
  void updateContacts(const Routers& routers, Duration timeout, TimePoint now) {
    for (const auto& [router, record] : routers) {
      recordContact(router, record.last_contact, now);
    }
    holdUsage(timeout, now);
    updateMissingShares(timeout, now);
  }
  /// Updates the share of routers whose history is missing. routers: those from which a message was received
  /// within the last window; is_complete: that list is complete. The history of a router that is gone, or has
  /// restarted since, is unknown: its share of the window before this leader is assumed to have been used.
  template <class Routers>
  void updateRouterHistory(const Routers& routers, bool is_complete) {
    std::size_t with_history = 0;
    for (const auto& [router, record] : routers) {
      const auto known = routers_.find(router);
      with_history += known != routers_.end() && known->second.history >= tolerance_.window ? 1 : 0;
    }
    const bool any = is_complete && !routers.empty();
    setUnreportedShare(any ? 1 - static_cast<double>(with_history) / static_cast<double>(routers.size()) : 1);
  }
  const QuotaCounts& counts() const { return counts_; }

 private:
  struct Account {
    QuotaBucket bucket;
    bool limited = false;
    bool from_first_catalog = false;  ///< earlier usage is known from the routers' reports only
    bool ramping_up = false;          ///< set for a new account until its credit has once been enough
    TimePoint limited_since{};
    TimePoint reserved_until{};  ///< retry times up to this one have been given to refused callers
  };
  /// Usage of one tenant at one router.
  struct RouterUsage {
    std::optional<std::int64_t> total;  ///< nullopt: not reported so far
    UsageWindow recent;
    double held = 0;  ///< usage assumed for each window while the router is out of contact
  };
  struct RouterRecord {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::map<TenantName, RouterUsage> tenants;
    std::uint64_t report_sequence = 0;  ///< of the last full report; 0: none of this incarnation
    Duration history{};                 ///< time before this leader's start that the history covers
    TimePoint last_contact{};
    bool out_of_contact = false;
  };

  void recordContact(const NodeName& router, TimePoint last_contact, TimePoint now);
  void holdUsage(Duration timeout, TimePoint now);
  void holdUsageOf(RouterRecord& record, Duration timeout, TimePoint now);
  void updateMissingShares(Duration timeout, TimePoint now);
  RouterUsage& usageOf(RouterRecord& record, const TenantName& tenant) const;
  static void recordUsage(RouterUsage& usage, double amount, TimePoint at, TimePoint now);
  void charge(RouterRecord& record, const wire::QuotaUsageTotal& spent, bool baseline, TimePoint now);
  void applyHistory(RouterRecord& record, const wire::QuotaHistory& history, TimePoint now);
  void setUnreportedShare(double share);
  wire::QuotaDecision decide(RouterRecord& record, const wire::QuotaCreditRequest& ask, TimePoint now);
  static double limitThreshold(const QuotaLimit& limit);
  /// True if the tenant's calls have to request credit.
  static bool shouldLimit(Account& account, TimePoint now);
  static Duration reserveRetryTime(Account& account, double amount, TimePoint now);

  QuotaTolerance tolerance_;
  TimePoint started_at_;
  double unreported_share_ = 1;  ///< share of the routers whose history is unknown
  bool first_catalog_ = true;
  std::map<TenantName, Account> accounts_;
  std::vector<TenantName> limited_;
  std::map<NodeName, RouterRecord> routers_;
  /// Routers that may have run calls before this leader's start, with the time of their last contact to any
  /// member.
  std::map<NodeName, TimePoint> earlier_routers_;
  QuotaCounts counts_;
};

}  // namespace ferryrock::tenancy
