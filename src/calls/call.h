#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "calls/sending_record.h"
#include "common/identifiers.h"
#include "common/result_code.h"
#include "common/time.h"
#include "tenancy/key_table.h"
#include "wire/messages.h"

/// Routing of calls, that is, of requests to any HTTP service. Logic only: headers and bodies stay with the
/// shells, which refer to a call by its number.
namespace ferryrock::calls {

/// Identifiers of a call at one router and of an attempt to run a call on a replica. Never reused within a
/// process.
using CallNumber = Number<struct CallNumberTag>;
using AttemptNumber = Number<struct AttemptNumberTag>;

/// The properties of a call that routing depends on.
struct CallRequest {
  CallNumber number;
  RequestId id;  ///< as given by the caller
  std::string host;
  std::string path;                    ///< without the query string
  std::optional<Duration> time_limit;  ///< how long the caller waits for the response
  ModelName model;                     ///< empty: the call names no model
  std::string adapter;
  std::uint64_t affinity_key = 0;  ///< hash of the shared parts of the prompt; 0: none
  std::uint64_t prompt_tokens = 0;
  std::uint64_t shared_tokens = 0;            ///< tokens in prompt parts that other calls share
  std::vector<std::string> shared_parts;      ///< IDs of these parts, in order
  std::uint64_t answer_tokens = 0;            ///< upper bound of generated tokens
  bool has_token_counts = false;              ///< the call carries the token counts above
  std::optional<std::uint64_t> resume_after;  ///< ID of the last stream event that the caller has received
  /// ID of the call that brought the first event of the stream that this call resumes; empty: unknown.
  RequestId resumes;
  tenancy::Credential credential;
  wire::CallFingerprint fingerprint;  ///< identical whenever the caller repeats the same call
};

/// IDs separated by blanks, for logs.
inline std::string joined(const std::vector<std::string>& ids) {
  std::string text;
  for (const std::string& id : ids) {
    text += (text.empty() ? "" : " ") + id;
  }
  return text;
}

/// The parts of a replica's response that decide how the call proceeds.
struct AnswerSummary {
  int status = 0;
  bool proven_not_run = false;  ///< the replica states that it didn't run the call
  /// Nothing but the end of its connection ended the response, so it may have been cut.
  bool ends_with_connection = false;
  /// The status tells a caller that the call hasn't run and never will, whether that is proven or not.
  bool claims_not_run = false;
};

/// Statements about a replica itself in the headers of a response. They hold for this incarnation of the
/// replica, regardless of the outcome of the call.
struct ReplicaNotice {
  bool leaving = false;                      ///< the replica is draining and accepts no new calls
  std::optional<Duration> retry_after;       ///< requested backoff; above zero
  std::string malformed_retry_after;         ///< value of the header if it couldn't be parsed as a time
  std::optional<double> calls_per_second{};  ///< accepted from all routers together; 0 or above
  bool limit_absent = false;  ///< the replica ran the call and its response states no rate limit
  /// The replica crashes if it has to refuse more calls a second than this because it is full; 0 or above.
  std::optional<double> brittle_refusals{};
  bool brittle_absent = false;      ///< the replica ran the call and doesn't state that it is brittle
  std::string malformed_brittle{};  ///< value of the header if it couldn't be parsed as a number
  std::string malformed_limit{};    ///< value of the header if it couldn't be parsed as a number
  std::string unknown_header{};     ///< name of the first replica header that this build doesn't know

  /// True if the notice contains nothing that has to be handled, except possibly the absence of a limit.
  bool empty() const {
    return !leaving && !retry_after && malformed_retry_after.empty() && !calls_per_second &&
           malformed_limit.empty() && !brittle_refusals && malformed_brittle.empty() &&
           unknown_header.empty();
  }
};

/// Why an attempt ended without a response that can be forwarded.
enum class AttemptFailure : std::uint8_t {
  NotSent,          ///< no byte was sent, so the call didn't run
  OutcomeUnknown,   ///< the call may have run
  ForeignResponse,  ///< the response belongs to another call; this call may have run
  RelayFailed,      ///< the relay wasn't reached or didn't try to send the call, so it didn't run
};

/// Another router that sends an attempt to a replica over its own connections.
struct Relay {
  NodeName router;
  std::string address;  ///< "host:port"
};

/// Effect: send the call to a replica.
struct SendAttemptEffect {
  CallNumber call;
  AttemptNumber attempt;
  ReplicaId replica;
  std::string address;
  Duration time_left{};
  bool streaming = false;
  std::uint32_t priority = 0;
  std::optional<std::uint64_t> resume_after;
  std::optional<TenantName> tenant;  ///< tenant that owns the caller's key
  bool withhold_key = false;         ///< the caller's key isn't forwarded to the replica
  std::optional<Relay> relay;        ///< nullopt: over this router's own connections
  /// Send over a new connection. Set if the call was sent to this address before: on a connection that
  /// carried an earlier sending, a late answer to that one can't be told from the answer to this one.
  bool fresh_connection = false;
};

/// Result of probing a replica that broke off a call.
enum class ProbeOutcome : std::uint8_t {
  Alive,       ///< the same incarnation responds at its address
  Terminated,  ///< the process has terminated: nothing listens at its address, or another incarnation does
  Unknown,     ///< no response in time: the replica may be partitioned, frozen or slow
  Refused,     ///< the connection was refused: the process has terminated, or this router's link refuses it
};

/// Effect: probe over a new connection whether the replica is still running. The result is passed to
/// onProbed().
struct ProbeReplicaEffect {
  ReplicaId replica;
  std::string address;
  std::optional<Relay> relay;  ///< nullopt: over a connection of this router
};

/// Effect: cancel the attempt. Its connection is closed so that the replica stops.
struct CancelAttemptEffect {
  AttemptNumber attempt;
};

/// Effect: deliver the attempt's complete response to the caller.
struct DeliverAnswerEffect {
  CallNumber call;
  AttemptNumber attempt;
};

/// Effect: forward the headers of the attempt's stream to the caller; events follow.
struct StartStreamEffect {
  CallNumber call;
  AttemptNumber attempt;
};

/// Effect: forward one complete event to the caller.
struct PassEventEffect {
  CallNumber call;
  AttemptNumber attempt;
  std::string bytes;
};

/// Effect: finish the stream normally.
struct FinishStreamEffect {
  CallNumber call;
};

/// Effect: abort the stream so that the caller detects the failure.
struct BreakStreamEffect {
  CallNumber call;
};

/// Effect: send a final response generated by the router.
struct RefuseCallEffect {
  CallNumber call;
  ResultCode code = ResultCode::Internal;
  std::optional<NotRunProof> not_run;  ///< nullopt: the call may have run or may still run
  std::optional<Duration> retry_after;
  std::string detail;
};

/// Effect: replace the connection to the control member by a new one, since the present one may be dead.
struct RenewConnectionEffect {
  NodeName member;
};

using Effect = std::variant<wire::SendEffect, RenewConnectionEffect, SendAttemptEffect, CancelAttemptEffect,
                            ProbeReplicaEffect, DeliverAnswerEffect, StartStreamEffect, PassEventEffect,
                            FinishStreamEffect, BreakStreamEffect, RefuseCallEffect>;
using Effects = std::vector<Effect>;

}  // namespace ferryrock::calls
