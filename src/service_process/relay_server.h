#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/event_log.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "service_process/keep_alive_limits.h"
#include "service_process/relay_protocol.h"

namespace ferryrock::service_process {

/// Counters for metrics.
struct RelayServerCounts {
  std::uint64_t forwarded = 0;  ///< attempts whose replica responded
  std::uint64_t not_sent = 0;   ///< attempts that reached no replica
  std::uint64_t unknown = 0;    ///< attempts that broke off before the replica's response
};

/// Events and conditions of a RelayServer. Called on the dispatcher's thread.
struct RelayCallbacks {
  /// Whether attempts of other routers are relayed now. False while this router reaches no replica itself.
  std::function<bool()> accepts;
  /// False if this router knows that it can't connect to the replica at this address.
  std::function<bool(const std::string& replica_address)> reaches;
  /// Whether a refused connection to this address shows that the replica has terminated.
  std::function<bool(const std::string& replica_address)> trusts_refusal;
  /// Whether a response with these headers belongs to the call of a request with those headers.
  std::function<bool(const http::Headers& request, const http::Headers& response)> same_call;
  /// A relayed attempt has reached the replica at this address, or couldn't connect to it.
  std::function<void(const std::string& replica_address)> on_reached;
  std::function<void(const std::string& replica_address)> on_unreachable;
};

/// Forwards attempts of other routers to replicas over this router's own connections. The sending router owns
/// the call: it has chosen the replica, counts the attempt and decides on retries. Each attempt is sent at
/// most once, and never to a further router; it is cancelled when the sending router closes its connection.
/// Used by one thread.
class RelayServer {
 public:
  /// Throws Error AddressInUse.
  RelayServer(event::Dispatcher& dispatcher, const http::ServerSettings& settings, http::Client& client,
              KeepAliveLimits& keep_alive, RelayCallbacks callbacks, EventLog& log);
  ~RelayServer();

  http::Server& server() { return *server_; }
  std::size_t openAttempts() const { return attempts_.size(); }
  const RelayServerCounts& counts() const { return counts_; }

 private:
  struct Attempt {
    RelayTarget target;
    http::ResponseWriterPtr response;
    std::shared_ptr<const http::MemoryReservation> memory;  ///< for the request
    std::unique_ptr<http::ClientCall> call;
    bool started = false;  ///< the replica's head was forwarded
    bool refused = false;  ///< the replica's host refused the connection
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void handle(http::Request request, const http::ResponseWriterPtr& response);
  void forward(std::uint64_t number, http::Request request);
  void onHeaders(std::uint64_t number, int status, const http::Headers& headers);
  void onData(std::uint64_t number, std::string_view bytes);
  void onComplete(std::uint64_t number);
  void onFailure(std::uint64_t number, http::SendProgress progress, const std::string& reason);
  /// Returns nullptr if the attempt has ended.
  Attempt* find(std::uint64_t number) const;
  /// Removes the attempt. Its client call is destroyed after the running callback returns.
  AttemptPtr take(std::uint64_t number);
  static void respond(const http::ResponseWriterPtr& response, RelayOutcome outcome,
                      const std::string& reason);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  KeepAliveLimits& keep_alive_;
  RelayCallbacks callbacks_;
  EventLog& log_;
  RelayServerCounts counts_;
  std::map<std::uint64_t, AttemptPtr> attempts_;
  std::uint64_t next_attempt_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::service_process
