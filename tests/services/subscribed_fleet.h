#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "services/service_cluster.h"

namespace ferryrock::services {

inline constexpr std::size_t kModels = 40;
inline constexpr std::size_t kPlainShare = 20;  ///< one replica in this many is of the plain service

/// A cell with real routers, replicas with models, and a few replicas of a plain service without models.
/// Replicas report every second, distributed over the members.
struct SubscribedFleet {
  SubscribedFleet(std::size_t router_count, std::size_t replica_count, std::size_t members = 3)
      : cluster(members, 1) {
    cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
      if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
        ++sent_to[sent->replica];
        last_sent = cluster.now();
        cluster.schedule(std::chrono::milliseconds(1), [this, &router, attempt = sent->attempt] {
          cluster.actRouter(router, [attempt](calls::CallRouter& logic, TimePoint now) {
            return logic.onAnswer(attempt, {200, false}, now);
          });
        });
      }
    };
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
    for (std::size_t i = 0; i < replica_count; ++i) {
      cluster.schedule(std::chrono::milliseconds(i % 1000), [this, i] { sendHeartbeat(i); });
    }
    for (std::size_t i = 0; i < router_count; ++i) {
      routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
    }
    REQUIRE(cluster.replaceAcknowledged(catalog()));
    cluster.runFor(std::chrono::seconds(9));
  }
  static wire::ServiceCatalog catalog() {
    wire::ServiceCatalog catalog = makeCatalog(1);
    auto& models = catalog.services[1].engine->models;
    models.clear();
    for (std::size_t i = 0; i < kModels; ++i) {
      wire::HostedModel model;
      model.name = modelAt(i);
      model.weight_mb = 60;
      models.push_back(model);
    }
    for (wire::CallRoute& route : catalog.routes) {
      route.timeout_ms = 4000;
    }
    return catalog;
  }
  static ModelName modelAt(std::size_t number) { return ModelName("m" + std::to_string(number % kModels)); }
  static std::string nameAt(std::size_t number) { return "r" + std::to_string(number); }
  static bool isPlain(std::size_t number) { return number % kPlainShare == 0; }
  wire::ReplicaReport reportOf(std::size_t number) {
    wire::ReplicaReport report = makeReport(nameAt(number), isPlain(number) ? "desk" : "llm", ++sequence);
    if (!isPlain(number)) {
      report.held = {{modelAt(number), {}}};
    }
    report.leaving = leaving.contains(number);
    return report;
  }
  void sendHeartbeat(std::size_t number) {
    if (stopped_replicas.contains(number)) {
      return;
    }
    ServiceMember& member = cluster.member(number % 3);
    if (member.control) {
      cluster.report(member, reportOf(number));
    }
    cluster.schedule(std::chrono::seconds(1), [this, number] { sendHeartbeat(number); });
  }
  /// Sends a call for the model to the router; an empty model: a call for the plain service.
  void call(RunningRouter& router, const std::string& model) {
    calls::CallRequest request;
    request.number = calls::CallNumber{++router.calls};
    request.id = RequestId("call-" + std::to_string(router.calls));
    request.host = "example";
    request.path = model.empty() ? "/desk/x" : "/llm/x";
    request.model = ModelName(model);
    cluster.actRouter(
        router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
  }
  std::size_t refused() const {
    std::size_t count = 0;
    for (const RunningRouter* router : routers) {
      count += router->logic->counts().refused;
    }
    return count;
  }
  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  std::map<ReplicaId, std::size_t> sent_to;
  TimePoint last_sent{};
  std::set<std::size_t> leaving;
  std::set<std::size_t> stopped_replicas;
  std::uint64_t sequence = 0;
};

}  // namespace ferryrock::services
