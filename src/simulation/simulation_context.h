#pragma once

#include "common/random.h"
#include "simulation/event_queue.h"
#include "simulation/fault_kind.h"
#include "simulation/simulated_network.h"
#include "simulation/trace.h"

namespace ferryrock::simulation {

class Oracle;
class ProcessDirectory;

/// What all parts of one run share. The parts outlive no run.
struct SimulationContext {
  EventQueue& events;
  SimulatedNetwork& network;
  Trace& trace;
  Oracle& oracle;
  ProcessDirectory& directory;
  FaultCounts& faults;
};

}  // namespace ferryrock::simulation
