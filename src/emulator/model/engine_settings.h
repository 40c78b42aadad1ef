#pragma once

#include <cstdint>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::emulator {

/// What one stand-in engine is made of. Durations and rates are those of the modelled engine; time_scale
/// shortens or stretches them all at once.
struct EngineSettings {
  EngineName name{"engine-1"};
  MachineName machine{"machine-1"};
  ZoneName zone{"zone-1"};

  std::uint32_t accelerators = 2;
  std::uint64_t bytes_per_accelerator = 80'000'000'000;
  /// Multiplies every modelled duration: 0.1 makes a load of 10 s last 1 s.
  double time_scale = 1.0;

  // Continuous batching, for each slot by itself.
  std::uint32_t max_batch = 32;
  std::uint32_t max_waiting = 256;
  std::uint32_t tokens_per_step = 1;  ///< chunks that one sequence gets per step
  Duration step_base = std::chrono::milliseconds(8);
  Duration step_per_sequence = std::chrono::microseconds(200);
  Duration prefill_per_token = std::chrono::microseconds(50);
  std::uint32_t prefill_tokens_per_step = 2048;
  std::uint32_t max_tokens = 32768;  ///< upper bound of a request's max_tokens

  // Prefix cache of each slot.
  std::uint32_t cache_blocks = 4096;
  std::uint32_t cache_block_tokens = 16;
  Duration cache_event_lag = std::chrono::seconds(1);
  double cache_event_loss = 0.01;  ///< share of events whose number is never published
  std::uint32_t cache_event_history = 10'000;
  Duration cache_transfer_per_token = std::chrono::microseconds(5);

  Duration load_report_lag = std::chrono::milliseconds(500);

  // Checkpoint tiers.
  std::uint64_t memory_tier_bytes = 200'000'000'000;
  std::uint64_t disk_tier_bytes = 1'000'000'000'000;
  std::uint64_t memory_bytes_per_second = 20'000'000'000;
  std::uint64_t disk_bytes_per_second = 2'000'000'000;
  Duration load_overhead = std::chrono::milliseconds(500);
  Duration adapter_overhead = std::chrono::milliseconds(50);
  Duration unload_time = std::chrono::milliseconds(200);
  /// How long an unload waits for the requests in flight before it fails them.
  Duration unload_grace = std::chrono::seconds(30);

  // Of the protocol, hence never scaled.
  Duration reader_grace = std::chrono::seconds(10);  ///< an attempt without a reader is cancelled after this
  Duration finished_retention = std::chrono::seconds(30);  ///< how long a finished attempt can be resumed
};

/// A modelled duration after scaling.
inline Duration scaled(const EngineSettings& settings, Duration duration) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * settings.time_scale));
}

/// Scaled time that so many bytes take at a rate.
inline Duration transferTime(const EngineSettings& settings, std::uint64_t bytes,
                             std::uint64_t bytes_per_second) {
  const double seconds = static_cast<double>(bytes) / static_cast<double>(bytes_per_second);
  return scaled(settings, fromSeconds(seconds));
}

}  // namespace ferryrock::emulator
