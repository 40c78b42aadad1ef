#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::router {

/// Learned running times of one service. Used by one thread.
class ServiceEstimate {
 public:
  /// A request ended well.
  void onCompleted(Duration to_first_chunk, Duration total, std::uint64_t chunks);

  /// Expected running time; max_tokens 0 is unknown. nullopt until enough requests were seen.
  std::optional<Duration> runningTime(std::uint32_t max_tokens) const;
  /// Expected wait behind `ahead` requests when `places` run at once.
  std::optional<Duration> waitingTime(std::size_t ahead, std::size_t places) const;

 private:
  std::uint64_t samples_ = 0;
  double first_chunk_seconds_ = 0;
  double chunk_seconds_ = 0;
  double total_seconds_ = 0;
};

/// The estimates of all services that this router has run. Used by one thread.
class ServiceEstimates {
 public:
  ServiceEstimate& of(const ModelName& service) { return estimates_[service]; }

 private:
  std::map<ModelName, ServiceEstimate> estimates_;
};

}  // namespace ferryrock::router
