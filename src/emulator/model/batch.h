#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "emulator/model/attempt.h"
#include "emulator/model/engine_settings.h"

namespace ferryrock::emulator {

/// How fast the two phases of inference go; a role shifts the weight between them.
struct StepSpeed {
  double prefill_factor = 1.0;  ///< multiplies the time of prefill
  double decode_factor = 1.0;   ///< multiplies the time of decoding
};

/// Continuous batch of one replica: attempts join and leave between steps. A step processes a bounded number
/// of prompt tokens and gives each sequence whose prompt is done its next tokens.
class Batch {
 public:
  explicit Batch(const EngineSettings& settings) : settings_(settings) {}

  bool waitingFull() const { return waiting_.size() >= settings_.max_waiting; }
  void enqueue(const AttemptPtr& attempt) { waiting_.insert(attempt); }
  void remove(const AttemptPtr& attempt);
  /// Moves waiting attempts into free places, highest priority first, and returns them.
  std::vector<AttemptPtr> admitWaiting();
  /// Begins a step if something runs and none is under way.
  void beginStep(TimePoint now, const StepSpeed& speed);
  std::optional<TimePoint> stepEnds() const { return step_ends_; }
  /// Ends the step and returns the sequences that get tokens.
  std::vector<AttemptPtr> endStep();

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  /// All attempts, running and waiting.
  std::vector<AttemptPtr> all() const;

 private:
  struct HigherPriority {
    bool operator()(const AttemptPtr& left, const AttemptPtr& right) const;
  };
  std::uint64_t planPrefill();

  const EngineSettings& settings_;
  std::set<AttemptPtr, HigherPriority> waiting_;
  std::vector<AttemptPtr> running_;
  std::optional<TimePoint> step_ends_;
};

}  // namespace ferryrock::emulator
