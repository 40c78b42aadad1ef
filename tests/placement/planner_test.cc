#include "placement/planner.h"

#include <catch2/catch.hpp>
#include <set>

#include "placement/cell_fixture.h"
#include "placement/keep_alive_policy.h"
#include "placement/load_policies.h"

namespace ferryrock::placement {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

PlannerPolicies fixedKeepAlive(Duration keep) {
  PlannerPolicies policies = defaultPolicies();
  policies.keep_alive = std::make_unique<FixedKeepAlive>(keep);
  return policies;
}

TEST_CASE("a burst of requests for a cold model at many routers causes one load") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addEngine("engine-2", "zone-2");
  cell.addModel(makeModel("diagnosis", 40, 4));
  cell.settings[ModelName{"diagnosis"}].concurrency = 400;
  cell.start();
  for (int router = 0; router < 40; ++router) {
    cell.demand("diagnosis", 10, 0, "router-" + std::to_string(router));
  }
  CHECK(cell.countOf("diagnosis") == 1);
}

TEST_CASE("without aggregated demand each router requests a replica of its own") {
  CellFixture cell;
  for (int engine = 0; engine < 4; ++engine) {
    cell.addEngine("engine-" + std::to_string(engine));
  }
  cell.addModel(makeModel("diagnosis", 40, 4));
  cell.settings[ModelName{"diagnosis"}].concurrency = 400;
  PlannerPolicies policies = defaultPolicies();
  policies.replica_count = std::make_unique<PerRouterReplicaCount>();
  cell.start(std::move(policies));
  for (int router = 0; router < 3; ++router) {
    cell.demand("diagnosis", 10, 0, "router-" + std::to_string(router));
  }
  cell.advance(seconds(5));
  CHECK(cell.countOf("diagnosis") == 3);
}

TEST_CASE("the number of replicas follows demand up to the maximum, spread over zones") {
  CellFixture cell;
  for (int engine = 0; engine < 6; ++engine) {
    cell.addEngine("engine-" + std::to_string(engine), "zone-" + std::to_string(engine % 3));
  }
  cell.addModel(makeModel("diagnosis", 40, 3));
  cell.start();
  cell.demand("diagnosis", 100);
  cell.advance(seconds(5));
  REQUIRE(cell.countOf("diagnosis") == 3);
  std::set<ZoneName> zones;
  for (const auto& [id, slot] : cell.ledger.slots()) {
    zones.insert(cell.ledger.findEngine(slot.engine)->zone);
  }
  CHECK(zones.size() == 3);
}

TEST_CASE("minimum replicas are loaded without demand") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("booking"));
  cell.settings[ModelName{"booking"}].min_replicas = 1;
  cell.start();
  cell.settle();
  CHECK(cell.countOf("booking") == 1);
}

TEST_CASE("an idle replica is released after its keep-alive time") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("diagnosis"));
  cell.start(fixedKeepAlive(minutes(5)));
  cell.demand("diagnosis", 1);
  cell.finishLoads();
  cell.demand("diagnosis", 0, 1);
  cell.advance(minutes(9));
  CHECK(cell.inState(wire::SlotState::Ready).size() == 1);
  cell.demand("diagnosis", 0, 0);
  cell.advance(minutes(4));
  CHECK(cell.inState(wire::SlotState::Ready).size() == 1);
  cell.advance(minutes(2));
  CHECK(cell.inState(wire::SlotState::Draining).size() == 1);
  cell.finishDrains();
  CHECK(cell.countOf("diagnosis") == 0);
}

TEST_CASE(
    "two models that do not fit in memory together are served in turn when requested at the same time") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("first", 60));
  cell.addModel(makeModel("second", 60));
  cell.start(fixedKeepAlive(hours(1)));
  cell.planner->onDemand({NodeName{"router-1"},
                          1,
                          {{ModelName{"first"}, 5, 0, 60'000, 5}, {ModelName{"second"}, 5, 0, 60'000, 5}}},
                         cell.now);
  cell.settle();
  REQUIRE(cell.ledger.slots().size() == 1);
  const std::string winner = cell.ledger.slots().begin()->second.model.value;
  const std::string loser = winner == "first" ? "second" : "first";
  cell.finishLoads();
  cell.planner->onDemand({NodeName{"router-1"}, 2, {{ModelName{winner}, 0, 0, 0, 0}}}, cell.now);
  cell.settle();
  cell.finishDrains();
  cell.advance(seconds(2));
  CHECK(cell.countOf(winner) == 0);
  CHECK(cell.countOf(loser) == 1);
}

