#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/random.h"
#include "simulation/simulated_router.h"
#include "simulation/simulation_context.h"

namespace ferryrock::simulation {

/// One name that callers ask for.
struct CallerTarget {
  ModelName name;
  ModelName served;
  bool repeatable = true;
  double weight = 1;  ///< share of the requests, relative to the other targets
};

struct CallerSettings {
  std::vector<CallerTarget> targets;
  double requests_per_second = 6;  ///< over all routers
  double burst_chance = 0.02;      ///< a request brings a burst for its model at all routers
  std::uint32_t burst_size = 12;
  double key_chance = 0.1;     ///< a repeatable request has a key as well
  double leave_chance = 0.01;  ///< the caller closes its connection early
  Duration shortest_deadline = std::chrono::seconds(3);
  Duration longest_deadline = std::chrono::seconds(25);
};

/// Open-loop callers beside all routers. A caller whose keyed request ends without a certain outcome sends
/// its key again, to any router.
class SimulatedCallers {
 public:
  SimulatedCallers(SimulationContext& context, Random random, const CallerSettings& settings);

  /// Sends requests until the instant.
  void run(TimePoint until);
  /// Requests in flight through a router that stands still are excused from their deadlines.
  void excuseRequestsAt(const std::string& router);

 private:
  struct KeyedRequest {
    SimulatedRequest request;
    CallerTarget target;
    int resends = 0;
  };

  void scheduleNext();
  const CallerTarget& pickTarget();
  void sendOne(const CallerTarget& target, SimulatedRouter& router);
  void send(const KeyedRequest& keyed, SimulatedRouter& router);
  void resendLater(KeyedRequest keyed);
  void onFailure(const KeyedRequest& keyed, const router::CallerFailureEffect& failure);
  SimulatedRouter* pickRouter();

  SimulationContext& context_;
  Random random_;
  const CallerSettings settings_;
  double total_weight_ = 0;
  TimePoint until_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_key_ = 1;
  std::map<RequestId, std::string> open_;  ///< request to router
};

}  // namespace ferryrock::simulation
