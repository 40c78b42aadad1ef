#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "control/engine_orders.h"

/// A stand-in for the platform's list of live and leaving machines, without input or output.
namespace ferryrock::emulator {

struct PlatformMachine {
  MachineName machine;
  EngineName engine;
  std::string url;
  ZoneName zone;
};

struct PlatformSettings {
  std::vector<PlatformMachine> machines;
  Duration lag = std::chrono::seconds(2);
  /// A machine whose engine hasn't answered probes for this long is gone; zero: probes change nothing.
  Duration gone_after{};
};

/// Knows the machines' true states and publishes them late.
class PlatformModel {
 public:
  PlatformModel(const PlatformSettings& settings, TimePoint now);

  /// The list as it was one lag ago.
  control::MachineList list(TimePoint now);

  // Faults and changes; false if the machine is unknown.
  bool leave(TimePoint now, const MachineName& machine, std::optional<Duration> in);
  bool gone(TimePoint now, const MachineName& machine);
  bool comeBack(TimePoint now, const MachineName& machine);
  /// Publishes a state that isn't true, until clearWrong().
  bool publishWrong(TimePoint now, const MachineName& machine, control::MachineState state);
  void clearWrong(TimePoint now);
  void setLag(TimePoint now, Duration lag);
  /// Adds a machine or replaces the address of a known one.
  void put(TimePoint now, const PlatformMachine& machine);

  /// An engine's answer to a probe, or its absence.
  void onProbe(TimePoint now, const MachineName& machine, bool answered);
  void tick(TimePoint now);
  const std::vector<PlatformMachine>& machines() const { return settings_.machines; }

 private:
  struct Truth {
    control::MachineState state = control::MachineState::Live;
    std::optional<TimePoint> leaves_at;
    std::optional<control::MachineState> wrong;
    TimePoint last_answer;
    bool gone_by_probe = false;
  };
  struct Row {
    control::MachineState state = control::MachineState::Live;
    TimePoint shown_since;  ///< when it became true; shown one lag later
    std::optional<TimePoint> leaves_at;
    PlatformMachine machine;
  };
  struct Snapshot {
    std::uint64_t version = 0;
    TimePoint taken;
    std::vector<Row> rows;
  };
  Truth* find(const MachineName& machine);
  void change(TimePoint now, Truth& truth, control::MachineState state);
  void publish(TimePoint now);

  PlatformSettings settings_;
  std::map<MachineName, Truth> truths_;
  std::deque<Snapshot> snapshots_;  ///< oldest first; the first one is what is shown
};

}  // namespace ferryrock::emulator
