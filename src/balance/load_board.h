#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::balance {

/// What one router has at a replica just now.
struct OwnUse {
  std::uint32_t streams = 0;
  std::uint64_t unread_tokens = 0;
};

/// What all routers together have at a replica, as far as one of them knows.
struct FleetUse {
  double streams = 0;
  double unread_tokens = 0;  ///< of prompts that were sent and show no event yet
  double tokens_per_s = 0;   ///< of prompts that were sent lately
  double slowness = 1;       ///< its pace against the fastest replica that shares a model with it
};

/// One router's view of the load of replicas: what the leader last told, in which the router's own part is
/// replaced by what it has there now. Reports are some hundred ms old. Without fresh ones the router counts
/// on its own alone, as if the others weren't there. Used by one thread.
class LoadBoard {
 public:
  /// What this router told the leader last; its part of the sums that come.
  void onTold(const std::vector<wire::ReplicaUse>& uses);
  void accept(const std::vector<wire::ReplicaLoad>& loads, TimePoint now);

  /// False: the loads are too old to go by, or were never told.
  bool isFresh(TimePoint now) const;
  /// Since the loads came; nullopt: never.
  std::optional<Duration> age(TimePoint now) const;
  FleetUse use(std::uint32_t replica, const OwnUse& own) const;
  /// Known to be slower than another replica, above 1; else 1.
  double slowness(std::uint32_t replica) const;

 private:
  /// A leader that has just begun doesn't know replicas as slow that get no streams.
  struct Speed {
    double slowness = 1;
    TimePoint told{};
  };

  std::map<std::uint32_t, wire::ReplicaLoad> loads_;
  std::map<std::uint32_t, Speed> speeds_;
  std::map<std::uint32_t, wire::ReplicaUse> told_;
  std::optional<TimePoint> accepted_;
};

}  // namespace ferryrock::balance
