#pragma once

#include <functional>
#include <map>

#include "emulator/model/weight_store_model.h"
#include "simulation/event_queue.h"

namespace ferryrock::simulation {

/// The weight store of a run; its faults are its model's.
class SimulatedWeightStore {
 public:
  SimulatedWeightStore(EventQueue& events, const emulator::WeightStoreSettings& settings)
      : events_(events), model_(settings) {}

  /// Starts a transfer; done runs when it is complete.
  emulator::StoreTransferId request(std::uint64_t bytes, Callback done);
  void cancel(emulator::StoreTransferId transfer);
  void setSlowFactor(double factor);
  void setStopped(bool stopped);

 private:
  void settle();

  EventQueue& events_;
  emulator::WeightStoreModel model_;
  std::uint64_t next_transfer_ = 1;
  std::map<emulator::StoreTransferId, Callback> done_;
  TimePoint wakeup_ = TimePoint::max();
};

}  // namespace ferryrock::simulation
