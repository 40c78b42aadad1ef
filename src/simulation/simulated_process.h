#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "common/identifiers.h"
#include "common/time.h"
#include "simulation/event_queue.h"

namespace ferryrock::simulation {

/// What every simulated process has: a life that ends in a crash, pauses, and a clock of its own that drifts.
/// Work that was posted in one life never runs in the next one; work that falls into a pause runs when it
/// ends.
class SimulatedProcess {
 public:
  SimulatedProcess(EventQueue& events, std::string name, ZoneName zone);
  virtual ~SimulatedProcess() = default;
  SimulatedProcess(const SimulatedProcess&) = delete;
  SimulatedProcess& operator=(const SimulatedProcess&) = delete;

  const std::string& name() const { return name_; }
  const ZoneName& zone() const { return zone_; }
  bool running() const { return life_ != nullptr; }
  bool paused() const { return paused_; }

  /// Starts a life; nothing if one runs.
  void start();
  /// The process dies at once.
  void kill();
  void pause();
  void resume();
  /// Local clocks run this much faster (above 0) or slower; takes effect from now on.
  void setClockDrift(double drift);

  /// The process's own monotonic clock.
  TimePoint localTime() const;

  /// Runs work in the current life, now or when the pause ends. Nothing if the process doesn't run.
  void perform(Callback work);
  /// Runs work of the current life later, measured on the process's own clock.
  void performAt(TimePoint local_time, Callback work);

 protected:
  /// Builds the process's state; runs in start().
  virtual void onStart() = 0;
  /// Drops the process's volatile state; runs in kill().
  virtual void onKilled() = 0;

  EventQueue& events() { return events_; }

 private:
  struct Life {};

  EventQueue& events_;
  const std::string name_;
  const ZoneName zone_;
  std::shared_ptr<Life> life_;
  bool paused_ = false;
  std::deque<Callback> held_back_;
  double clock_rate_ = 1.0;
  TimePoint clock_set_at_;     ///< global time of the last change of the rate
  TimePoint clock_set_local_;  ///< local time then
};

}  // namespace ferryrock::simulation
