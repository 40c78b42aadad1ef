#pragma once

#include <optional>

#include "router/completion.h"
#include "router/request_timers.h"
#include "router/router_parts.h"

namespace ferryrock::router {

/// The first part of a request's life: table entry, checks, limits, load outlook, queue and claim. Whatever
/// can't be served in time is refused here at once. Used by one thread.
class Admission {
 public:
  Admission(RouterParts& parts, RequestTimers& timers, Completion& completion)
      : parts_(parts), timers_(timers), completion_(completion) {}

  void accept(CallerRequest caller, bool draining, TimePoint now, Effects& effects);
  /// The name's table row changed: waiting requests are looked at again.
  void onRowChanged(const ModelName& name, TimePoint now, Effects& effects);
  void onClaimAnswer(const ClaimAnswer& answer, TimePoint now, Effects& effects);
  /// The request's instant has come while it resolves, claims or waits.
  void onWake(Request& request, TimePoint now, Effects& effects);
  /// The control cell became unavailable: requests that need it are refused.
  void onControlLost(TimePoint now, Effects& effects);
  /// The request may be sent to a replica now.
  void makeReady(Request& request, TimePoint now);
  /// Why a request without a usable replica can't be served in time; nullopt: it may wait.
  std::optional<Failure> loadRefusal(const Request& request, const TableRow& row, TimePoint now) const;

 private:
  void resolve(Request& request, TimePoint now, Effects& effects);
  void admit(Request& request, const TableRow& row, TimePoint now, Effects& effects);
  std::optional<Failure> refusalBeforeQueue(Request& request, const TableRow& row, TimePoint now);
  std::optional<Failure> estimateRefusal(Request& request, const TableRow& row, TimePoint now);
  bool enqueue(Request& request, const TableRow& row, TimePoint now, Effects& effects);
  void startClaim(Request& request, std::uint32_t attempt, TimePoint now);
  Failure expiry(const Request& request, TimePoint now) const;
  Duration retryAfter(const Request& request, TimePoint now) const;

  RouterParts& parts_;
  RequestTimers& timers_;
  Completion& completion_;
};

}  // namespace ferryrock::router
