#include "simulation/simulated_weight_store.h"

#include <utility>

namespace ferryrock::simulation {

emulator::StoreTransferId SimulatedWeightStore::request(std::uint64_t bytes, Callback done) {
  const emulator::StoreTransferId transfer{next_transfer_++};
  done_[transfer] = std::move(done);
  model_.request(events_.now(), transfer, bytes);
  settle();
  return transfer;
}

void SimulatedWeightStore::cancel(emulator::StoreTransferId transfer) {
  if (done_.erase(transfer) > 0) {
    model_.cancel(events_.now(), transfer);
    settle();
  }
}

void SimulatedWeightStore::setSlowFactor(double factor) {
  model_.setSlowFactor(events_.now(), factor);
  settle();
}

void SimulatedWeightStore::setStopped(bool stopped) {
  model_.setStopped(events_.now(), stopped);
  settle();
}

void SimulatedWeightStore::settle() {
  model_.tick(events_.now());
  for (const emulator::StoreTransferId transfer : model_.takeCompleted()) {
    const auto found = done_.find(transfer);
    if (found != done_.end()) {
      events_.after(Duration::zero(), std::move(found->second));
      done_.erase(found);
    }
  }
  const auto wakeup = model_.nextWakeup();
  if (!wakeup || (wakeup_ > events_.now() && *wakeup >= wakeup_)) {
    return;
  }
  wakeup_ = std::max(*wakeup, events_.now());
  events_.at(wakeup_, [this] {
    wakeup_ = TimePoint::max();
    settle();
  });
}

}  // namespace ferryrock::simulation