TEST_CASE("an adapter is loaded with its base model and replaced without unloading the base model") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("base", 70));
  cell.addModel(makeAdapter("adapter-1", "base", 8));
  cell.addModel(makeAdapter("adapter-2", "base", 8));
  cell.start();
  cell.demand("adapter-1", 1);
  REQUIRE(cell.countOf("base") == 1);
  cell.finishLoads();
  CHECK(cell.onlySlotOf("base").adapters == std::vector<ModelName>{ModelName{"adapter-1"}});
  cell.demand("adapter-1", 0);
  cell.demand("adapter-2", 1);
  REQUIRE(cell.adapter_unloads.size() == 1);
  CHECK(cell.adapter_unloads[0].adapter == ModelName{"adapter-1"});
  CHECK(cell.onlySlotOf("base").adapters.size() == 1);
  cell.commit(wire::DecideAdapterCommand{cell.adapter_unloads[0].slot, ModelName{"adapter-1"}, 0, true});
  cell.settle();
  CHECK(cell.onlySlotOf("base").adapters == std::vector<ModelName>{ModelName{"adapter-2"}});
  CHECK(cell.onlySlotOf("base").state == wire::SlotState::Ready);
}

TEST_CASE("a replica is placed where the adapters in demand fit beside it") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addEngine("engine-2");
  cell.addModel(makeModel("filler", 40));
  cell.addModel(makeModel("base", 40));
  cell.addModel(makeAdapter("adapter", "base", 1));
  cell.start(fixedKeepAlive(hours(1)));
  cell.demand("filler", 1);
  cell.advance(seconds(1));
  cell.finishLoads();
  cell.demand("adapter", 1);
  cell.advance(seconds(1));
  cell.finishLoads();
  CHECK(cell.onlySlotOf("base").engine != cell.onlySlotOf("filler").engine);
  CHECK(cell.onlySlotOf("base").adapters == std::vector<ModelName>{ModelName{"adapter"}});
}

TEST_CASE("an idle replica is evicted to make room for an adapter in demand of a neighbouring replica") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("base", 40));
  cell.addModel(makeModel("filler", 40));
  cell.addModel(makeAdapter("adapter", "base", 1));
  cell.start(fixedKeepAlive(hours(1)));
  cell.demand("base", 1);
  cell.demand("filler", 1);
  cell.advance(seconds(1));
  cell.finishLoads();
  cell.demand("filler", 0);
  cell.demand("adapter", 1);
  REQUIRE(cell.inState(wire::SlotState::Draining).size() == 1);
  cell.finishDrains();
  cell.advance(seconds(1));
  CHECK(cell.onlySlotOf("base").adapters == std::vector<ModelName>{ModelName{"adapter"}});
}

TEST_CASE("a replica without room for an adapter in demand is moved or supplemented by a second replica") {
  const std::uint32_t maximum = GENERATE(1, 2);
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("base", 40, maximum));
  cell.addModel(makeModel("filler", 40));
  cell.addModel(makeAdapter("adapter", "base", 1));
  cell.start(fixedKeepAlive(hours(1)));
  cell.demand("base", 1);
  cell.demand("filler", 1);
  cell.advance(seconds(1));
  cell.finishLoads();
  cell.demand("base", 0);
  cell.addEngine("engine-2");
  cell.demand("adapter", 1);
  for (int round = 0; round < 5; ++round) {
    cell.finishDrains();
    cell.finishLoads();
    cell.advance(seconds(1));
  }
  std::size_t with_adapter = 0;
  for (const auto& [id, slot] : cell.ledger.slots()) {
    with_adapter += slot.adapters.size();
  }
  CHECK(with_adapter == 1);
  CHECK(cell.countOf("base") == maximum);
  CHECK(cell.countOf("filler") == 1);
}

