#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "balance/retry_budget_settings.h"
#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

using balance::RetryBudgetSettings;

/// What a retry was charged to.
enum class RetryCharge : std::uint8_t {
  OwnShare,  ///< the share of this router's own calls
  Credit,    ///< a credit of the leader
};

/// What one router has used of the retry budget of a service in the current window.
struct RetryUsage {
  std::size_t calls = 0;
  std::size_t own_retries = 0;       ///< charged to the share of the router's own calls
  std::size_t credited_retries = 0;  ///< charged to credits of the leader
  std::size_t credits = 0;           ///< credits that may be used now
};

/// Router side of the retry budgets, which bound the retries of all routers together; the leader's side is
/// services::RetryLedger. A retry is covered by a small share of this router's own calls, which no other
/// router can use, or needs a credit of the leader. Credits are leased: without an update of the
/// leader they lapse, so that the leader may grant them again. Not thread-safe; used by one thread.
class RetryBudget {
 public:
  RetryBudget(const RetryBudgetSettings& settings, std::uint64_t incarnation)
      : settings_(settings), incarnation_(incarnation) {}

  void onCall(const ServiceName& service, TimePoint now);
  /// Charges one retry that is being sent; nullopt: nothing covers it.
  std::optional<RetryCharge> spend(const ServiceName& service, TimePoint now);
  /// Takes back the charge of a retry that has certainly not reached a replica.
  void refund(const ServiceName& service, RetryCharge charge);
  /// True if a retry could be charged now.
  bool covers(const ServiceName& service, TimePoint now);
  /// True if a retry could be charged now, or the leader may still grant a credit for it.
  bool mayRetry(const ServiceName& service, TimePoint now);
  /// True if a leader may grant a credit soon: it is in contact and hasn't refused one of late.
  bool expectsCredit(const ServiceName& service, TimePoint now) const;

  /// The usage of all services for a status. waiting: retries that wait for a credit, by service.
  std::vector<wire::RetryUse> report(const std::map<ServiceName, std::uint32_t>& waiting, TimePoint now);
  /// Records when a status with such a report was sent.
  void onStatusSent(std::uint64_t sequence, TimePoint now);
  /// Applies the credits of an update. Returns the services for whose retries it decides: they may be charged
  /// now, or are refused for a while.
  std::set<ServiceName> accept(const wire::RetryCredits& credits, TimePoint now);
  /// Records an update of a leader whose build grants no credits.
  void onLegacyLeader() { lease_until_.reset(); }
  RetryUsage usage(const ServiceName& service, TimePoint now);

 private:
  struct Account {
    std::deque<TimePoint> calls;
    std::deque<TimePoint> own_retries;
    std::deque<TimePoint> credited_retries;
    std::uint64_t received = 0;  ///< credits granted to this process
    std::uint64_t used = 0;      ///< credits that retries were charged to, less refunds
    std::uint64_t dropped = 0;   ///< credits that lapsed or were returned
    std::uint64_t reported_used = 0;
    bool wanted = false;                        ///< the last report had waiting retries
    std::optional<std::uint64_t> wanted_since;  ///< first status in a row that reported waiting retries
    TimePoint refused_until{};                  ///< the leader has no credit for now
    std::uint64_t held() const { return received - used - dropped; }
  };
  struct SentStatus {
    std::uint64_t sequence = 0;
    TimePoint sent{};
  };

  static void drop(std::deque<TimePoint>& times, TimePoint before);
  Account& current(const ServiceName& service, TimePoint now);
  void dropLapsed(Account& account, TimePoint now);
  bool coveredByOwnShare(const Account& account) const;
  void applyGrant(Account& account, const wire::RetryGrant& grant);
  /// Number of retries sent in each of the latest seconds, latest first.
  static std::vector<std::uint32_t> recentUse(const Account& account, TimePoint now);

  RetryBudgetSettings settings_;
  std::uint64_t incarnation_;
  std::map<ServiceName, Account> accounts_;
  std::deque<SentStatus> sent_statuses_;
  std::optional<TimePoint>
      lease_until_;  ///< credits may be used up to this time; nullopt: no leader grants any
};

}  // namespace ferryrock::calls
