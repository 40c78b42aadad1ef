#pragma once

#include <optional>
#include <string>

#include "router/router_parts.h"

namespace ferryrock::router {

/// A final answer that isn't the whole one.
struct Failure {
  ResultCode code = ResultCode::Internal;
  Outcome outcome = Outcome::NotRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

/// Ends requests: the one final answer, the claim's outcome, and everything the request held. Used by one
/// thread.
class Completion {
 public:
  explicit Completion(RouterParts& parts) : parts_(parts) {}

  /// The whole answer is there; the attempt has ended.
  void answer(Request& request, const StreamEnd& end, TimePoint now, Effects& effects);
  /// The answer of an earlier request with the same key.
  void replay(Request& request, const std::string& stored, TimePoint now, Effects& effects);
  void fail(Request& request, const Failure& reason, TimePoint now, Effects& effects);
  /// The caller closed its connection. A claimed request that may be running goes on, for the stored answer.
  void abandon(Request& request, TimePoint now, Effects& effects);
  /// Cancels the attempt on its engine and forgets it.
  void cancelAttempt(Request& request, TimePoint now, Effects& effects);
  /// Forgets the attempt, which has ended by itself.
  void releaseAttempt(Request& request, TimePoint now);

 private:
  void recordOutcome(const Request& request, wire::ClaimOutcome outcome, const std::string& answer,
                     TimePoint now);
  void remove(Request& request, TimePoint now);

  RouterParts& parts_;
};

}  // namespace ferryrock::router