TEST_CASE("a queued load begins in its turn regardless of the number of engine reports in between") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addEngine("engine-2");
  cell.addModel(makeModel("first"));
  cell.addModel(makeModel("second"));
  cell.start();
  cell.demand("first", 1);
  cell.demand("second", 1);
  for (int report = 0; report < 30; ++report) {
    cell.now += milliseconds(50);
    cell.planner->onEngineReport({EngineName{"engine-1"}, Incarnation{1}, 0, 0, {}, {}}, cell.now);
    if (cell.planner->nextDeadline() <= cell.now) {
      cell.settle();
    }
  }
  CHECK(cell.countOf("first") == 1);
  CHECK(cell.countOf("second") == 1);
}

TEST_CASE("after a failed load the expected load time includes the delay of the next attempt") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("diagnosis"));
  cell.start();
  cell.demand("diagnosis", 10);
  const SlotId slot = cell.onlySlotOf("diagnosis").id;
  cell.setState(slot, wire::SlotState::Loading);
  cell.planner->onLoadObserved(
      {slot, EngineName{"engine-1"}, CheckpointTier::Remote, 40 * kGigabyte, seconds(3), 1, false}, cell.now);
  cell.settle();
  const auto while_unloading = cell.planner->expectedLoad(ModelName{"diagnosis"}, cell.now);
  REQUIRE(while_unloading);
  CHECK(*while_unloading > seconds(1));
  cell.setState(slot, wire::SlotState::Freed, wire::FreeProof::UnloadAcknowledged);
  const auto before_retry = cell.planner->expectedLoad(ModelName{"diagnosis"}, cell.now);
  REQUIRE(before_retry);
  cell.advance(seconds(2));
  CHECK(cell.countOf("diagnosis") == 1);
}

TEST_CASE("a load that waits for free memory evicts an idle replica once requests demand the model") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("filler", 60));
  cell.addModel(makeModel("diagnosis", 60));
  cell.start(fixedKeepAlive(hours(1)));
  cell.demand("filler", 1);
  cell.finishLoads();
  cell.demand("filler", 0);
  // A request that ended before the report creates interest, which evicts nothing.
  cell.planner->onDemand({NodeName{"router-2"}, 1, {{ModelName{"diagnosis"}, 0, 0, 0, 1}}}, cell.now);
  cell.advance(seconds(5));
  REQUIRE(cell.inState(wire::SlotState::Draining).empty());
  cell.demand("diagnosis", 1);
  CHECK(cell.inState(wire::SlotState::Draining).size() == 1);
  cell.finishDrains();
  cell.advance(seconds(2));
  CHECK(cell.countOf("diagnosis") == 1);
}

TEST_CASE("a spare replica of the same model is released to make room for an adapter in demand") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("base", 40, 2));
  cell.addModel(makeAdapter("adapter", "base", 1));
  cell.start(fixedKeepAlive(hours(1)));
  cell.demand("base", 16);
  cell.advance(seconds(2));
  cell.finishLoads();
  REQUIRE(cell.inState(wire::SlotState::Ready).size() == 2);
  cell.demand("base", 0);
  cell.demand("adapter", 1);
  REQUIRE(cell.inState(wire::SlotState::Draining).size() == 1);
  cell.finishDrains();
  cell.advance(seconds(1));
  CHECK(cell.onlySlotOf("base").adapters == std::vector<ModelName>{ModelName{"adapter"}});
}

TEST_CASE("draining an engine releases its idle replicas even if they fit on no other engine") {
  CellFixture cell;
  cell.addEngine("engine-1");
  cell.addModel(makeModel("booking", 40, 2));
  cell.settings[ModelName{"booking"}].min_replicas = 2;
  cell.start();
  cell.advance(seconds(2));
  cell.finishLoads();
  REQUIRE(cell.inState(wire::SlotState::Ready).size() == 2);
  const bool running = GENERATE(false, true);
  cell.demand("booking", 0, running ? 1 : 0);
  cell.ledger.apply(wire::DrainEngineCommand{EngineName{"engine-1"}, true});
  cell.planner->onEngineChanged(EngineName{"engine-1"}, cell.now);
  for (int round = 0; round < 4; ++round) {
    cell.advance(seconds(2));
    cell.finishDrains();
  }
  CHECK(cell.countOf("booking") == (running ? 1 : 0));
}

}  // namespace
}  // namespace ferryrock::placement
