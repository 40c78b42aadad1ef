#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "balance/pace_table.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// Sums what routers tell of their own use of replicas. One leader's; a new one has the whole picture after
/// each router has told its next status. Used by one thread.
class LoadTally {
 public:
  void accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Forgets routers that are silent, and lets rates and paces fade.
  void expire(TimePoint now);
  /// Every replica that serves something or is known to be slow, by key.
  std::vector<wire::ReplicaLoad> loads(TimePoint now);
  /// Of the replicas that are slower than another with the same model, by key.
  const std::map<std::uint32_t, double>& slowness(TimePoint now);

 private:
  struct RouterUse {
    std::vector<wire::ReplicaUse> uses;
    TimePoint heard{};
  };
  struct Sum {
    std::int64_t streams = 0;
    std::int64_t unread_tokens = 0;
    double fading_tokens = 0;  ///< of prompts that were sent there, each fading over kRateSeconds
  };

  void add(const std::vector<wire::ReplicaUse>& uses, std::int64_t sign);
  void fade(TimePoint now);

  std::map<NodeName, RouterUse> routers_;
  std::map<std::uint32_t, Sum> sums_;
  PaceTable paces_;
  TimePoint faded_{};
  std::map<std::uint32_t, double> slowness_;
  TimePoint slowness_made_{};
  std::vector<wire::ReplicaLoad> loads_;
  TimePoint loads_made_{};
};

}  // namespace ferryrock::balance
