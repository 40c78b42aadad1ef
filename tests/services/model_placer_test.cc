#include "services/model_placer.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

#include "common/random.h"
#include "services/service_cluster.h"
#include "wire/replica_incarnation.h"

/// Tests of the placer against replicas that leave orders unanswered, execute them late, check the expected
/// order count, and crash if they are ordered to hold more than fits.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr double kCapacityMb = 130;
constexpr std::size_t kAdapterSlots = 2;

/// Simulates a replica of the hosting platform.
struct ScriptedReplica {
  ReplicaId id;
  std::uint64_t accepted_orders = 0;
  std::uint64_t sequence = 0;
  std::map<ModelName, std::set<std::string>> held;
  std::optional<ModelName> loading;
  bool overfilled = false;

  std::size_t adapters() const {
    std::size_t count = 0;
    for (const auto& [model, names] : held) {
      count += names.size();
    }
    return count;
  }
  OrderOutcome execute(const OrderReplicaEffect& order) {
    if (order.expected != accepted_orders || (order.adapter.empty() && loading)) {
      return OrderOutcome::Conflict;
    }
    if (order.adapter.empty() && order.action == OrderAction::Load) {
      if (held.contains(order.model)) {
        return OrderOutcome::AlreadyHeld;
      }
      overfilled = overfilled ||
                   static_cast<double>(held.size() + 1) * 60 + static_cast<double>(adapters()) > kCapacityMb;
      loading = order.model;
    } else if (order.adapter.empty()) {
      held.erase(order.model);
    } else if (!held.contains(order.model)) {
      return OrderOutcome::Refused;
    } else if (order.action == OrderAction::Load) {
      const bool already_loaded = held[order.model].contains(order.adapter);
      overfilled = overfilled || (!already_loaded && adapters() + 1 > kAdapterSlots);
      held[order.model].insert(order.adapter);
    } else {
      held[order.model].erase(order.adapter);
    }
    ++accepted_orders;
    return OrderOutcome::Accepted;
  }
  wire::ReplicaReport report() {
    wire::ReplicaReport message = makeReport(id.value, "llm", ++sequence);
    for (const auto& [model, names] : held) {
      message.held.push_back({model, {names.begin(), names.end()}});
    }
    return message;
  }
  ReplicaState state() const {
    ReplicaState message;
    message.accepted_orders = accepted_orders;
    message.busy = loading.has_value();
    for (const auto& [model, names] : held) {
      message.held.push_back({model, {names.begin(), names.end()}});
    }
    return message;
  }
};

/// Runs a placer against simulated replicas in steps of 20 ms.
class PlacerSimulation {
 public:
  PlacerSimulation(std::size_t replicas, std::uint64_t seed, double unanswered)
      : random_(seed), unanswered_share_(unanswered), placer_(settings(), registry_, demand_) {
    for (std::size_t i = 0; i < replicas; ++i) {
      ScriptedReplica replica;
      replica.id = ReplicaId("r" + std::to_string(i));
      replica.held[ModelName("m0")] = {};
      replicas_.push_back(replica);
      registry_.accept(replicas_.back().report(), time_);
    }
  }

  void setDemand(const std::string& model, const std::string& adapter, std::uint32_t waiting) {
    wants_ = {{ServiceName("llm"), ModelName(model), adapter, waiting, 0, waiting}};
  }

  void run(Duration duration) {
    for (const TimePoint end = time_ + duration; time_ < end; time_ += 20ms) {
      demand_.accept(NodeName("edge"), wants_, time_);
      demand_.decay(time_);
      handle(placer_.plan(catalog, unreachable, time_));
      for (auto delayed = delayed_orders_.begin(); delayed != delayed_orders_.end();) {
        if (delayed->first <= time_) {
          find(delayed->second.replica).execute(delayed->second);
          delayed = delayed_orders_.erase(delayed);
        } else {
          ++delayed;
        }
      }
      for (ScriptedReplica& replica : replicas_) {
        if (replica.loading && random_.chance(0.02)) {
          replica.held[*replica.loading] = {};
          replica.loading.reset();
        }
        if (random_.chance(0.02)) {
          registry_.accept(replica.report(), time_);
        }
      }
    }
  }

  std::vector<ScriptedReplica>& replicas() { return replicas_; }
  std::size_t loads() const { return loads_; }

  void setDemand(std::vector<wire::ModelCallCounts> model_calls) { wants_ = std::move(model_calls); }
  ModelPlacer& placer() { return placer_; }
  TimePoint now() const { return time_; }
  std::size_t copiesOf(const std::string& model) const {
    return static_cast<std::size_t>(
        std::count_if(replicas_.begin(), replicas_.end(),
                      [&](const auto& replica) { return replica.held.contains(ModelName(model)); }));
  }

  std::set<ReplicaId> unreachable;
  wire::ServiceCatalog catalog = makeCatalog(1);

