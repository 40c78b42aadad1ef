#pragma once

#include <optional>

#include "calls/replica_table.h"
#include "common/time.h"

namespace ferryrock::calls {

/// What decides how long a call without a replica is held.
struct WaitingCall {
  TimePoint arrived{};
  TimePoint deadline{};
  Duration target{};                 ///< latency up to the answer, or to the first event of a stream
  std::optional<Duration> patience;  ///< the caller leaves if nothing comes for longer
  bool untouched = false;            ///< no replica has had it, the caller got nothing
};

/// Until when the call may wait: for a model, or for the end of a replica's backoff, a share of its whole
/// time and of its caller's patience; for a place only as long as it may still be in time elsewhere.
TimePoint waitLimit(const WaitingCall& call, ChoiceFailure failure, TimePoint now);

/// How long the caller should stay away if its model is ready only at `ready`; nullopt: it had better wait.
/// A caller that hears early that it will be late can use its time, and its next call is in time. That pays
/// only while the refusal is prompt, and if the caller has the time to come back.
std::optional<Duration> comeBackAfter(const WaitingCall& call, TimePoint ready, TimePoint now);

/// The absence of a caller who is sent away until a replica's backoff ends, with `drawn` in [0, 1). Callers
/// who come in the course of a backoff would otherwise all be back at its end, where one call at a time is
/// let in: they are spread over a quarter more than it lasts.
Duration spreadAbsence(Duration absence, double drawn);

/// When the caller of a call that can't be served may come back: its model is ready only at `ready`, later
/// than the call may wait. nullopt: it may still be served here. Guards against holding a call for which
/// nothing can be done: of 1,605 calls for rare models on a day without faults 150 were held for up to 13.6 s
/// and then refused, most of them for models that only the weight store has.
std::optional<Duration> refusedUntil(const WaitingCall& call, TimePoint ready, TimePoint now);

}  // namespace ferryrock::calls
