#include "simulation/simulated_process.h"

#include <algorithm>
#include <utility>

namespace ferryrock::simulation {
namespace {

Duration scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Local clocks start away from zero, so that "never" and "at the start" can't be mixed up.
constexpr Duration kClockStart = std::chrono::hours(1);

}  // namespace

SimulatedProcess::SimulatedProcess(EventQueue& events, std::string name, ZoneName zone)
    : events_(events),
      name_(std::move(name)),
      zone_(std::move(zone)),
      clock_set_at_(events.now()),
      clock_set_local_(TimePoint{kClockStart}) {}

void SimulatedProcess::start() {
  if (running()) {
    return;
  }
  life_ = std::make_shared<Life>();
  paused_ = false;
  held_back_.clear();
  onStart();
}

void SimulatedProcess::kill() {
  if (!running()) {
    return;
  }
  life_.reset();
  paused_ = false;
  held_back_.clear();
  onKilled();
}

void SimulatedProcess::pause() {
  paused_ = running();
}

void SimulatedProcess::resume() {
  if (!paused_) {
    return;
  }
  paused_ = false;
  while (running() && !paused_ && !held_back_.empty()) {
    const Callback work = std::move(held_back_.front());
    held_back_.pop_front();
    work();
  }
}

void SimulatedProcess::setClockDrift(double drift) {
  clock_set_local_ = localTime();
  clock_set_at_ = events_.now();
  clock_rate_ = 1.0 + drift;
}

TimePoint SimulatedProcess::localTime() const {
  return clock_set_local_ + scale(events_.now() - clock_set_at_, clock_rate_);
}

void SimulatedProcess::perform(Callback work) {
  if (!running()) {
    return;
  }
  if (paused_) {
    held_back_.push_back(std::move(work));
    return;
  }
  work();
}

void SimulatedProcess::performAt(TimePoint local_time, Callback work) {
  // Rounded up by a microsecond, so that the local clock has reached the instant when the event runs.
  constexpr Duration kRounding = std::chrono::microseconds(1);
  const Duration wait = std::max(Duration::zero(), local_time - localTime());
  const std::weak_ptr<Life> life = life_;
  events_.after(scale(wait, 1.0 / clock_rate_) + kRounding, [this, life, work = std::move(work)] {
    if (!life.expired()) {
      perform(work);
    }
  });
}

}  // namespace ferryrock::simulation
