#include "services/service_cluster.h"

/// Default catalog and reports for tests of hosted services.
namespace ferryrock::services {

wire::ServiceCatalog makeCatalog(std::uint64_t version) {
  wire::ServiceCatalog catalog;
  catalog.version = CatalogVersion{version};
  wire::HostedService desk;
  desk.name = ServiceName("desk");
  wire::HostedService llm;
  llm.name = ServiceName("llm");
  llm.engine.emplace();
  llm.engine->slots = 4;
  llm.engine->weight_capacity_mb = 130;
  llm.engine->adapter_slots = 2;
  llm.engine->loads_per_second = 2;
  for (const char* name : {"m0", "m1", "m2"}) {
    wire::HostedModel model;
    model.name = ModelName(name);
    model.weight_mb = 60;
    model.adapters = 5;
    model.adapter_mb = 1;
    llm.engine->models.push_back(model);
  }
  catalog.services = {desk, llm};
  for (const wire::HostedService& service : catalog.services) {
    wire::CallRoute route;
    route.name = RouteName("to-" + service.name.value);
    route.host = "example";
    route.path_prefix = "/" + service.name.value + "/";
    route.timeout_ms = 1000;
    route.targets = {{service.name, 1}};
    catalog.routes.push_back(route);
  }
  return catalog;
}

wire::ReplicaReport makeReport(const std::string& id, const std::string& service, std::uint64_t sequence) {
  wire::ReplicaReport report;
  report.id = ReplicaId(id);
  report.service = ServiceName(service);
  report.address = id + ":80";
  report.slots = 4;
  report.sequence = sequence;
  return report;
}

}  // namespace ferryrock::services
