#pragma once

#include <optional>

#include "calls/replica_table.h"
#include "common/time.h"

namespace ferryrock::calls {

/// The properties of a call that determine how long it may wait for a replica.
struct WaitingCall {
  TimePoint arrived{};
  TimePoint deadline{};
  Duration target{};  ///< target latency of the response, or of the first event of a stream
  std::optional<Duration> caller_idle_timeout;  ///< the caller disconnects if it receives nothing for longer
  bool not_started = false;  ///< no replica has received the call, and the caller has received nothing
};

/// Returns the time until which the call may wait. For a model, or for the end of a replica's backoff, this
/// is a share of the call's total time and of its caller's idle timeout. For a free slot, the call waits only
/// as long as it could still be served in time elsewhere.
TimePoint waitLimit(const WaitingCall& call, ChoiceFailure failure, TimePoint now);

/// Returns how long the caller should wait before a retry if its model is ready only at `ready`; nullopt: the
/// call had better wait. A caller that is refused early can use the time, and its retry is served in time.
/// This helps only if the refusal is prompt and the caller has enough time left for a retry.
std::optional<Duration> retryDelayForLateModel(const WaitingCall& call, TimePoint ready, TimePoint now);

/// Adds a random part, with `drawn` in [0, 1), to the retry time of a caller who is refused until a replica's
/// backoff ends. Without it, all callers that arrive during a backoff would return at its end, when the
/// replica admits one call at a time; they are spread over a quarter more than its duration.
Duration spreadRetryDelay(Duration delay, double drawn);

/// Returns the retry time for a call that can't be served because its model is ready only at `ready`, after
/// the end of the permitted wait; nullopt: it may still be served. Guards against holding a call for which
/// nothing can be done: without this check, 150 of 1,605 calls for rarely used models were held for up to
/// 13.6 s and then refused, most of them for models that were only in the weight store.
std::optional<Duration> retryDelayIfUnservable(const WaitingCall& call, TimePoint ready, TimePoint now);

}  // namespace ferryrock::calls
