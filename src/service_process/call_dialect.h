#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "calls/call.h"
#include "http/http.h"

/// Shells that bind the logic of hosted services to sockets, disk, event loop and HTTP. The wire format of a
/// particular HTTP interface is defined by its dialect.
namespace ferryrock::service_process {

/// The HTTP content of a call. The routing logic doesn't receive it.
struct CallContent {
  RequestId id;
  std::string method;
  std::string target;  ///< path and query exactly as the caller sent them
  http::Headers headers;
  SharedText body;                                                  ///< shared with the attempts
  std::shared_ptr<const http::MemoryReservation> memory = nullptr;  ///< for all of this
};

struct ParsedCall {
  calls::CallRequest request;  ///< the call number is assigned by the CallServer
  CallContent content;
};

/// An HTTP response, or its head alone if the body is streamed.
struct HttpResponse {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// Translates calls, responses and refusals from and to the format of one HTTP interface. Stateless; makes no
/// routing decisions. Used by one thread.
class CallDialect {
 public:
  virtual ~CallDialect() = default;
  /// Throws Error if the call is malformed.
  virtual ParsedCall parse(http::Request request) const = 0;
  /// The headers of a replica's response in the form that is sent to the caller.
  virtual http::Headers callerHeaders(const http::Headers& replica_headers) const = 0;
  virtual HttpResponse refusal(const RequestId& id, ResultCode code, bool not_run,
                               std::optional<Duration> retry_after, const std::string& detail) const = 0;
  /// The HTTP request that sends the call to a replica.
  virtual http::ClientRequest attempt(const calls::SendAttemptEffect& effect,
                                      const CallContent& content) const = 0;
  /// True if the response head belongs to this call and was written by a replica.
  virtual bool answersCall(const RequestId& id, int status, const http::Headers& headers) const = 0;
  /// The id of the call that the head of a request or response names; empty: none.
  virtual RequestId callIdOf(const http::Headers& headers) const = 0;
  virtual calls::AnswerSummary summarize(int status, const http::Headers& headers) const = 0;
  /// The notice on the replica's own state in a response head; empty for most responses.
  virtual calls::ReplicaNotice notice(int status, const http::Headers& headers) const = 0;
  /// A health probe that a running replica answers immediately, whatever its load.
  virtual http::ClientRequest probe(const calls::ProbeReplicaEffect& effect) const = 0;
  /// The outcome of a health probe that was answered with this status.
  virtual calls::ProbeOutcome probeOutcome(int status) const = 0;
};

/// Removes the hop-by-hop headers and the headers that frame the body. Headers that the Connection header
/// lists are removed too, except those named in `kept`.
http::Headers endToEndHeaders(const http::Headers& headers, std::span<const char* const> kept = {});

}  // namespace ferryrock::service_process
