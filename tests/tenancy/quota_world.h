#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/random.h"
#include "tenancy/quota_bucket.h"
#include "tenancy/quota_client.h"
#include "tenancy/quota_ledger.h"

/// Simulation of quotas under load: many routers, and a leader that may be lost, on a simulated clock.
namespace ferryrock::tenancy {

inline constexpr TimePoint kStart{std::chrono::seconds(1000)};
inline const QuotaTolerance kTolerance{std::chrono::seconds(8), 0.1, 11'000};

inline wire::Tenant limitedTenant(double per_second, double burst) {
  wire::Tenant tenant;
  tenant.name = TenantName("a");
  tenant.quota = wire::TenantQuota{wire::QuotaUnit::Tokens, per_second, burst, 200};
  return tenant;
}

inline wire::ServiceCatalog catalogOf(const wire::Tenant& tenant) {
  wire::ServiceCatalog catalog;
  catalog.has_tenants = true;
  catalog.tenants = {tenant};
  return catalog;
}

struct Charge {
  TimePoint at{};
  double amount = 0;
};

inline double inWindow(const std::vector<Charge>& charges, TimePoint begin, Duration window) {
  double sum = 0;
  for (const Charge& charge : charges) {
    sum += charge.at >= begin && charge.at <= begin + window ? charge.amount : 0;
  }
  return sum;
}

/// Time from a leader's decision until every router has it: a round of updates to 300 routers, and the
/// network delay.
inline constexpr Duration kUpdatePropagation = std::chrono::milliseconds(80);

/// Interval of the statuses by which members know the routers.
inline constexpr Duration kStatusPeriod = std::chrono::milliseconds(250);

/// Contact of a router, as members know it from its statuses.
struct RouterContact {
  TimePoint last_contact{};
};

/// Routers and a leader that exchange messages on a simulated clock. Every member knows the routers'
/// contacts.
class QuotaSimulation {
 public:
  QuotaSimulation(std::size_t routers, const wire::Tenant& tenant, const QuotaTolerance& tolerance,
                  std::uint64_t seed)
      : tenant_(tenant),
        tolerance_(tolerance),
        random_(seed),
        exact_({tenant.quota->per_second, tenant.quota->burst}, tenant.quota->burst, kStart) {
    for (std::size_t i = 0; i < routers; ++i) {
      QuotaClientSettings settings;
      settings.router = NodeName("edge-" + std::to_string(i));
      settings.incarnation = i + 1;
      settings.tolerance = tolerance;
      settings.seed = seed + i;
      clients_.emplace_back(settings);
      settings_.push_back(settings);
    }
    cut_off_.resize(routers);
    loses_report_.resize(routers);
    elect();
    ledger_->setCatalog(wire::ServiceCatalog{}, now_);
    ledger_->setCatalog(catalogOf(tenant_), now_);
    update_delay_ = Duration::zero();
    sendUpdate();
    deliverUpdates();
    update_delay_ = kUpdatePropagation;
  }

  void elect() {
    leader_ = NodeName("control-" + std::to_string(++leaders_));
    ledger_.emplace(tolerance_, now_);
    ledger_->setCatalog(catalogOf(tenant_), now_);
  }
  void loseLeader() { ledger_.reset(); }
  enum class Cut { BothWays, TowardsLeader };
  /// Cuts the first `count` routers off from the leader; 0: none.
  void cutOff(std::size_t count, Cut cut = Cut::BothWays) {
    cut_ = cut;
    for (std::size_t i = 0; i < cut_off_.size(); ++i) {
      cut_off_[i] = i < count;
    }
  }
  /// Loses the next full report of the first `count` routers.
  void loseReports(std::size_t count) { std::fill_n(loses_report_.begin(), count, true); }
  /// Restarts the first `count` routers: their usage so far is known to nobody but the leader.
  void restart(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      settings_[i].incarnation += clients_.size();
      clients_[i] = QuotaClient(settings_[i]);
    }
  }
  void setUpdateDelay(Duration delay) { update_delay_ = delay; }

  /// Sends calls of `cost` to random routers at the rate, for the time.
  void run(Duration time, double calls_per_second, std::int64_t cost) {
    const TimePoint end = now_ + time;
    TimePoint next_update = now_;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(5);
      updateContacts();
      if (ledger_ && ledger_->refresh(now_)) {
        sendUpdate();
      }
      if (now_ >= next_update) {
        next_update = now_ + std::chrono::milliseconds(200);
        sendUpdate();
      }
      deliverUpdates();
      for (double due = calls_per_second * 0.005; due > 0; due -= 1) {
        if (random_.chance(std::min(1.0, due))) {
          call(cost);
        }
      }
      exchange();
    }
  }

