#pragma once

#include "router/request_timers.h"
#include "router/router_parts.h"

namespace ferryrock::router {

/// Brings waiting requests and replicas together, in the order of priority and deadline over all names that
/// share replicas. Used by one thread.
class Dispatcher {
 public:
  Dispatcher(RouterParts& parts, RequestTimers& timers) : parts_(parts), timers_(timers) {}

  /// Sends what can be sent of the names in RouterParts::dispatch_wanted.
  void run(TimePoint now, Effects& effects);

 private:
  /// Sends the first waiting request of a name; false: no replica takes it now.
  bool dispatchHead(const ModelName& name, TimePoint now, Effects& effects);
  void dispatch(Request& request, const TableRow& row, SlotId slot, TimePoint now, Effects& effects);
  AttemptId nextAttemptId();

  RouterParts& parts_;
  RequestTimers& timers_;
  std::uint64_t attempts_made_ = 0;
};

}  // namespace ferryrock::router
