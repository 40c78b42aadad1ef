#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"

namespace ferryrock::emulator {

/// Faults of one engine that are on.
struct EngineFaults {
  double slow_factor = 1.0;      ///< multiplies the time of steps and loads
  bool stall = false;            ///< requests are taken, nothing is answered or run
  bool crash_in_load = false;    ///< the process dies in the middle of the next load
  bool fail_load = false;        ///< loads end as failed
  bool ignore_fences = false;    ///< orders are carried out however low their fence is
  bool refuse = false;           ///< every request is refused before admission
  bool crossed_answers = false;  ///< chunks of concurrent streams go to each other's readers
  bool double_chunks = false;    ///< every chunk is sent twice
  Duration answer_delay{};       ///< everything towards readers is late by this
  /// Connections are closed after so many chunks.
  std::optional<std::uint64_t> cut_after_chunks;
  /// Connections left to cut; absent: all.
  std::optional<std::uint64_t> cuts_left;
};

}  // namespace ferryrock::emulator
