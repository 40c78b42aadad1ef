#include "simulation/simulated_network.h"

#include <algorithm>
#include <utility>

namespace ferryrock::simulation {

SimulatedNetwork::SimulatedNetwork(EventQueue& events, Random random, const NetworkSettings& settings)
    : events_(events), random_(std::move(random)), settings_(settings) {}

Duration SimulatedNetwork::delay() {
  double delay = static_cast<double>(settings_.latency.count());
  delay += random_.exponential(static_cast<double>(settings_.jitter_mean.count()));
  if (random_.chance(settings_.slow_chance)) {
    delay += random_.exponential(static_cast<double>(settings_.slow_delay_mean.count()));
  }
  return Duration(static_cast<Duration::rep>(delay));
}

void SimulatedNetwork::deliverOnce(const std::string& from, const std::string& to, Callback deliver) {
  events_.after(delay(), [this, from, to, deliver = std::move(deliver)] {
    if (!isCut(from, to)) {
      deliver();
    }
  });
}

void SimulatedNetwork::sendDatagram(const std::string& from, const std::string& to, Callback deliver) {
  if (isCut(from, to)) {
    return;
  }
  if (random_.chance(settings_.drop_chance)) {
    ++dropped_;
    return;
  }
  if (random_.chance(settings_.duplicate_chance)) {
    ++doubled_;
    deliverOnce(from, to, deliver);
  }
  deliverOnce(from, to, std::move(deliver));
}

void SimulatedNetwork::sendOrdered(const std::string& from, const std::string& to, std::uint64_t connection,
                                   Callback deliver, Callback lost) {
  TimePoint& last = last_arrival_[{connection, to}];
  last = std::max(last, events_.now() + delay());
  events_.at(last, [this, from, to, deliver = std::move(deliver), lost = std::move(lost)] {
    if (isCut(from, to)) {
      lost();
    } else {
      deliver();
    }
  });
}

}  // namespace ferryrock::simulation
