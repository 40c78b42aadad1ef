#pragma once

#include <string>

#include "router/admission.h"
#include "router/completion.h"
#include "router/router_parts.h"

namespace ferryrock::router {

/// The running part of a request's life: chunks, ends and failures of attempts; what may be tried again,
/// resumed or moved to another replica, and what must not. Used by one thread.
class AttemptHandler {
 public:
  AttemptHandler(RouterParts& parts, RequestTimers& timers, Admission& admission, Completion& completion)
      : parts_(parts), timers_(timers), admission_(admission), completion_(completion) {}

  void onAdmitted(const AttemptId& attempt, TimePoint now);
  void onChunk(const AttemptId& attempt, const StreamChunk& chunk, TimePoint now, Effects& effects);
  void onEnd(const AttemptId& attempt, const StreamEnd& end, TimePoint now, Effects& effects);
  void onFailure(const AttemptId& attempt, AttemptFailure failure, const std::string& reason, TimePoint now,
                 Effects& effects);
  /// The caller's connection holds this many unread bytes.
  void onCallerBuffer(Request& request, std::size_t bytes, TimePoint now, Effects& effects);
  /// The request's instant has come while an attempt runs: deadline, stall or a delayed resume.
  void onWake(Request& request, TimePoint now, Effects& effects);
  /// Moves the request to another replica, with its cache; only one that may be repeated.
  void moveAway(Request& request, TimePoint now, Effects& effects);

 private:
  void progress(Request& request, TimePoint now);
  bool provesNotRun(const Request& request, AttemptFailure failure) const;
  void onNotRun(Request& request, AttemptFailure failure, const std::string& reason, TimePoint now,
                Effects& effects);
  void onMayHaveRun(Request& request, AttemptFailure failure, const std::string& reason, TimePoint now,
                    Effects& effects);
  /// Tells the name's window how long the first chunk took.
  void noteWait(const Request& request, TimePoint now);
  void onGap(Request& request, TimePoint now, Effects& effects);
  void noteHealth(const Request& request, HealthFailure failure, TimePoint now);
  /// Reads on in the same attempt; false: it was tried often enough.
  bool resume(Request& request, TimePoint now, Effects& effects);
  void sendResume(Request& request, TimePoint now, Effects& effects);
  /// Goes on elsewhere, or ends with a failure.
  void retryElsewhere(Request& request, const std::string& reason, TimePoint now, Effects& effects);
  void requeue(Request& request, Duration backoff, TimePoint now);

  RouterParts& parts_;
  RequestTimers& timers_;
  Admission& admission_;
  Completion& completion_;
};

}  // namespace ferryrock::router
