#pragma once

#include <optional>
#include <string>

#include "calls/call.h"
#include "http/http.h"

/// How a router sends an attempt through another router: the attempt's HTTP request with headers that name
/// the replica, sent to the relay's internal address. The response is the replica's, with a header that marks
/// it as such, or a response of the relay itself. The headers are only read at internal addresses; those that
/// callers or replicas send are removed.
namespace ferryrock::service_process {

/// What a relay reports about an attempt in the head of its response.
enum class RelayOutcome {
  Forwarded,    ///< the response is the replica's
  Refused,      ///< nothing listens at the replica's address
  Unreachable,  ///< the relay can't connect to the replica either; the attempt wasn't sent
  NotRelayed,   ///< the relay didn't try; the attempt wasn't sent
  Unknown,      ///< the connection to the replica broke; the replica may have run the call
};

/// What a relay needs to know to forward an attempt.
struct RelayTarget {
  std::string address;            ///< address of the replica, "host:port"
  std::optional<Duration> limit;  ///< time after which the attempt is cancelled
  bool probe = false;             ///< a health probe, sent over a new connection
  bool fresh_connection = false;  ///< the attempt must be sent over a new connection
};

/// Redirects a request that is addressed to a replica to the relay.
void sendThroughRelay(http::ClientRequest& request, const std::string& relay_address,
                      const RelayTarget& target);
/// Reads and removes the relay headers of a request that a relay received. Throws Error InvalidHeader.
RelayTarget takeRelayTarget(http::Headers& headers);

/// Marks the response to a relayed attempt.
void setRelayOutcome(http::Headers& headers, RelayOutcome outcome);
/// Marks a response that ended with the replica's connection. The relay frames it anew.
void setEndsWithReplicaConnection(http::Headers& headers);
bool endsWithReplicaConnection(const http::Headers& headers);
/// Confirms that the attempt was sent over a new connection, as its sender asked. Older relays don't.
void setFreshConnection(http::Headers& headers);
bool usedFreshConnection(const http::Headers& headers);
/// Reads and removes the outcome, and all other relay headers; nullopt: the response isn't one of a relay.
std::optional<RelayOutcome> takeRelayOutcome(http::Headers& headers);

/// The outcome of an attempt for the router that sent it, unless it was forwarded.
calls::AttemptFailure attemptFailure(RelayOutcome outcome);

}  // namespace ferryrock::service_process
