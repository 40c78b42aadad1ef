#pragma once

#include <set>

#include "router/admission_queue.h"
#include "router/claim_client.h"
#include "router/concurrency_window.h"
#include "router/control_link.h"
#include "router/defects.h"
#include "router/demand_reporter.h"
#include "router/rate_limiter.h"
#include "router/replica_pool.h"
#include "router/replica_selector.h"
#include "router/request_store.h"
#include "router/retry_policy.h"
#include "router/router_node.h"
#include "router/routing_table.h"
#include "router/service_estimate.h"

namespace ferryrock::router {

/// What the stages of a request's life share; owned by the router node. Used by one thread.
struct RouterParts {
  RouterParts(const RouterSettings& router_settings, const Defects& deliberate_defects, TimePoint now);

  RouterSettings settings;
  Defects defects;
  TimePoint started;
  RoutingTable table;
  ControlLink link;
  ReplicaPool pool;
  ReplicaSelector selector;
  AdmissionQueue queue;
  RateLimiter limiter;
  RetryPolicy retries;
  ServiceEstimates estimates;
  ConcurrencyWindows windows;
  ClaimClient claims;
  DemandReporter demand;
  RequestStore requests;
  RouterCounts counts;
  std::set<ModelName> dispatch_wanted;  ///< names whose waiting requests may find a replica now

  /// The name's row, or nullptr.
  const TableRow* rowOf(const Request& request) const { return table.find(request.caller.model); }
  /// True when a listed replica of the row takes new work, be it full or ejected just now.
  bool hasUsableReplica(const TableRow& row, TimePoint now) const;
  /// Requests of the row's name that its replicas that take new work run at once.
  std::size_t placesOf(const TableRow& row, TimePoint now) const;
  /// Puts a request into the queue's item form.
  QueueItem queueItem(const Request& request) const;
  void addWaiting(const Request& request, TimePoint now);
  void removeWaiting(const Request& request, TimePoint now);
  /// Other requests of the replica's names may go there now.
  void wantDispatch(SlotId slot);
  WallMilliseconds wallTime(TimePoint now) const;
};

}  // namespace ferryrock::router
