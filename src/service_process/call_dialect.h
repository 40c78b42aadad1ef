#pragma once

#include <optional>
#include <span>
#include <string>

#include "calls/call.h"
#include "http/http.h"

/// Shells around the logic of hosted services: they bind it to sockets, disk, reactor and HTTP. How one HTTP
/// interface writes things is left to its dialect.
namespace ferryrock::service_process {

/// The bytes of a call; the logic never sees them.
struct CallContent {
  RequestId id;
  std::string method;
  std::string target;  ///< path and query as sent
  http::Headers headers;
  std::string body;
};

struct ParsedCall {
  calls::CallRequest request;  ///< its number is given later
  CallContent content;
};

/// An answer as HTTP has it.
struct HttpAnswer {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// How an HTTP interface writes calls, their answers and refusals. Translates only: it keeps nothing and
/// decides nothing. Used by one thread.
class CallDialect {
 public:
  virtual ~CallDialect() = default;
  /// Throws Error for a call that can't be read.
  virtual ParsedCall parse(http::Request request) const = 0;
  /// Headers of a replica's answer as the caller gets them.
  virtual http::Headers callerHeaders(const http::Headers& replica_headers) const = 0;
  virtual HttpAnswer refusal(const RequestId& id, ResultCode code, bool not_run,
                             std::optional<Duration> retry_after, const std::string& detail) const = 0;
  /// The call as a replica gets it.
  virtual http::ClientRequest attempt(const calls::SendAttemptEffect& effect,
                                      const CallContent& content) const = 0;
  /// True when the head is that of an answer to this very call by a replica.
  virtual bool answersCall(const RequestId& id, int status, const http::Headers& headers) const = 0;
  virtual calls::AnswerSummary summarize(int status, const http::Headers& headers) const = 0;
  /// What the replica says of itself in the head of an answer; empty as a rule.
  virtual calls::ReplicaNotice notice(int status, const http::Headers& headers) const = 0;
  /// A question that a living replica answers at once, whatever it runs.
  virtual http::ClientRequest probe(const calls::ProbeReplicaEffect& effect) const = 0;
  /// What an answer with this status to such a question says.
  virtual calls::ProbeOutcome probeOutcome(int status) const = 0;
};

/// Headers without those that concern one connection only, and those that frame the body. A Connection header
/// removes what it lists, but for the names in `kept`.
http::Headers endToEndHeaders(const http::Headers& headers, std::span<const char* const> kept = {});

}  // namespace ferryrock::service_process
