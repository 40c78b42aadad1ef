#include "control/hosted_services.h"

#include <vector>

#include "wire/codec.h"

namespace ferryrock::control {

/// Not in the unnamed namespace, where its comparison would be an unused function.
struct StoredHostedServices {
  wire::ServiceCatalog catalog;
  std::string source;
  std::vector<ReplicaId> leaving;
  FERRYROCK_FIELDS(StoredHostedServices, catalog, source, leaving)
};

wire::CommandResult HostedServices::apply(const wire::ReplaceCatalogCommand& command) {
  if (command.catalog.version > catalog_.version) {
    catalog_ = command.catalog;
    source_ = command.source;
  }
  return {};
}

wire::CommandResult HostedServices::apply(const wire::ReplicaLeavingCommand& command) {
  if (!leaving_.insert(command.replica).second) {
    return {};
  }
  leaving_order_.push_back(command.replica);
  if (leaving_order_.size() > kRememberedLeaving) {
    leaving_.erase(leaving_order_.front());
    leaving_order_.pop_front();
  }
  return {};
}

std::string HostedServices::serialize() const {
  return wire::encode(
      StoredHostedServices{catalog_, source_, {leaving_order_.begin(), leaving_order_.end()}});
}

void HostedServices::restore(std::string_view bytes) {
  StoredHostedServices stored;
  if (!bytes.empty()) {
    stored = wire::decode<StoredHostedServices>(bytes);
  }
  catalog_ = std::move(stored.catalog);
  source_ = std::move(stored.source);
  leaving_order_.assign(stored.leaving.begin(), stored.leaving.end());
  leaving_ = {stored.leaving.begin(), stored.leaving.end()};
}

}  // namespace ferryrock::control
