#include "service_process/relay_server.h"

#include <string_view>
#include <utility>

#include "common/error.h"
#include "service_process/call_dialect.h"

namespace ferryrock::service_process {
namespace {

/// Shorter than the sending router's own timeout, so that it learns why its attempt failed.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
/// Bound on relayed attempts in flight; routers that are refused choose another relay.
constexpr std::size_t kMaxAttempts = 1'000;
/// The sending router cancels an attempt at its deadline; this limit applies if it is gone.
constexpr Duration kLimitMargin = std::chrono::milliseconds(500);
/// Reading from the replica pauses while this much is buffered for the sending router.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10;
constexpr int kBadGateway = 502;

}  // namespace

RelayServer::RelayServer(event::Dispatcher& dispatcher, const http::ServerSettings& settings,
                         http::Client& client, KeepAliveLimits& keep_alive, RelayCallbacks callbacks,
                         EventLog& log)
    : dispatcher_(dispatcher),
      client_(client),
      keep_alive_(keep_alive),
      callbacks_(std::move(callbacks)),
      log_(log),
      server_(http::createServer(dispatcher, settings,
                                 [this](http::Request request, const http::ResponseWriterPtr& response) {
                                   handle(std::move(request), response);
                                 })) {}

RelayServer::~RelayServer() {
  *alive_ = false;
}

void RelayServer::respond(const http::ResponseWriterPtr& response, RelayOutcome outcome,
                          const std::string& reason) {
  http::Headers headers = {{"Content-Type", "text/plain"}};
  setRelayOutcome(headers, outcome);
  response->respond(kBadGateway, std::move(headers), reason);
}

void RelayServer::handle(http::Request request, const http::ResponseWriterPtr& response) {
  auto attempt = std::make_shared<Attempt>();
  attempt->response = response;
  attempt->memory = request.memory;
  try {
    attempt->target = takeRelayTarget(request.headers);
  } catch (const Error& fault) {
    respond(response, RelayOutcome::NotRelayed, fault.what());
    return;
  }
  if (!callbacks_.accepts() || attempts_.size() >= kMaxAttempts) {
    respond(response, RelayOutcome::NotRelayed, "this router relays no attempts at present");
    return;
  }
  if (!callbacks_.reaches(attempt->target.address)) {
    ++counts_.not_sent;
    respond(response, RelayOutcome::Unreachable, "this router can't connect to the replica at present");
    return;
  }
  const std::uint64_t number = next_attempt_++;
  attempts_[number] = attempt;
  response->onClosed([this, alive = alive_, number] {
    if (*alive) {
      take(number);
    }
  });
  forward(number, std::move(request));
}

void RelayServer::forward(std::uint64_t number, http::Request request) {
  Attempt& attempt = *find(number);
  const RelayTarget& target = attempt.target;
  http::ClientRequest forwarded;
  forwarded.method = std::move(request.method);
  forwarded.url = "http://" + target.address + request.target;
  forwarded.headers = endToEndHeaders(request.headers);
  forwarded.body = std::move(request.body);
  forwarded.exact_headers = true;
  forwarded.max_body_bytes = 0;
  forwarded.connect_timeout = kConnectTimeout;
  if (target.limit) {
    forwarded.total_timeout = *target.limit + kLimitMargin;
  }
  if (target.probe) {
    forwarded.fresh_connection = true;
  } else {
    keep_alive_.apply(target.address, forwarded);
    forwarded.fresh_connection = forwarded.fresh_connection || target.fresh_connection;
    forwarded.accepts_head = [this, headers = forwarded.headers](int /*status*/,
                                                                 const http::Headers& response) {
      return callbacks_.same_call(headers, response);
    };
  }
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this, number](int status, const http::Headers& headers) {
    onHeaders(number, status, headers);
  };
  callbacks.on_data = [this, number](std::string_view bytes) { onData(number, bytes); };
  callbacks.on_complete = [this, number] { onComplete(number); };
  callbacks.on_refused = [this, number] {
    if (Attempt* refused = find(number)) {
      refused->refused = true;
    }
  };
  callbacks.on_failure = [this, number](http::SendProgress progress, const std::string& reason) {
    onFailure(number, progress, reason);
  };
  attempt.call = client_.send(std::move(forwarded), std::move(callbacks));
}

void RelayServer::onHeaders(std::uint64_t number, int status, const http::Headers& headers) {
  Attempt* attempt = find(number);
  if (attempt == nullptr) {
    return;
  }
  keep_alive_.record(attempt->target.address, headers);
  http::Headers forwarded = endToEndHeaders(headers);
  setRelayOutcome(forwarded, RelayOutcome::Forwarded);
  if (http::endsWithConnection(headers)) {
    setEndsWithReplicaConnection(forwarded);
  }
  if (attempt->target.fresh_connection) {
    setFreshConnection(forwarded);
  }
  attempt->started = true;
  ++counts_.forwarded;
  attempt->response->start(status, std::move(forwarded));
  callbacks_.on_reached(attempt->target.address);
}

void RelayServer::onData(std::uint64_t number, std::string_view bytes) {
  Attempt* attempt = find(number);
  if (attempt == nullptr) {
    return;
  }
  attempt->response->write(bytes);
  if (attempt->response->bufferedBytes() > kMaxBufferedBytes) {
    attempt->call->pauseReading();
    attempt->response->onDrained([this, alive = alive_, number] {
      if (Attempt* drained = *alive ? find(number) : nullptr) {
        drained->call->resumeReading();
      }
    });
  }
}

void RelayServer::onComplete(std::uint64_t number) {
  if (const AttemptPtr attempt = take(number)) {
    attempt->response->finish();
  }
}

void RelayServer::onFailure(std::uint64_t number, http::SendProgress progress, const std::string& reason) {
  const AttemptPtr attempt = take(number);
  if (!attempt) {
    return;
  }
  const bool not_sent = progress == http::SendProgress::NotSent;
  const bool terminated = attempt->refused && callbacks_.trusts_refusal(attempt->target.address);
  if (not_sent) {
    callbacks_.on_unreachable(attempt->target.address);
  }
  log_.write(LogLevel::Warning, "relay.attempt_failed",
             {{"replica", std::string_view(attempt->target.address)},
              {"proved_unrun", not_sent},
              {"reason", std::string_view(reason)}});
  ++(not_sent ? counts_.not_sent : counts_.unknown);
  if (attempt->started) {
    attempt->response->abort();
  } else if (not_sent) {
    respond(attempt->response, terminated ? RelayOutcome::Refused : RelayOutcome::Unreachable, reason);
  } else {
    respond(attempt->response, RelayOutcome::Unknown, reason);
  }
}

RelayServer::Attempt* RelayServer::find(std::uint64_t number) const {
  const auto found = attempts_.find(number);
  return found == attempts_.end() ? nullptr : found->second.get();
}

RelayServer::AttemptPtr RelayServer::take(std::uint64_t number) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return nullptr;
  }
  AttemptPtr attempt = std::move(found->second);
  attempts_.erase(found);
  dispatcher_.post([attempt] { attempt->call.reset(); });
  return attempt;
}

}  // namespace ferryrock::service_process
