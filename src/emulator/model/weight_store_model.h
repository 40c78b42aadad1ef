#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

/// A stand-in weight store without input or output.
namespace ferryrock::emulator {

struct WeightStoreSettings {
  double starts_per_second = 2.0;
  std::uint32_t width = 8;  ///< transfers at full speed; beyond it all share the same total
  std::uint64_t bytes_per_second = 1'000'000'000;  ///< of one transfer at full speed
  double time_scale = 1.0;
};

/// One transfer as the shell numbers it; never used again.
using StoreTransferId = Number<struct StoreTransferIdTag>;

/// Serves checkpoints: a bounded rate of starts, a width at full speed, equal shares beyond.
class WeightStoreModel {
 public:
  explicit WeightStoreModel(const WeightStoreSettings& settings) : settings_(settings) {}

  /// Queues a transfer; it starts when the rate allows.
  void request(TimePoint now, StoreTransferId transfer, std::uint64_t bytes);
  void cancel(TimePoint now, StoreTransferId transfer);
  /// Divides the speed of every transfer; 1 is no fault.
  void setSlowFactor(TimePoint now, double factor);
  /// Nothing moves or starts while stopped.
  void setStopped(TimePoint now, bool stopped);

  void tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;
  /// Transfers that were completed since the last call.
  std::vector<StoreTransferId> takeCompleted();

  std::size_t active() const { return active_.size(); }
  std::size_t queued() const { return queue_.size(); }

 private:
  struct Queued {
    StoreTransferId transfer;
    std::uint64_t bytes = 0;
  };
  void advance(TimePoint now);
  void startQueued(TimePoint now);
  double bytesPerSecond() const;
  Duration startInterval() const;
  TimePoint completionOf(double remaining) const;

  WeightStoreSettings settings_;
  double slow_factor_ = 1.0;
  bool stopped_ = false;
  TimePoint advanced_to_;
  TimePoint next_start_;
  std::deque<Queued> queue_;
  std::map<StoreTransferId, double> active_;  ///< bytes left
  std::vector<StoreTransferId> completed_;
};

}  // namespace ferryrock::emulator