  TimePoint now() const { return now_; }
  double maxInWindow(Duration window) const {
    double maximum = 0;
    for (const Charge& charge : ran) {
      maximum = std::max(maximum, inWindow(ran, charge.at, window));
    }
    return maximum;
  }
  std::vector<Charge> ran;
  std::map<QuotaVerdict, std::size_t> verdicts;
  /// Calls that were refused although a single bucket with the exact quota would have granted them, at times
  /// when less was granted in total than by that bucket.
  std::size_t refused_within_limit = 0;

 private:
  struct UpdateInTransit {
    TimePoint at{};  ///< arrival
    NodeName leader;
    wire::ServiceUpdate update;
  };

  /// Delivers the routers' statuses, and lets the leader apply the contacts that it knows.
  void updateContacts() {
    if (now_ < next_status_) {
      return;
    }
    next_status_ = now_ + kStatusPeriod;
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      if (!cut_off_[i]) {
        contacts_[settings_[i].router].last_contact = now_;
      }
    }
    std::erase_if(contacts_, [this](const auto& item) {
      return now_ - item.second.last_contact > std::chrono::seconds(10);
    });
    if (ledger_) {
      ledger_->keepRouters(contacts_);
      ledger_->updateRouterHistory(contacts_, true);
      ledger_->updateContacts(contacts_, kLeaderTimeout, now_);
    }
  }
  void sendUpdate() {
    if (!ledger_) {
      return;
    }
    wire::ServiceUpdate update;
    update.routers = static_cast<std::uint32_t>(clients_.size());
    update.limited_tenants = ledger_->limited();
    update.confirms_quota_reports = true;
    updates_.push_back({now_ + update_delay_, leader_, std::move(update)});
  }
  void deliverUpdates() {
    while (!updates_.empty() && updates_.front().at <= now_) {
      for (std::size_t i = 0; i < clients_.size(); ++i) {
        if (!cut_off_[i] || cut_ == Cut::TowardsLeader) {
          clients_[i].onUpdate(updates_.front().leader, updates_.front().update, now_);
        }
      }
      updates_.pop_front();
    }
  }
  void call(std::int64_t cost) {
    QuotaClient& client = clients_[random_.below(clients_.size())];
    costs_[++calls_] = cost;
    const bool within = exact_.grant(static_cast<double>(cost), now_);
    exact_granted_ += within ? static_cast<double>(cost) : 0;
    within_limit_[calls_] = within;
    const QuotaReply reply = client.request(calls_, tenant_, cost, now_);
    settle(calls_, reply);
  }
  void settle(std::uint64_t number, const QuotaReply& reply) {
    ++verdicts[reply.verdict];
    const bool refused =
        reply.verdict == QuotaVerdict::Exhausted || reply.verdict == QuotaVerdict::Unavailable;
    refused_within_limit += refused && within_limit_[number] && granted_ < exact_granted_ ? 1 : 0;
    if (reply.verdict == QuotaVerdict::Granted) {
      ran.push_back({now_, static_cast<double>(costs_[number])});
      granted_ += static_cast<double>(costs_[number]);
    }
  }
  void exchange() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      QuotaClient& client = clients_[i];
      for (const QuotaRequestOutcome& one : client.tick(now_)) {
        settle(one.number, one.reply);
      }
      const auto use = client.message(leader_, now_);
      if (!use || !ledger_ || cut_off_[i]) {
        continue;
      }
      if (use->whole && loses_report_[i]) {
        loses_report_[i] = false;
        continue;
      }
      for (const QuotaRequestOutcome& one : client.accept(ledger_->accept(*use, now_), now_)) {
        settle(one.number, one.reply);
      }
    }
  }

  wire::Tenant tenant_;
  QuotaTolerance tolerance_;
  Random random_;
  TimePoint now_ = kStart;
  NodeName leader_;
  int leaders_ = 0;
  std::optional<QuotaLedger> ledger_;
  std::vector<QuotaClient> clients_;
  std::vector<QuotaClientSettings> settings_;
  std::vector<bool> cut_off_;
  Cut cut_ = Cut::BothWays;
  std::vector<bool> loses_report_;
  std::map<NodeName, RouterContact> contacts_;
  TimePoint next_status_{};
  Duration update_delay_ = kUpdatePropagation;
  std::deque<UpdateInTransit> updates_;
  std::uint64_t calls_ = 0;
  std::map<std::uint64_t, std::int64_t> costs_;
  std::map<std::uint64_t, bool> within_limit_;
  QuotaBucket exact_;
  double exact_granted_ = 0;
  double granted_ = 0;
};

/// Usage that the quota and its tolerance allow in a window.
inline double allowed(const wire::Tenant& tenant, const QuotaTolerance& tolerance) {
  return tenant.quota->per_second * toSeconds(tolerance.window) + tenant.quota->burst +
         allowedOverrun(tolerance, *tenant.quota);
}

}  // namespace ferryrock::tenancy
