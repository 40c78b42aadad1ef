#include "emulator/model/platform_model.h"

#include <algorithm>

namespace ferryrock::emulator {

using control::MachineList;
using control::MachineRecord;
using control::MachineState;

PlatformModel::PlatformModel(const PlatformSettings& settings, TimePoint now) : settings_(settings) {
  for (const PlatformMachine& machine : settings_.machines) {
    truths_[machine.machine].last_answer = now;
  }
  publish(now);
}

PlatformModel::Truth* PlatformModel::find(const MachineName& machine) {
  const auto found = truths_.find(machine);
  return found == truths_.end() ? nullptr : &found->second;
}

void PlatformModel::publish(TimePoint now) {
  Snapshot snapshot;
  snapshot.version = snapshots_.empty() ? 1 : snapshots_.back().version + 1;
  snapshot.taken = now;
  for (const PlatformMachine& machine : settings_.machines) {
    const Truth& truth = truths_.at(machine.machine);
    Row row{truth.wrong.value_or(truth.state), now, truth.leaves_at, machine};
    if (!snapshots_.empty()) {
      for (const Row& earlier : snapshots_.back().rows) {
        if (earlier.machine.machine == machine.machine && earlier.state == row.state) {
          row.shown_since = earlier.shown_since;
        }
      }
    }
    snapshot.rows.push_back(row);
  }
  snapshots_.push_back(std::move(snapshot));
}

void PlatformModel::change(TimePoint now, Truth& truth, MachineState state) {
  truth.state = state;
  publish(now);
}

bool PlatformModel::leave(TimePoint now, const MachineName& machine, std::optional<Duration> in) {
  Truth* truth = find(machine);
  if (truth == nullptr) {
    return false;
  }
  truth->leaves_at.reset();
  if (in) {
    truth->leaves_at = now + *in;
  }
  change(now, *truth, MachineState::Leaving);
  return true;
}

bool PlatformModel::gone(TimePoint now, const MachineName& machine) {
  Truth* truth = find(machine);
  if (truth == nullptr) {
    return false;
  }
  truth->leaves_at.reset();
  truth->gone_by_probe = false;
  change(now, *truth, MachineState::Gone);
  return true;
}

bool PlatformModel::comeBack(TimePoint now, const MachineName& machine) {
  Truth* truth = find(machine);
  if (truth == nullptr) {
    return false;
  }
  truth->leaves_at.reset();
  truth->last_answer = now;
  truth->gone_by_probe = false;
  change(now, *truth, MachineState::Live);
  return true;
}

bool PlatformModel::publishWrong(TimePoint now, const MachineName& machine, MachineState state) {
  Truth* truth = find(machine);
  if (truth == nullptr) {
    return false;
  }
  truth->wrong = state;
  publish(now);
  return true;
}

void PlatformModel::clearWrong(TimePoint now) {
  for (auto& [name, truth] : truths_) {
    truth.wrong.reset();
  }
  publish(now);
}

void PlatformModel::setLag(TimePoint now, Duration lag) {
  settings_.lag = lag;
  publish(now);
}

void PlatformModel::put(TimePoint now, const PlatformMachine& machine) {
  const auto known =
      std::find_if(settings_.machines.begin(), settings_.machines.end(),
                   [&](const PlatformMachine& held) { return held.machine == machine.machine; });
  if (known == settings_.machines.end()) {
    settings_.machines.push_back(machine);
  } else {
    *known = machine;
  }
  truths_[machine.machine].last_answer = now;
  publish(now);
}

void PlatformModel::onProbe(TimePoint now, const MachineName& machine, bool answered) {
  Truth* truth = find(machine);
  if (truth == nullptr || settings_.gone_after == Duration::zero()) {
    return;
  }
  if (answered) {
    truth->last_answer = now;
    if (truth->gone_by_probe) {
      truth->gone_by_probe = false;
      change(now, *truth, MachineState::Live);
    }
    return;
  }
  if (truth->state != MachineState::Gone && now - truth->last_answer >= settings_.gone_after) {
    truth->gone_by_probe = true;
    truth->leaves_at.reset();
    change(now, *truth, MachineState::Gone);
  }
}

void PlatformModel::tick(TimePoint now) {
  for (auto& [name, truth] : truths_) {
    if (truth.state == MachineState::Leaving && truth.leaves_at && *truth.leaves_at <= now) {
      truth.leaves_at.reset();
      change(now, truth, MachineState::Gone);
    }
  }
}

MachineList PlatformModel::list(TimePoint now) {
  tick(now);
  while (snapshots_.size() > 1 && snapshots_[1].taken + settings_.lag <= now) {
    snapshots_.pop_front();
  }
  const Snapshot& shown = snapshots_.front();
  MachineList list;
  list.version = shown.version;
  list.lag_ms = toMilliseconds(settings_.lag);
  for (const Row& row : shown.rows) {
    MachineRecord record;
    record.machine = row.machine.machine;
    record.engine = row.machine.engine;
    record.url = row.machine.url;
    record.zone = row.machine.zone;
    record.state = row.state;
    record.since_ms = std::max<std::int64_t>(0, toMilliseconds(now - row.shown_since - settings_.lag));
    if (row.state == MachineState::Leaving && row.leaves_at) {
      record.leaves_in_ms = std::max<std::int64_t>(0, toMilliseconds(*row.leaves_at - now));
    }
    list.machines.push_back(record);
  }
  return list;
}

}  // namespace ferryrock::emulator
