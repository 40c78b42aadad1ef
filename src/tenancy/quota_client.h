#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/identifiers.h"
#include "common/random.h"
#include "common/time.h"
#include "tenancy/quota_tolerance.h"
#include "wire/service_messages.h"

namespace ferryrock::tenancy {

struct QuotaClientSettings {
  NodeName router;
  std::uint64_t incarnation = 0;
  QuotaTolerance tolerance;
  std::uint64_t seed = 1;
};

/// Decision on a call's quota credit.
enum class QuotaVerdict : std::uint8_t {
  Granted,
  Pending,      ///< the leader decides; the outcome is returned later
  Exhausted,    ///< the tenant's quota is used up
  Unavailable,  ///< there is no leader, and this router's local share is used up
};

struct QuotaReply {
  QuotaVerdict verdict = QuotaVerdict::Granted;
  std::optional<Duration> retry_after;
  /// Account that a granted call was charged to, passed to returnCredit(). A new account begins with the
  /// first message that reports this router's totals to a new leader.
  std::uint64_t account = 0;
};

/// Outcome of a credit request that was pending.
struct QuotaRequestOutcome {
  std::uint64_t number = 0;
  QuotaReply reply;
};

/// Counters for metrics and logs, since the router's start.
struct QuotaClientCounts {
  std::uint64_t unasked = 0;            ///< calls granted under a leader without asking it
  std::uint64_t local = 0;              ///< calls granted without contact to a leader
  std::uint64_t reruns = 0;             ///< further runs charged to calls that were granted before
  std::uint64_t reports = 0;            ///< full reports sent to leaders
  std::uint64_t confirmed_reports = 0;  ///< full reports that a leader has confirmed
};

/// Router side of the tenants' quotas; the leader's side is QuotaLedger. Without contact to a leader, the
/// router grants its local share of the rate by itself for kMaxLeaderlessTime. The usage of its calls is
/// reported in full to each new leader until that leader confirms the report, and to a leader that was out of
/// contact. Not thread-safe.
class QuotaClient {
 public:
  explicit QuotaClient(const QuotaClientSettings& settings) : settings_(settings), random_(settings.seed) {}

  /// Cost of a call in the quota's unit.
  static std::int64_t costOf(const wire::TenantQuota& quota, std::optional<std::uint64_t> tokens);

  /// number: identifies the call and is never reused. The tenant must have a quota.
  QuotaReply request(std::uint64_t number, const wire::Tenant& tenant, std::int64_t cost, TimePoint now);
  /// Charges another run of a call whose credit was granted before. The cost also reduces what this router
  /// may grant without a leader.
  void chargeRerun(const TenantName& tenant, std::int64_t cost, TimePoint now);
  /// Refunds a call that has certainly not run and won't. Nothing is refunded if another account is open by
  /// now, as that account never charged the call.
  void returnCredit(const TenantName& tenant, std::int64_t cost, std::uint64_t account, TimePoint now);
  /// Ends a call whose credit request is pending; credit that is still granted to it is refunded.
  void abandon(std::uint64_t number);

  /// Applies the leader's update, which lists the limited tenants.
  void onUpdate(const NodeName& leader, const wire::ServiceUpdate& update, TimePoint now);
  std::vector<QuotaRequestOutcome> accept(const wire::QuotaAnswer& answer, TimePoint now);
  /// Decides locally the requests that the leader hasn't answered within the timeout.
  std::vector<QuotaRequestOutcome> tick(TimePoint now);
  /// The message that is due to the leader, if any.
  std::optional<wire::QuotaUse> message(const NodeName& leader, TimePoint now);
  TimePoint nextDeadline() const;
  const QuotaClientCounts& counts() const { return counts_; }

 private:
  struct TenantUsage {
    std::int64_t total = 0;
    TimePoint changed{};
    /// Usage by slots of UsageWindow::kSlot, for the length of a window and of a history slot.
    std::map<std::int64_t, std::int64_t> by_slot;
  };
  struct PendingRequest {
    TenantName tenant;
    wire::TenantQuota quota;
    std::int64_t cost = 0;
    TimePoint since{};
    std::uint64_t account = 0;  ///< account that the leader charges if it grants the request
    bool sent = false;
    bool abandoned = false;
  };
  /// Credit that this router may grant without contact to a leader.
  struct LocalShare {
    double level = 0;
    TimePoint at{};  ///< usage that left the window later than this isn't part of `level`
  };

  /// True if the leader's last update is older than the timeout, which grows with the status interval.
  bool isSilentFor(Duration timeout, TimePoint now) const;
  bool mustRequestCredit(const TenantName& tenant, TimePoint now) const;
  void confirmReport(std::uint64_t report_sequence, TimePoint now);
  /// Records usage by slots, for the next leader and for the time without one.
  void recordUsage(const TenantName& tenant, std::int64_t amount, TimePoint now);
  /// Usage of the tenant at this router that left the window between the two times.
  double usageLeavingWindow(const TenantName& tenant, TimePoint from, TimePoint to) const;
  std::vector<std::int64_t> recentUsage(const TenantUsage& spent, TimePoint now) const;
  void recordCharge(const TenantName& tenant, std::int64_t amount, TimePoint now);
  QuotaReply decideLocally(const TenantName& tenant, const wire::TenantQuota& quota, std::int64_t cost,
                           TimePoint now);

  QuotaClientSettings settings_;
  QuotaClientCounts counts_;
  Random random_;
  NodeName leader_;
  std::optional<TimePoint> last_leader_contact_;
  bool leader_reads_histories_ = true;
  bool leader_confirms_reports_ = false;
  Duration status_interval_{};  ///< requested by the leader; zero: the default
  std::optional<TimePoint> first_update_at_;
  std::set<TenantName> limited_;
  /// Tenants that the previous leader limited, which request credit until the new leader had time to learn of
  /// their usage.
  std::set<TenantName> inherited_limited_;
  TimePoint inherited_until_{};
  std::map<TenantName, TenantUsage> usage_;
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::map<TenantName, LocalShare> local_shares_;
  std::uint64_t sequence_ = 0;
  std::uint64_t account_ = 0;       ///< see QuotaReply::account
  bool full_report_due_ = false;    ///< the leader may lack totals of this router
  std::uint64_t first_report_ = 0;  ///< lowest sequence of a full report that the leader may confirm
  bool awaits_confirmation_ = false;
  TimePoint report_sent_at_{};
  bool requests_due_ = false;
  TimePoint charges_due_ = TimePoint::max();
};

}  // namespace ferryrock::tenancy
