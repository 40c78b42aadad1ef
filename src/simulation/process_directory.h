#pragma once

#include <map>
#include <memory>
#include <string>

#include "simulation/event_queue.h"
#include "wire/messages.h"

namespace ferryrock::simulation {

class SimulatedControl;
class SimulatedEngine;
class SimulatedRouter;

/// The processes of a run by name. Owned elsewhere; a process stays listed while it is dead.
class ProcessDirectory {
 public:
  void add(SimulatedControl& control);
  void add(SimulatedEngine& engine);
  void add(SimulatedRouter& router);
  void remove(const SimulatedControl& control);

  const std::map<std::string, SimulatedControl*>& controls() const { return controls_; }
  const std::map<std::string, SimulatedEngine*>& engines() const { return engines_; }
  const std::map<std::string, SimulatedRouter*>& routers() const { return routers_; }
  SimulatedEngine* engine(const EngineName& name) const;

  /// Hands an internal message to whoever has the name; nothing if it doesn't run.
  void deliver(const NodeName& to, const wire::Envelope& envelope);
  /// Runs work in a router's process, in its current life.
  void deliverToRouter(const std::string& router, Callback work);

 private:
  std::map<std::string, SimulatedControl*> controls_;
  std::map<std::string, SimulatedEngine*> engines_;
  std::map<std::string, SimulatedRouter*> routers_;
};

}  // namespace ferryrock::simulation
