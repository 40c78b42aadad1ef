#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "storage_fixture.h"

namespace ferryrock::storage {
namespace {

/// Reference model: the expected contents of the log.
struct Oracle {
  std::uint64_t term = 0;
  std::uint64_t snapshot = 0;
  std::vector<wire::LogEntry> entries;  ///< entries after the snapshot

  std::uint64_t last() const { return snapshot + entries.size(); }

  void apply(const consensus::PersistEffect& write) {
    if (write.hard_state) {
      term = write.hard_state->term.value;
    }
    if (write.truncate_from) {
      entries.resize(write.truncate_from->value - snapshot - 1);
    }
    entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    if (write.snapshot) {
      applySnapshot(write.snapshot->last_index.value, write.snapshot->last_term);
    }
  }

  bool matches(const consensus::RecoveredState& recovered) const {
    const std::uint64_t found = recovered.snapshot ? recovered.snapshot->last_index.value : 0;
    return recovered.hard_state.term.value == term && found == snapshot && recovered.entries == entries;
  }

 private:
  void applySnapshot(std::uint64_t index, Term last_term) {
    const bool holds = index > snapshot && index <= last() && entries[index - snapshot - 1].term == last_term;
    if (holds) {
      entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(index - snapshot));
    } else {
      entries.clear();
    }
    snapshot = index;
  }
};

/// A storage and the simulated machine that it runs on.
struct Machine {
  explicit Machine(std::uint64_t seed) : disk(seed) { start(); }
  void start() {
    storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    recovered = storage->recover();
  }
  void crash() {
    storage.reset();
    disk.crash();
  }

  MemoryDisk disk;
  std::unique_ptr<LogStorage> storage;
  consensus::RecoveredState recovered;
  std::uint64_t sequence = 0;
};

using Writes = std::vector<consensus::PersistEffect>;

/// Generates writes that are valid for a member whose log is in the given state.
Writes drawWrites(Oracle state) {
  Writes writes;
  const int count = *rc::gen::inRange(1, 4);
  for (int number = 0; number < count; ++number) {
    consensus::PersistEffect write;
    const int kind = *rc::gen::inRange(0, 10);
    const std::uint64_t term = state.term + static_cast<std::uint64_t>(*rc::gen::inRange(0, 2));
    if (term > state.term || kind == 0) {
      write.hard_state = consensus::HardState{Term{term}, MemberId{1}, DiskId{1}};
    }
    if (kind <= 1 && !state.entries.empty()) {
      const auto behind = static_cast<std::uint64_t>(*rc::gen::inRange<std::size_t>(0, state.entries.size()));
      write.truncate_from = LogIndex{state.snapshot + 1 + behind};
    }
    if (kind == 2 && !state.entries.empty()) {
      const auto position = *rc::gen::inRange<std::size_t>(0, state.entries.size());
      const wire::LogEntry& last = state.entries[position];
      write.snapshot = consensus::Snapshot{last.index, last.term, {}, std::string(200, 's')};
    } else if (kind == 3) {
      const auto index = state.last() + static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
      write.snapshot = consensus::Snapshot{LogIndex{index}, Term{term}, {}, std::string(200, 's')};
    } else {
      const std::uint64_t first = write.truncate_from ? write.truncate_from->value : state.last() + 1;
      const auto added = static_cast<std::uint64_t>(*rc::gen::inRange(0, 12));
      for (std::uint64_t index = first; index < first + added; ++index) {
        write.entries.push_back(entryOf(index, term));
      }
    }
    state.apply(write);
    writes.push_back(std::move(write));
  }
  return writes;
}

/// The states that a crash during the writes may leave, from none of the writes to all of them.
std::vector<Oracle> possibleStates(const Oracle& before, const Writes& writes) {
  std::vector<Oracle> states{before};
  for (const auto& write : writes) {
    // A write with a snapshot is not atomic: its other parts are synced before the snapshot.
    consensus::PersistEffect without_snapshot = write;
    without_snapshot.snapshot.reset();
    states.push_back(states.back());
    states.back().apply(without_snapshot);
    consensus::PersistEffect only_snapshot;
    only_snapshot.snapshot = write.snapshot;
    states.push_back(states.back());
    states.back().apply(only_snapshot);
  }
  return states;
}

/// Persists writes completely, then crashes in half of the cases and checks the recovered state.
void persistAll(Oracle& state, Machine& machine) {
  const Writes writes = drawWrites(state);
  machine.storage->persist(writes);
  for (const auto& write : writes) {
    state.apply(write);
  }
  if (*rc::gen::arbitrary<bool>()) {
    machine.crash();
    machine.start();
    RC_ASSERT(state.matches(machine.recovered));
  }
}

/// Crashes at a random operation of a write, possibly again during recovery, and continues from the state
/// that is recovered then.
void crashDuringPersist(Oracle& state, Machine& machine) {
  const Writes writes = drawWrites(state);
  machine.disk.crashAfter(static_cast<std::uint64_t>(*rc::gen::inRange(0, 12)));
  try {
    machine.storage->persist(writes);
  } catch (const DiskCrashed&) {
  }
  machine.crash();
  machine.disk.crashAfter(static_cast<std::uint64_t>(*rc::gen::inRange(0, 6)));
  try {
    machine.start();
  } catch (const DiskCrashed&) {
  }
  machine.crash();
  machine.start();
  const std::vector<Oracle> possible = possibleStates(state, writes);
  const auto found = std::find_if(possible.begin(), possible.end(), [&machine](const Oracle& candidate) {
    return candidate.matches(machine.recovered);
  });
  RC_ASSERT(found != possible.end());
  state = *found;
}

TEST_CASE("the recovered log matches the reference model after a crash at any operation") {
  const bool holds = rc::check([](std::uint64_t seed) {
    Machine machine(seed);
    Oracle state;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::arbitrary<bool>()) {
        persistAll(state, machine);
      } else {
        crashDuringPersist(state, machine);
      }
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace ferryrock::storage
