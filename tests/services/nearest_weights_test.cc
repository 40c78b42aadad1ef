#include "services/nearest_weights.h"

#include <catch2/catch.hpp>
#include <string>

#include "services/model_placer.h"
#include "services/service_cluster.h"

/// Tests of the shortest load time of a model, and of its cost for many routers of a large fleet.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

wire::HostedModel modelNamed(const std::string& name) {
  wire::HostedModel model;
  model.name = ModelName(name);
  model.memory_load_ms = 200;
  model.disk_load_ms = 900;
  model.store_load_ms = 6000;
  return model;
}

wire::ReplicaReport reportWith(const std::string& id, const std::vector<ModelName>& in_memory,
                               const std::vector<ModelName>& on_disk) {
  wire::ReplicaReport report = makeReport(id, "llm", 1);
  report.in_memory = in_memory;
  report.on_disk = on_disk;
  return report;
}

TEST_CASE("The shortest load uses the fastest tier among replicas that take calls") {
  ReplicaRegistry registry;
  const ModelName near("near");
  const ModelName kept("kept");
  registry.accept(reportWith("r1", {}, {near, kept}), kStart, true);
  registry.accept(reportWith("r2", {near}, {}), kStart, true);
  wire::ReplicaReport leaving = reportWith("r3", {kept}, {});
  leaving.leaving = true;
  registry.accept(leaving, kStart, true);
  NearestWeights weights(registry);
  CHECK(weights.shortestLoad(ServiceName("llm"), modelNamed("near"), kStart) == 200ms);
  CHECK(weights.shortestLoad(ServiceName("llm"), modelNamed("kept"), kStart) == 900ms);
  CHECK(weights.shortestLoad(ServiceName("llm"), modelNamed("far"), kStart) == 6000ms);
  CHECK(weights.shortestLoad(ServiceName("other"), modelNamed("near"), kStart) == 6000ms);
}

TEST_CASE("Newly reported weights are taken into account within one second") {
  ReplicaRegistry registry;
  registry.accept(reportWith("r1", {}, {}), kStart, true);
  NearestWeights weights(registry);
  CHECK(weights.shortestLoad(ServiceName("llm"), modelNamed("m1"), kStart) == 6000ms);
  wire::ReplicaReport later = reportWith("r1", {ModelName("m1")}, {});
  later.sequence = 2;
  registry.accept(later, kStart + 10ms, true);
  CHECK(weights.shortestLoad(ServiceName("llm"), modelNamed("m1"), kStart + 1s) == 200ms);
}

/// Replicas that a new leader scans if each router requests a model before orders are permitted.
std::uint64_t scannedFor(std::size_t routers, std::size_t replicas) {
  ReplicaRegistry registry;
  for (std::size_t i = 0; i < replicas; ++i) {
    registry.accept(reportWith("r" + std::to_string(i), {}, {ModelName("m1")}), kStart, true);
  }
  wire::ServiceCatalog catalog = makeCatalog(1);
  wire::HostedService& llm = catalog.services[1];
  llm.engine->models.push_back(modelNamed("m1"));
  ModelPlacerSettings settings;
  settings.first_order = kStart + 3s;
  ModelDemand demand;
  ModelPlacer placer(settings, registry, demand);
  for (std::size_t i = 0; i < routers; ++i) {
    REQUIRE(placer.expectedAt(llm, ModelName("m1"), kStart + 1ms * (i % 900)).has_value());
  }
  return placer.replicasScannedForExpected();
}

TEST_CASE("A new leader scans the replicas once for the requests of all routers, not once for each") {
  const std::uint64_t small = scannedFor(100, 500);
  CHECK(small <= 500);
  CHECK(scannedFor(200, 500) <= small);
  CHECK(scannedFor(200, 1000) <= 2 * small);
}

}  // namespace
}  // namespace ferryrock::services
