#pragma once

#include <memory>

#include "router/router_node.h"

namespace ferryrock::router {

/// Deliberate faults that tests turn on to show that they would be found. The product never does.
struct Defects {
  bool retry_without_proof = false;    ///< repeats what may have run, though it isn't repeatable
  bool trust_failed_resume = false;    ///< takes a resume that wasn't sent for a request that wasn't sent
  bool dispatch_before_claim = false;  ///< sends a claimed request before its claim was granted
  bool ignore_chunk_numbers = false;   ///< hands on chunks in whatever order they come
  bool accept_ended_attempts = false;  ///< takes chunks of an attempt that was moved elsewhere
  bool expire_late = false;            ///< refuses waiting requests only after their deadline
  bool ignore_leaving = false;         ///< sends new work to replicas that leave
};

/// For tests: a router with the given defects.
std::unique_ptr<RouterNode> createDefectiveRouterNode(const RouterSettings& settings, const Defects& defects,
                                                      TimePoint now);

}  // namespace ferryrock::router
