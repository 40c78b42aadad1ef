#include "simulation/process_directory.h"

#include <utility>

#include "simulation/simulated_control.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_router.h"

namespace ferryrock::simulation {

void ProcessDirectory::add(SimulatedControl& control) {
  controls_[control.name()] = &control;
}
void ProcessDirectory::add(SimulatedEngine& engine) {
  engines_[engine.name()] = &engine;
}
void ProcessDirectory::add(SimulatedRouter& router) {
  routers_[router.name()] = &router;
}
void ProcessDirectory::remove(const SimulatedControl& control) {
  controls_.erase(control.name());
}

SimulatedEngine* ProcessDirectory::engine(const EngineName& name) const {
  const auto found = engines_.find(name.value);
  return found == engines_.end() ? nullptr : found->second;
}

void ProcessDirectory::deliver(const NodeName& to, const wire::Envelope& envelope) {
  if (const auto control = controls_.find(to.value); control != controls_.end()) {
    control->second->perform([process = control->second, envelope] { process->receive(envelope); });
  } else if (const auto router = routers_.find(to.value); router != routers_.end()) {
    router->second->perform([process = router->second, envelope] { process->receive(envelope); });
  }
}

void ProcessDirectory::deliverToRouter(const std::string& router, Callback work) {
  const auto found = routers_.find(router);
  if (found != routers_.end()) {
    found->second->perform(std::move(work));
  }
}

}  // namespace ferryrock::simulation
