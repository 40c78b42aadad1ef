#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "tenancy/quota_bucket.h"
#include "tenancy/quota_client.h"
#include "tenancy/quota_ledger.h"
#include "wire/codec.h"
#include "wire/messages.h"
#include "wire/recorded_messages.h"

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
const NodeName kLeader("control-1");

wire::Tenant limitedTenant(double per_second, double burst) {
  wire::Tenant tenant;
  tenant.name = TenantName("a");
  tenant.quota = wire::TenantQuota{wire::QuotaUnit::Tokens, per_second, burst, 200};
  return tenant;
}

wire::ServiceCatalog catalogOf(const wire::Tenant& tenant) {
  wire::ServiceCatalog catalog;
  catalog.has_tenants = true;
  catalog.tenants = {tenant};
  return catalog;
}

void giveBackTo(QuotaClient& client, const TenantName& tenant, std::int64_t cost, const QuotaReply& reply,
                TimePoint now) {
  client.giveBack(tenant, cost, reply.account, now);
}

struct Charge {
  TimePoint at{};
  double amount = 0;
};

double inWindow(const std::vector<Charge>& charges, TimePoint begin, Duration window) {
  double sum = 0;
  for (const Charge& charge : charges) {
    sum += charge.at >= begin && charge.at <= begin + window ? charge.amount : 0;
  }
  return sum;
}

TEST_CASE("What a bucket grants in any window stays within rate x window + burst + one call") {
  CHECK(rc::check([] {
    const QuotaLimit limit{*rc::gen::inRange(1, 50) * 100.0, *rc::gen::inRange(0, 50) * 100.0};
    QuotaBucket bucket(limit, limit.burst, kStart);
    std::vector<Charge> granted;
    double largest = 0;
    TimePoint now = kStart;
    const int calls = *rc::gen::inRange(1, 80);
    for (int i = 0; i < calls; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 600));
      const double amount = *rc::gen::inRange(1, 4'000);
      if (bucket.grant(amount, now)) {
        granted.push_back({now, amount});
        largest = std::max(largest, amount);
        if (*rc::gen::inRange(0, 4) == 0) {  // it never ran
          granted.pop_back();
          bucket.charge(-amount, now);
        }
      }
    }
    for (const Charge& first : granted) {
      RC_ASSERT(inWindow(granted, first.at, 8s) <= limit.per_second * 8 + limit.burst + largest + 1e-6);
    }
  }));
}

TEST_CASE("A bucket that is below zero tells when there is credit again") {
  QuotaBucket bucket({100, 50}, 50, kStart);
  CHECK(bucket.grant(250, kStart));  // larger than the burst, and granted all the same
  CHECK_FALSE(bucket.grant(1, kStart));
  CHECK(bucket.untilCredit(kStart) == 2s);
  CHECK_FALSE(bucket.grant(1, kStart + 1999ms));
  CHECK(bucket.grant(1, kStart + 2001ms));
}

wire::QuotaUse use(std::uint64_t sequence, std::int64_t total, bool whole = false) {
  wire::QuotaUse use;
  use.router = NodeName("edge-1");
  use.incarnation = 5;
  use.sequence = sequence;
  use.whole = whole;
  use.spent = {{TenantName("a"), total}};
  return use;
}

TEST_CASE("A total that comes twice, late or after a lost one is charged once") {
  QuotaLedger ledger({}, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(1000, 1000)), kStart);
  ledger.accept(use(1, 700, true), kStart);  // used before this leader
  CHECK(ledger.counts().charged == 0);
  ledger.accept(use(2, 800), kStart);
  ledger.accept(use(2, 800), kStart);
  ledger.accept(use(4, 1000), kStart);
  ledger.accept(use(3, 900), kStart);
  CHECK(ledger.counts().charged == 300);
  ledger.accept(use(5, 950), kStart);  // given back
  CHECK(ledger.counts().charged == 250);
}

TEST_CASE("A router that starts again begins with new totals") {
  QuotaLedger ledger({}, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(1000, 1000)), kStart);
  ledger.accept(use(1, 0, true), kStart);
  ledger.accept(use(2, 400), kStart);
  wire::QuotaUse restarted = use(1, 0, true);
  restarted.incarnation = 6;
  ledger.accept(restarted, kStart);
  restarted.sequence = 2;
  restarted.whole = false;
  restarted.spent = {{TenantName("a"), 100}};
  ledger.accept(restarted, kStart);
  CHECK(ledger.counts().charged == 500);
}

