#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "load/arrivals.h"
#include "load/planned_operation.h"

namespace ferryrock::load {

/// Whole numbers of [low, high], all equally likely.
struct IntegerRange {
  std::uint32_t low = 0;
  std::uint32_t high = 0;
};

/// The callers of one model, adapter or service. Shares are of 0 to 1.
struct CallerGroup {
  std::string model;
  std::shared_ptr<const ArrivalProcess> arrivals;
  IntegerRange prompt_words{5, 50};
  IntegerRange max_tokens{4, 32};
  std::string prompt_prefix;   ///< words that all prompts begin with, for warm prefixes
  std::uint32_t sessions = 0;  ///< sessions that the requests belong to; 0: none
  double stream_share = 0.5;
  double chat_share = 0.8;
  double unrepeatable_share = 0;  ///< requests with an idempotency key
  double resend_share = 0;        ///< of those: also sent to another router
  double leave_share = 0;         ///< callers that hang up
  double slow_reader_share = 0;   ///< of the streams
  Duration leave_after{};         ///< longest time until a leaving caller hangs up
  Duration resend_after{};        ///< longest time until a key is sent again
  Duration timeout{};
  std::optional<std::int32_t> priority;
};

/// A described mix of load; `examples/load/` has files.
struct LoadMix {
  Duration length{};
  std::uint64_t seed = 1;
  std::vector<CallerGroup> groups;
};

/// Reads a YAML file, every key checked. Throws Error with the file, line, key and remedy.
LoadMix readLoadMix(const std::string& file);
LoadMix readLoadMixText(const std::string& text, const std::string& name);

/// The mix as a trace, sorted by time: the same mix and seed give the same trace. run_name keeps the
/// identifiers and keys of several runs apart.
std::vector<PlannedOperation> planOperations(const LoadMix& mix, const std::string& run_name);

}  // namespace ferryrock::load
