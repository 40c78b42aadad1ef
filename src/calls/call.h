#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/result_code.h"
#include "common/time.h"
#include "tenancy/key_table.h"
#include "wire/messages.h"

/// Routing of calls, which are requests of any HTTP service. Logic only: headers and bodies stay with the
/// shells, which know a call by its number.
namespace ferryrock::calls {

/// A call at one router, and one sending of a call to a replica. Never used again in a process's life.
using CallNumber = Number<struct CallNumberTag>;
using AttemptNumber = Number<struct AttemptNumberTag>;

/// What routing needs of a call.
struct CallRequest {
  CallNumber number;
  RequestId id;  ///< the caller's own
  std::string host;
  std::string path;                    ///< without the query
  std::optional<Duration> time_limit;  ///< that the caller waits
  ModelName model;                     ///< empty: none is named
  std::string adapter;
  std::uint64_t affinity_key = 0;  ///< hash of the prompt's shared parts; 0: none
  std::uint64_t prompt_tokens = 0;
  std::uint64_t shared_tokens = 0;            ///< of the prompt, in parts that other calls share
  std::uint64_t answer_tokens = 0;            ///< at most
  bool tells_tokens = false;                  ///< the two counts above came with the call
  std::optional<std::uint64_t> resume_after;  ///< the caller has this event of the stream already
  tenancy::Credential credential;
  wire::CallFingerprint fingerprint;  ///< the same each time that the caller sends the same call
};

/// What an answer of a replica means for the call.
struct AnswerSummary {
  int status = 0;
  bool unrun = false;  ///< the replica says that it didn't run the call
};

/// What a replica says of itself in the head of any answer. It holds for the replica's life, whatever becomes
/// of the call that was answered.
struct ReplicaNotice {
  bool leaving = false;                      ///< it takes no new calls
  std::optional<Duration> retry_after;       ///< it wants no call from this router for so long; above zero
  std::string unread_retry_after;            ///< what it wrote instead, where that is no time
  std::optional<double> calls_per_second{};  ///< that it takes from all routers together; 0 or above
  bool names_no_limit = false;               ///< it ran the call, and names no such limit any more
  std::string unread_limit{};                ///< what it wrote instead of one, where that is no number
  std::string unknown_header{};  ///< the first of the headers by which replicas speak of themselves that no
                                 ///< decision knows

  /// Nothing but, possibly, that no limit is named.
  bool empty() const {
    return !leaving && !retry_after && unread_retry_after.empty() && !calls_per_second &&
           unread_limit.empty() && unknown_header.empty();
  }
};

/// How an attempt failed without an answer that can be passed on.
enum class AttemptFailure : std::uint8_t {
  NotSent,   ///< no byte left: not run
  Unproved,  ///< it may have run
  Foreign,   ///< the answer belongs to another call; this one may have run
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
  std::optional<TenantName> tenant;  ///< that the caller's key belongs to
  bool withhold_key = false;         ///< the replica doesn't get the caller's key
};

/// Whether a replica that broke a call off still lives.
enum class ProbeOutcome : std::uint8_t {
  Lives,    ///< it answers at its address
  Ended,    ///< nothing listens at its address, or another incarnation does
  Unknown,  ///< nothing was heard in time: it may be cut off, frozen or slow
};

/// Effect: ask whether the replica still lives, over a new connection. Answered by onProbed().
struct ProbeReplicaEffect {
  ReplicaId replica;
  std::string address;
};

/// Effect: give the attempt up; its connection is closed, so that the replica stops.
struct CancelAttemptEffect {
  AttemptNumber attempt;
};

/// Effect: the attempt's whole answer goes to the caller.
struct DeliverAnswerEffect {
  CallNumber call;
  AttemptNumber attempt;
};

/// Effect: the head of the attempt's stream goes to the caller; events follow.
struct StartStreamEffect {
  CallNumber call;
  AttemptNumber attempt;
};

/// Effect: one whole event goes to the caller.
struct PassEventEffect {
  CallNumber call;
  std::string bytes;
};

/// Effect: the stream has ended well.
struct FinishStreamEffect {
  CallNumber call;
};

/// Effect: the stream is broken off in a way that the caller sees.
struct BreakStreamEffect {
  CallNumber call;
};

/// Effect: a final answer of the router's own. not_run is certain.
struct RefuseCallEffect {
  CallNumber call;
  ResultCode code = ResultCode::Internal;
  bool not_run = false;
  std::optional<Duration> retry_after;
  std::string detail;
};

/// Effect: open a new connection to the control member in place of the one that stands, which may be dead.
struct RenewConnectionEffect {
  NodeName member;
};

using Effect = std::variant<wire::SendEffect, RenewConnectionEffect, SendAttemptEffect, CancelAttemptEffect,
                            ProbeReplicaEffect, DeliverAnswerEffect, StartStreamEffect, PassEventEffect,
                            FinishStreamEffect, BreakStreamEffect, RefuseCallEffect>;
using Effects = std::vector<Effect>;

}  // namespace ferryrock::calls