TEST_CASE("A lower limit holds at once, a tenant that is new begins with its burst") {
  const QuotaTolerance exact{8s, 0, 0};
  QuotaLedger ledger(exact, kStart);
  ledger.setCatalog(wire::ServiceCatalog{}, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(1000, 1000)), kStart);
  ledger.accept(use(1, 0, true), kStart);
  ledger.accept(use(2, 400), kStart);
  CHECK_FALSE(ledger.refresh(kStart));
  ledger.setCatalog(catalogOf(limitedTenant(10, 10)), kStart);
  ledger.accept(use(3, 420), kStart);
  CHECK(ledger.refresh(kStart));
  CHECK(ledger.limited() == std::vector{TenantName("a")});
}

/// From a leader's finding to its word at every router: a round of updates to 300 of them, and the way.
constexpr Duration kWordToAll = 80ms;

/// Routers and a leader that exchange what they have to say, under a clock of the test's own.
class QuotaWorld {
 public:
  QuotaWorld(std::size_t routers, const wire::Tenant& tenant, const QuotaTolerance& tolerance,
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
    }
    elect();
    ledger_->setCatalog(wire::ServiceCatalog{}, now_);
    ledger_->setCatalog(catalogOf(tenant_), now_);
  }

  void elect() {
    leader_ = NodeName("control-" + std::to_string(++leaders_));
    ledger_.emplace(tolerance_, now_);
    ledger_->setCatalog(catalogOf(tenant_), now_);
  }
  void loseLeader() { ledger_.reset(); }

  /// Calls of `cost` at random routers at the rate, for the time.
  void run(Duration time, double calls_per_second, std::int64_t cost) {
    const TimePoint end = now_ + time;
    TimePoint next_update = now_;
    while (now_ < end) {
      now_ += 5ms;
      if (ledger_ && ledger_->refresh(now_)) {
        next_update = std::min(next_update, now_ + kWordToAll);
      }
      if (now_ >= next_update) {
        next_update = now_ + 200ms;
        tellRouters();
      }
      if (random_.chance(calls_per_second * 0.005)) {
        call(cost);
      }
      exchange();
    }
  }

  TimePoint now() const { return now_; }
  double most(Duration window) const {
    double most = 0;
    for (const Charge& charge : ran) {
      most = std::max(most, inWindow(ran, charge.at, window));
    }
    return most;
  }
  std::vector<Charge> ran;
  std::map<QuotaVerdict, std::size_t> verdicts;
  /// Calls that one bucket of the quota itself would have let run, while less than it would have granted was.
  std::size_t refused_within = 0;

 private:
  void tellRouters() {
    if (!ledger_) {
      return;
    }
    wire::ServiceUpdate update;
    update.routers = static_cast<std::uint32_t>(clients_.size());
    update.limited_tenants = ledger_->limited();
    for (QuotaClient& client : clients_) {
      client.onUpdate(leader_, update, now_);
    }
  }
  void call(std::int64_t cost) {
    QuotaClient& client = clients_[random_.below(clients_.size())];
    costs_[++calls_] = cost;
    const bool within = exact_.grant(static_cast<double>(cost), now_);
    exact_granted_ += within ? static_cast<double>(cost) : 0;
    within_[calls_] = within;
    const QuotaReply reply = client.request(calls_, tenant_, cost, now_);
    settle(calls_, reply);
  }
  void settle(std::uint64_t number, const QuotaReply& reply) {
    ++verdicts[reply.verdict];
    const bool refused = reply.verdict == QuotaVerdict::Spent || reply.verdict == QuotaVerdict::Unavailable;
    refused_within += refused && within_[number] && granted_ < exact_granted_ ? 1 : 0;
    if (reply.verdict == QuotaVerdict::Granted) {
      ran.push_back({now_, static_cast<double>(costs_[number])});
      granted_ += static_cast<double>(costs_[number]);
    }
  }
  void exchange() {
    for (QuotaClient& client : clients_) {
      for (const QuotaResolved& one : client.tick(now_)) {
        settle(one.number, one.reply);
      }
      const auto use = client.message(leader_, now_);
      if (!use || !ledger_) {
        continue;
      }
      for (const QuotaResolved& one : client.accept(ledger_->accept(*use, now_), now_)) {
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
  std::uint64_t calls_ = 0;
  std::map<std::uint64_t, std::int64_t> costs_;
  std::map<std::uint64_t, bool> within_;
  QuotaBucket exact_;
  double exact_granted_ = 0;
  double granted_ = 0;
};

/// What the quota's tolerance allows in a window.
double allowed(const wire::Tenant& tenant, const QuotaTolerance& tolerance) {
  return tenant.quota->per_second * toSeconds(tolerance.window) + tenant.quota->burst +
         allowedBeyond(tolerance, *tenant.quota);
}

const QuotaTolerance kTolerance{8s, 0.1, 11'000};

/// A tenant within its limit and one at six times its usual share of it, before 87 routers.
struct LoadCase {
  const char* name;
  double per_second;
  double calls_per_second;
};

TEST_CASE(
    "A call within its tenant's limit is never refused, whatever the tenant's size, while a leader counts") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 61}, LoadCase{"small", 2'700, 0.9});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(20s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(world.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(world.refused_within == 0);
}

TEST_CASE("A tenant at six times its usual gets its quota and no more") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(4s, load.calls_per_second / 6, 1'630);
  world.run(12s, load.calls_per_second, 1'630);
  INFO(load.name << " with seed " << seed);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
  CHECK(world.most(8s) >= 0.9 * load.per_second * 8);
}

/// The load of a tenant that sends at half of its limit and rises to 3.3 times it. What callers get in the
/// first two seconds of the rise, of what the limit allows in them: rate x window + burst less what ran in
/// the window before.
TEST_CASE("A tenant that rises has what it left unused of its limit, at once") {
  const auto seed = GENERATE(range(1, 9));
  const wire::Tenant tenant = limitedTenant(180'000, 0);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  world.run(9s, 33, 3'000);
  const TimePoint rise = world.now();
  world.run(2s, 190, 3'000);
  const double within = 180'000.0 * 8 - inWindow(world.ran, rise - 6s, 6s);
  INFO("seed " << seed);
  CHECK(inWindow(world.ran, rise, 2s) >= 0.95 * within);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
}

/// Half of the routers and the leader are lost in the second after a tenant used up its window.
TEST_CASE("What lost routers ran is assumed as used, and what living ones tell isn't counted twice") {
  QuotaLedger ledger(kTolerance, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(180'000, 0)), kStart);
  const TenantName tenant("a");
  const auto tell = [&](const std::string& name, std::int64_t amount) {
    wire::QuotaUse use;
    use.router = NodeName(name);
    use.incarnation = 7;
    use.sequence = 1;
    use.whole = true;
    use.history_ms = 20'000;
    use.spent = {{tenant, amount}};
    use.histories = {{tenant, {amount}}};
    ledger.accept(use, kStart + 10ms);
  };
  std::map<NodeName, int> routers;
  for (const char* name : {"edge-1", "edge-2", "edge-3", "edge-4"}) {
    routers[NodeName(name)] = 0;
  }
  tell("edge-1", 100'000);
  tell("edge-2", 100'000);
  constexpr bool kAllHeard = true;
  ledger.followRouters(routers, kAllHeard);
  std::uint64_t sequence = 1;
  const auto granted = [&](TimePoint at) {
    wire::QuotaUse ask;
    ask.router = NodeName("edge-1");
    ask.incarnation = 7;
    ask.sequence = ++sequence;
    ask.asks = {{sequence, tenant, 1}};
    return ledger.accept(ask, at).decisions.at(0).granted;
  };
  // 1,440,000 in a window, of which 200,000 are told and half of the window is assumed.
  CHECK(granted(kStart + 20ms));
  wire::QuotaUse spent;
  spent.router = NodeName("edge-1");
  spent.incarnation = 7;
  spent.sequence = ++sequence;
  spent.spent = {{tenant, 100'000 + 600'000}};
  ledger.accept(spent, kStart + 30ms);
  CHECK_FALSE(granted(kStart + 40ms));
  constexpr bool kNotAllHeard = false;
  ledger.followRouters(routers, kNotAllHeard);
  CHECK_FALSE(granted(kStart + 50ms));
  tell("edge-3", 0);
  tell("edge-4", 0);
  ledger.followRouters(routers, kAllHeard);
  CHECK(granted(kStart + 60ms));
}

TEST_CASE("A quota holds when the leader is lost before, while or after a tenant sends six times its usual") {
  const auto load = GENERATE(LoadCase{"large", 180'000, 370}, LoadCase{"small", 2'700, 5.5});
  const auto lost_at = GENERATE(-200ms, 0ms, 300ms, 1000ms, 3000ms);
  const auto seed = GENERATE(range(1, 7));
  const wire::Tenant tenant = limitedTenant(load.per_second, load.per_second);
  QuotaWorld world(87, tenant, kTolerance, static_cast<std::uint64_t>(seed));
  const double usual = load.calls_per_second / 6;
  world.run(6s + std::min<Duration>(0ms, lost_at), usual, 1'630);
  world.run(std::max<Duration>(0ms, lost_at), load.calls_per_second, 1'630);
  world.loseLeader();
  world.run(std::max<Duration>(0ms, -lost_at), usual, 1'630);
  world.run(3s, load.calls_per_second, 1'630);
  world.elect();
  world.run(6s, load.calls_per_second, 1'630);
  INFO(load.name << ", leader lost " << lost_at.count() << " ms after the rise, seed " << seed);
  CHECK(world.most(8s) <= allowed(tenant, kTolerance));
}

/// Each ask of a call holds it up and is work for a leader that has just begun.
TEST_CASE("After a leader's loss the calls of tenants within their limits don't ask the new one") {
  const wire::Tenant tenant = limitedTenant(180'000, 180'000);
  QuotaWorld world(87, tenant, kTolerance, 3);
  world.run(6s, 61, 1'630);
  world.loseLeader();
  world.run(1s, 61, 1'630);
  world.elect();
  world.run(200ms, 61, 1'630);  // the routers hear of it
  world.verdicts.clear();
  world.run(10s, 61, 1'630);
  CHECK(world.verdicts[QuotaVerdict::Asked] == 0);
  CHECK(world.verdicts[QuotaVerdict::Unavailable] == 0);
  CHECK(world.verdicts[QuotaVerdict::Granted] > 500);
}

TEST_CASE("A call that ends before its credit comes gives it back once") {
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  settings.incarnation = 9;
  QuotaClient client(settings);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  wire::ServiceUpdate update;
  update.limited_tenants = {tenant.name};
  client.onUpdate(kLeader, update, kStart);
  CHECK(client.request(1, tenant, 300, kStart).verdict == QuotaVerdict::Asked);
  REQUIRE(client.message(kLeader, kStart).has_value());
  client.abandon(1);
  wire::QuotaAnswer answer;
  answer.incarnation = 9;
  answer.decisions = {{1, true, 0}};
  CHECK(client.accept(answer, kStart).empty());
  CHECK(client.accept(answer, kStart).empty());
  const auto told = client.message(kLeader, kStart + 60ms);
  REQUIRE(told.has_value());
  REQUIRE(told->spent.size() == 1);
  CHECK(told->spent[0].total == -300);
}

/// A caller whose call was charged under one leader and refused under the next raised an account that never
/// charged it: the new leader takes a router's first totals as given, and a later fall of the total is
/// credit. So each change of leaders let a tenant have more than its quota by what was refused around it.
/// Evidence: the new leader's account of what was charged is negative.
TEST_CASE("Credit that is given back under another leader than it was charged under raises no account") {
  struct Moment {
    const char* name;
    bool told_before;   ///< the charge was told to the leader before
    bool whole_before;  ///< the new leader had the totals before the credit came back
    bool granted_by_ask;
  };
  for (const Moment& moment :
       {Moment{"told, whole", true, true, false}, Moment{"told, not whole", true, false, false},
        Moment{"not told, whole", false, true, false},
        Moment{"granted to an ask, whole", true, true, true}}) {
    INFO(moment.name);
    QuotaClientSettings settings;
    settings.router = NodeName("edge-1");
    settings.incarnation = 9;
    QuotaClient client(settings);
    const wire::Tenant tenant = limitedTenant(1000, 1000);
    wire::ServiceUpdate update;
    if (moment.granted_by_ask) {
      update.limited_tenants = {tenant.name};
    }
    client.onUpdate(kLeader, update, kStart);
    client.message(kLeader, kStart);
    QuotaReply reply = client.request(1, tenant, 300, kStart);
    const auto told = moment.told_before ? client.message(kLeader, kStart + 60ms) : std::nullopt;
    if (moment.granted_by_ask) {
      wire::QuotaAnswer answer;
      answer.incarnation = 9;
      answer.decisions = {{1, true, 0}};
      reply = client.accept(answer, kStart + 60ms).at(0).reply;
    }
    QuotaLedger next({8s, 0, 0}, kStart);
    next.setCatalog(wire::ServiceCatalog{}, kStart);
    next.setCatalog(catalogOf(tenant), kStart);
    const NodeName next_leader("control-2");
    client.onUpdate(next_leader, {}, kStart + 100ms);
    if (moment.whole_before) {
      next.accept(*client.message(next_leader, kStart + 110ms), kStart + 110ms);
    }
    giveBackTo(client, tenant.name, 300, reply, kStart + 120ms);
    if (const auto last = client.message(next_leader, kStart + 200ms)) {
      next.accept(*last, kStart + 200ms);
    }
    CHECK(next.counts().charged >= 0);
  }
}

TEST_CASE("Credit that is given back under the leader that charged it is there again") {
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  settings.incarnation = 9;
  QuotaClient client(settings);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  QuotaLedger ledger({8s, 0, 0}, kStart);
  ledger.setCatalog(wire::ServiceCatalog{}, kStart);
  ledger.setCatalog(catalogOf(tenant), kStart);
  client.onUpdate(kLeader, {}, kStart);
  ledger.accept(*client.message(kLeader, kStart), kStart);
  const QuotaReply reply = client.request(1, tenant, 300, kStart);
  ledger.accept(*client.message(kLeader, kStart + 60ms), kStart + 60ms);
  CHECK(ledger.counts().charged == 300);
  giveBackTo(client, tenant.name, 300, reply, kStart + 70ms);
  ledger.accept(*client.message(kLeader, kStart + 130ms), kStart + 130ms);
  CHECK(ledger.counts().charged == 0);
}

TEST_CASE("An answer for an earlier life of the router decides nothing") {
  QuotaClientSettings settings;
  settings.incarnation = 9;
  QuotaClient client(settings);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  wire::ServiceUpdate update;
  update.limited_tenants = {tenant.name};
  client.onUpdate(kLeader, update, kStart);
  client.request(1, tenant, 300, kStart);
  client.message(kLeader, kStart);
  wire::QuotaAnswer answer;
  answer.incarnation = 8;
  answer.decisions = {{1, true, 0}};
  CHECK(client.accept(answer, kStart).empty());
}

TEST_CASE("Callers that are refused are told to come back one after the other") {
  QuotaLedger ledger({8s, 0, 0}, kStart);
  ledger.setCatalog(wire::ServiceCatalog{}, kStart);
  ledger.setCatalog(catalogOf(limitedTenant(1000, 1000)), kStart);
  wire::QuotaUse asks = use(1, 0, true);
  asks.asks = {{1, TenantName("a"), 1500}, {2, TenantName("a"), 1000}, {3, TenantName("a"), 1000}};
  const wire::QuotaAnswer answer = ledger.accept(asks, kStart);
  REQUIRE(answer.decisions.size() == 3);
  CHECK(answer.decisions[0].granted);
  CHECK(answer.decisions[1].retry_after_ms == 500);
  CHECK(answer.decisions[2].retry_after_ms == 1500);
}

/// QuotaUse as the build without loads of replicas lists it.
struct FormerQuotaUse {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  bool whole = false;
  std::vector<wire::QuotaSpent> spent;
  std::vector<wire::QuotaAsk> asks;
  FERRYROCK_FIELDS(FormerQuotaUse, router, incarnation, sequence, whole, spent, asks)
};

TEST_CASE("A leader of the build without loads is told of quotas in its own layout") {
  QuotaClientSettings settings;
  settings.router = NodeName("edge-1");
  QuotaClient client(settings);
  const wire::Tenant tenant = limitedTenant(1000, 1000);
  const auto update = std::get<wire::ServiceUpdate>(
      wire::decodeEnvelope(wire::recorded::bytes(wire::recorded::without_loads::kServiceUpdate)).message);
  client.onUpdate(kLeader, update, kStart);
  client.request(1, tenant, 300, kStart);
  const std::string bytes = wire::encode(*client.message(kLeader, kStart + 60ms));
  FormerQuotaUse use;
  REQUIRE_NOTHROW(use = wire::decode<FormerQuotaUse>(bytes));
  FormerQuotaUse expected;
  expected.router = settings.router;
  expected.sequence = 1;
  expected.whole = true;
  expected.spent = {{tenant.name, 300}};
  CHECK(use == expected);
}

}  // namespace
}  // namespace ferryrock::tenancy