 private:
  static ModelPlacerSettings settings() {
    ModelPlacerSettings settings;
    settings.holder = NodeName("leader");
    settings.fence = Term{3};
    return settings;
  }
  ScriptedReplica& find(const ReplicaId& id) {
    return *std::find_if(replicas_.begin(), replicas_.end(), [&id](const auto& r) { return r.id == id; });
  }
  void handle(const PlacerEffects& effects) {
    for (const PlacerEffect& effect : effects) {
      if (const auto* inspection = std::get_if<InspectReplicaEffect>(&effect)) {
        placer_.onInspected(inspection->number, find(inspection->replica).state(), time_);
        continue;
      }
      if (std::holds_alternative<ModelUnplacedEffect>(effect)) {
        continue;
      }
      const auto& order = std::get<OrderReplicaEffect>(effect);
      loads_ += order.action == OrderAction::Load && order.adapter.empty() ? 1 : 0;
      if (random_.chance(unanswered_share_)) {
        delayed_orders_.emplace_back(time_ + 2s + Duration(random_.below(10'000'000'000)), order);
        placer_.onOrderDone(order.number, OrderOutcome::Unanswered, time_);
      } else {
        placer_.onOrderDone(order.number, find(order.replica).execute(order), time_);
      }
    }
  }

  TimePoint time_{1000s};
  Random random_;
  double unanswered_share_;
  ReplicaRegistry registry_;
  ModelDemand demand_;
  ModelPlacer placer_;
  std::vector<ScriptedReplica> replicas_;
  std::vector<wire::ModelCallCounts> wants_;
  std::deque<std::pair<TimePoint, OrderReplicaEffect>> delayed_orders_;
  std::size_t loads_ = 0;
};

TEST_CASE("A missing model that calls wait for is loaded beside another one if it fits") {
  PlacerSimulation world(1, 1, 0);
  world.setDemand("m1", "", 1);
  world.run(5s);
  CHECK(world.replicas()[0].held.contains(ModelName("m1")));
  CHECK(world.replicas()[0].held.contains(ModelName("m0")));
}

/// The order identifies the replica by its name and its count of accepted orders, which are the same in both
/// incarnations.
TEST_CASE("An unanswered load stays accounted for in the next incarnation of its replica") {
  ReplicaRegistry registry;
  ModelDemand demand;
  ModelPlacerSettings settings;
  settings.holder = NodeName("leader");
  ModelPlacer placer(settings, registry, demand);
  const wire::ServiceCatalog catalog = makeCatalog(1);
  const NodeName router("edge");
  const auto plan = [&](TimePoint now) {
    PlacerEffects effects = placer.plan(catalog, {}, now);
    for (const PlacerEffect& effect : effects) {
      if (const auto* inspection = std::get_if<InspectReplicaEffect>(&effect)) {
        placer.onInspected(inspection->number, ReplicaState{}, now);
        effects = placer.plan(catalog, {}, now);
        break;
      }
    }
    std::erase_if(effects, [](const PlacerEffect& effect) {
      return !std::holds_alternative<OrderReplicaEffect>(effect);
    });
    return effects;
  };
  const auto report = [](std::uint64_t born, std::uint64_t sequence) {
    wire::ReplicaReport message = makeReport("r1", "llm", sequence);
    message.id = wire::replicaIncarnationId("r1", born);
    return message;
  };
  TimePoint now{1000s};
  registry.accept(report(1000, 5), now);
  demand.accept(router, {{ServiceName("llm"), ModelName("m0"), {}, 1, 0, 1}}, now);
  const PlacerEffects first = plan(now);
  REQUIRE(first.size() == 1);
  placer.onOrderDone(std::get<OrderReplicaEffect>(first[0]).number, OrderOutcome::Unanswered, now);
  // The replica restarts empty. The unanswered order may still take 60 of its 130 MB.
  now += 1s;
  registry.accept(report(2000, 1), now);
  demand.accept(router,
                {{ServiceName("llm"), ModelName("m1"), {}, 1, 0, 1},
                 {ServiceName("llm"), ModelName("m2"), {}, 1, 0, 1}},
                now);
  const PlacerEffects second = plan(now);
  REQUIRE(second.size() == 1);
  const auto& load = std::get<OrderReplicaEffect>(second[0]);
  placer.onOrderDone(load.number, OrderOutcome::Accepted, now);
  wire::ReplicaReport loaded = report(2000, 2);
  loaded.held = {{load.model, {}}};
  registry.accept(loaded, now + 1s);
  CHECK(plan(now + 2s).empty());
  registry.accept(report(2000, 3), now + 12s);
  registry.accept(loaded, now + 12s);
  CHECK_FALSE(plan(now + 13s).empty());
}

TEST_CASE("A model whose only replica is unreachable is loaded elsewhere") {
  PlacerSimulation world(2, 5, 0);
  world.replicas()[1].held.clear();
  world.setDemand("m0", "", 0);
  world.run(2s);
  CHECK(world.loads() == 0);
  world.unreachable = {ReplicaId("r0")};
  world.setDemand("m0", "", 1);
  world.run(5s);
  CHECK(world.loads() == 1);
  CHECK(world.replicas()[1].held.contains(ModelName("m0")));
}

/// Adds models m3 to m19, copies of the catalog's first model.
void addModels(wire::ServiceCatalog& catalog) {
  for (wire::HostedService& service : catalog.services) {
    for (int i = 3; service.engine && i < 20; ++i) {
      wire::HostedModel model = service.engine->models.front();
      model.name = ModelName("m" + std::to_string(i));
      service.engine->models.push_back(model);
    }
  }
}

wire::ModelCallCounts callCounts(const std::string& model, std::uint32_t waiting, std::uint32_t running,
                                 std::uint32_t arrivals) {
  return {ServiceName("llm"), ModelName(model), "", waiting, running, arrivals};
}

/// If they had priority, rare models requested one after the other would use up all loads that the store
/// allows.
TEST_CASE("An overloaded model gets another copy despite constant requests for rare models") {
  PlacerSimulation world(4, 11, 0);
  addModels(world.catalog);
  for (std::size_t i = 0; i < 4; ++i) {
    world.replicas()[i].held = {{ModelName("m" + std::to_string(2 * i)), {}},
                                {ModelName("m" + std::to_string(2 * i + 1)), {}}};
  }
  constexpr int kTenths = 120;
  for (int tenth = 0; tenth < kTenths; ++tenth) {
    std::vector<wire::ModelCallCounts> model_calls = {callCounts("m0", 0, 5, 1)};
    for (int i = 0; i < 4; ++i) {
      model_calls.push_back(callCounts("m" + std::to_string(8 + (tenth / 5 + 3 * i) % 12), 1, 0, 0));
    }
    world.setDemand(model_calls);
    world.run(20ms);
    model_calls.front().arrivals = 0;
    world.setDemand(model_calls);
    world.run(80ms);
  }
  CHECK(world.copiesOf("m0") >= 2);
  CHECK(world.loads() > 4);
}

TEST_CASE("Two models that must be evicted for one are unloaded without a pause between them") {
  PlacerSimulation world(1, 3, 0);
  addModels(world.catalog);
  for (wire::HostedService& service : world.catalog.services) {
    for (std::size_t i = 0; service.engine && i < service.engine->models.size(); ++i) {
      service.engine->models[i].weight_mb = i == 9 ? 120 : 60;
    }
  }
  world.replicas()[0].held = {{ModelName("m3"), {}}, {ModelName("m4"), {}}};
  world.setDemand("m9", "", 1);
  world.run(4s);  // reports of two unloads and a load, with a mean delay of one second each
  CHECK(world.placer().loadsBegun() >= 3);
  CHECK(world.loads() == 1);
}

TEST_CASE("The expected time of a missing model is the end of its load") {
  PlacerSimulation world(1, 12, 0);
  wire::HostedService& llm = *std::find_if(world.catalog.services.begin(), world.catalog.services.end(),
                                           [](const auto& service) { return service.engine.has_value(); });
  constexpr Duration load_time = 2s;
  for (wire::HostedModel& model : llm.engine->models) {
    model.store_load_ms = 2000;
  }
  CHECK_FALSE(world.placer().expectedAt(llm, ModelName("m1"), world.now()).has_value());
  world.setDemand("m1", "", 1);
  world.run(40ms);
  const std::uint64_t begun = world.placer().loadsBegun();
  CHECK(begun >= 1);
  const auto expected = world.placer().expectedAt(llm, ModelName("m1"), world.now());
  REQUIRE(expected.has_value());
  CHECK(*expected <= world.now() + load_time);
  CHECK(*expected > world.now() + load_time - 100ms);
}

TEST_CASE("An idle model is evicted for a requested one if memory is full") {
  PlacerSimulation world(1, 2, 0);
  world.setDemand("m1", "", 1);
  world.run(5s);
  world.setDemand("m2", "", 1);
  world.run(10s);
  CHECK(world.replicas()[0].held.contains(ModelName("m2")));
  CHECK_FALSE(world.replicas()[0].overfilled);
}

TEST_CASE("An adapter is loaded onto its model's replica, evicting the one with the least demand") {
  PlacerSimulation world(1, 3, 0);
  for (const char* adapter : {"a1", "a2", "a3"}) {
    world.setDemand("m0", adapter, 1);
    world.run(2s);
    CHECK(world.replicas()[0].held[ModelName("m0")].contains(adapter));
  }
  CHECK_FALSE(world.replicas()[0].overfilled);
}

TEST_CASE("Loads from the weight store don't exceed the operator's rate") {
  PlacerSimulation world(30, 4, 0);
  world.setDemand("m1", "", 500);
  world.run(5s);
  CHECK(world.loads() <= 10);
  CHECK(world.loads() >= 5);
}

TEST_CASE("No order overfills a replica although half of the orders are executed late") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    PlacerSimulation world(3, seed, 0.5);
    Random random(seed);
    for (int i = 0; i < 40; ++i) {
      const bool whole_model = random.chance(0.5);
      world.setDemand("m" + std::to_string(random.below(3)),
                      whole_model ? "" : "a" + std::to_string(random.below(5)),
                      1 + static_cast<std::uint32_t>(random.below(9)));
      world.run(1s);
    }
    for (const ScriptedReplica& replica : world.replicas()) {
      CHECK_FALSE(replica.overfilled);
    }
  }
}

}  // namespace
}  // namespace ferryrock::services
