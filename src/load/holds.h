#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/fault_history.h"
#include "load/journal.h"

namespace ferryrock::load {

/// One replica held by one engine incarnation, as its journal tells.
struct Hold {
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint64_t slot = 0;
  std::string model;
  WallMilliseconds begin_ms = 0;
  WallMilliseconds end_ms = 0;
  std::string place;
};

/// Every hold of a journal. A hold that the engine's death ended lasts to the kill that the fault log tells,
/// else to the engine's next start, else for ever.
std::vector<Hold> holdsOf(const EngineJournal& journal, const FaultHistory& faults);

}  // namespace ferryrock::load
