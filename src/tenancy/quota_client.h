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

/// Whether a call's credit is there.
enum class QuotaVerdict : std::uint8_t {
  Granted,
  Asked,        ///< the leader decides; resolved later
  Spent,        ///< the tenant's quota is used up
  Unavailable,  ///< no leader decides, and this router's part for such times is used up
};

struct QuotaReply {
  QuotaVerdict verdict = QuotaVerdict::Granted;
  std::optional<Duration> retry_after;
  /// The account that a granted call was charged to, for giveBack(): one for each leader, from the message on
  /// that told it this router's totals.
  std::uint64_t account = 0;
};

/// The reply to an ask.
struct QuotaResolved {
  std::uint64_t number = 0;
  QuotaReply reply;
};

/// One router's part in the tenants' quotas; the leader's is QuotaLedger. While no leader is heard it grants
/// its part of the rate by itself. Used by one thread.
class QuotaClient {
 public:
  explicit QuotaClient(const QuotaClientSettings& settings) : settings_(settings), random_(settings.seed) {}

  /// Cost of a call in the quota's unit.
  static std::int64_t costOf(const wire::TenantQuota& quota, std::optional<std::uint64_t> tokens);

  /// number: the call's, never used again. The tenant has a quota.
  QuotaReply request(std::uint64_t number, const wire::Tenant& tenant, std::int64_t cost, TimePoint now);
  /// A call that was granted its credit is run once more. What this router may grant without a leader shrinks
  /// by it.
  void chargeAgain(const TenantName& tenant, std::int64_t cost, TimePoint now);
  /// A call that was granted its credit has certainly not run and won't. If another account is open by now,
  /// nothing is given back: that account never charged the call.
  void giveBack(const TenantName& tenant, std::int64_t cost, std::uint64_t account, TimePoint now);
  /// The call that asked has ended; what may still be granted to it is given back.
  void abandon(std::uint64_t number);

  /// The leader tells who is limited.
  void onUpdate(const NodeName& leader, const wire::ServiceUpdate& update, TimePoint now);
  std::vector<QuotaResolved> accept(const wire::QuotaAnswer& answer, TimePoint now);
  /// Asks that the leader hasn't answered in time are decided here.
  std::vector<QuotaResolved> tick(TimePoint now);
  /// What the leader is to hear now.
  std::optional<wire::QuotaUse> message(const NodeName& leader, TimePoint now);
  TimePoint nextDeadline() const;

 private:
  struct Spent {
    std::int64_t total = 0;
    TimePoint changed{};
    std::map<std::int64_t, std::int64_t>
        by_second;  ///< what ran, by whole seconds, as far as a window reaches
  };
  struct Ask {
    TenantName tenant;
    wire::TenantQuota quota;
    std::int64_t cost = 0;
    TimePoint since{};
    std::uint64_t account = 0;  ///< that the leader charges if it grants
    bool sent = false;
    bool abandoned = false;
  };
  /// What this router may grant while no leader is heard.
  struct OwnPart {
    double level = 0;
    TimePoint at{};
  };

  bool leaderSilent(TimePoint now) const;
  /// Keeps in mind what ran, for the next leader.
  void remember(const TenantName& tenant, std::int64_t amount, TimePoint now);
  /// What this router ran for the tenant and what left the window between the two moments.
  double rolledOff(const TenantName& tenant, TimePoint from, TimePoint to) const;
  std::vector<std::int64_t> recent(const Spent& spent, TimePoint now) const;
  void spend(const TenantName& tenant, std::int64_t amount, TimePoint now);
  QuotaReply decideAlone(const TenantName& tenant, const wire::TenantQuota& quota, std::int64_t cost,
                         TimePoint now);

  QuotaClientSettings settings_;
  Random random_;
  NodeName leader_;
  std::optional<TimePoint> leader_heard_;
  bool leader_reads_histories_ = true;
  std::optional<TimePoint> began_;
  std::set<TenantName> limited_;
  std::map<TenantName, Spent> spent_;
  std::map<std::uint64_t, Ask> asks_;
  std::map<TenantName, OwnPart> own_parts_;
  std::uint64_t sequence_ = 0;
  std::uint64_t account_ = 0;  ///< see QuotaReply
  bool whole_due_ = false;     ///< the leader is new and knows no totals of this router
  bool asks_due_ = false;
  TimePoint charges_due_ = TimePoint::max();
};

}  // namespace ferryrock::tenancy
