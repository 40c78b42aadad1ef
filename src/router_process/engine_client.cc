#include "router_process/engine_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "router_process/attempt_request.h"
#include "router_process/engine_events.h"

namespace ferryrock::router_process {
namespace {

using router::AttemptFailure;

constexpr int kStatusOk = 200;
/// A whole answer's connection is given up if its end doesn't come.
constexpr Duration kReadToEndLimit = std::chrono::seconds(2);
/// Of a refusal's body, for the reason in logs and answers.
constexpr std::size_t kLongestReason = 4000;

const Logger& logger() {
  static const Logger instance("router");
  return instance;
}

std::optional<std::uint32_t> loadHeader(const http::Headers& headers, std::string_view name) {
  const auto text = http::findHeader(headers, name);
  std::uint32_t value = 0;
  if (!text || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{}) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

/// One HTTP call of an attempt, and what was read from it.
class EngineClient::Connection {
 public:
  Connection(AttemptId attempt_id, EngineName engine_name, bool resumes, std::uint64_t call_number)
      : attempt(std::move(attempt_id)),
        engine(std::move(engine_name)),
        resumed(resumes),
        number(call_number),
        events(attempt) {}

  const AttemptId attempt;
  const EngineName engine;
  const bool resumed;
  const std::uint64_t number;
  EngineEventReader events;
  std::unique_ptr<http::ClientCall> call;
  std::unique_ptr<event::Timer> end_limit;
  int status = 0;
  std::optional<std::string> admitted;  ///< X-Engine-Admitted
  std::string refusal;                  ///< body of a status other than 200
  bool ended = false;                   ///< reported by on_end or on_failure, or cancelled
};

EngineClient::EngineClient(event::Dispatcher& dispatcher, http::Client& client, EngineCallbacks callbacks)
    : dispatcher_(dispatcher),
      client_(client),
      callbacks_(std::move(callbacks)),
      caches_(dispatcher, client) {}

EngineClient::~EngineClient() {
  *alive_ = false;
}

void EngineClient::dispatch(const router::DispatchEffect& effect) {
  if (effect.cache_source) {
    moveCache(effect);
  } else {
    begin(effect);
  }
}

void EngineClient::begin(const router::DispatchEffect& effect) {
  try {
    open(effect.attempt, effect.replica.engine, attemptRequest(effect), false);
  } catch (const Error& fault) {
    logger().error("An attempt can't be sent: " + fault.detail(), effect.request.value);
    dispatcher_.post([this, alive = alive_, attempt = effect.attempt, reason = fault.detail()] {
      if (*alive) {
        callbacks_.on_failure(attempt, AttemptFailure::NotSent, reason);
      }
    });
  }
}

/// The old attempt is cancelled only once its cache was taken.
void EngineClient::moveCache(const router::DispatchEffect& effect) {
  std::optional<router::CancelEffect> cancel;
  const auto waiting = waiting_cancels_.find(effect.cache_source->attempt);
  if (waiting != waiting_cancels_.end()) {
    cancel = waiting->second;
    waiting_cancels_.erase(waiting);
  }
  preparing_[effect.attempt] = {effect, dispatcher_.timeSource().monotonicTime()};
  caches_.move(*effect.cache_source, effect.replica.url, [this, attempt = effect.attempt, cancel] {
    if (cancel) {
      sendCancel(*cancel);
    }
    beginPrepared(attempt);
  });
}

void EngineClient::beginPrepared(const AttemptId& attempt) {
  const auto found = preparing_.find(attempt);
  if (found == preparing_.end()) {
    return;  // cancelled meanwhile
  }
  Preparing prepared = std::move(found->second);
  preparing_.erase(found);
  prepared.effect.deadline_left -= dispatcher_.timeSource().monotonicTime() - prepared.since;
  begin(prepared.effect);
  if (prepared.paused) {
    pause({attempt, true});
  }
}

void EngineClient::resume(const router::ResumeEffect& effect) {
  const auto found = attempts_.find(effect.attempt);
  if (found != attempts_.end()) {
    found->second->ended = true;
    attempts_.erase(found);
  }
  open(effect.attempt, effect.replica.engine, resumeRequest(effect), true);
}

void EngineClient::cancel(const router::CancelEffect& effect) {
  if (preparing_.erase(effect.attempt) > 0) {
    return;  // it wasn't sent
  }
  const auto found = attempts_.find(effect.attempt);
  if (found != attempts_.end()) {
    found->second->ended = true;
    attempts_.erase(found);
  }
  if (waiting_cancels_.empty()) {
    dispatcher_.post([this, alive = alive_] {
      if (*alive) {
        sendCancels();
      }
    });
  }
  waiting_cancels_.emplace(effect.attempt, effect);
}

void EngineClient::sendCancels() {
  for (const auto& [attempt, effect] : std::exchange(waiting_cancels_, {})) {
    sendCancel(effect);
  }
}

void EngineClient::pause(const router::PauseEffect& effect) {
  const auto preparing = preparing_.find(effect.attempt);
  if (preparing != preparing_.end()) {
    preparing->second.paused = effect.pause;
    return;
  }
  const auto found = attempts_.find(effect.attempt);
  if (found == attempts_.end() || !found->second->call) {
    return;
  }
  if (effect.pause) {
    found->second->call->pauseReading();
  } else {
    found->second->call->resumeReading();
  }
}

void EngineClient::open(const AttemptId& attempt, const EngineName& engine, http::ClientRequest request,
                        bool resumed) {
  const auto connection = std::make_shared<Connection>(attempt, engine, resumed, next_call_++);
  attempts_[attempt] = connection;
  http::ClientCallbacks callbacks;
  // The callbacks' owner is the connection: they hold it only weakly.
  const std::weak_ptr<Connection> weak = connection;
  callbacks.on_headers = [this, weak](int status, const http::Headers& headers) {
    if (const ConnectionPtr alive = weak.lock()) {
      onHeaders(*alive, status, headers);
    }
  };
  callbacks.on_data = [this, weak](std::string_view bytes) {
    if (const ConnectionPtr alive = weak.lock()) {
      onData(*alive, bytes);
    }
  };
  callbacks.on_complete = [this, weak] {
    if (const ConnectionPtr alive = weak.lock()) {
      onComplete(*alive);
    }
  };
  callbacks.on_failure = [this, weak](http::SendProgress progress, const std::string& reason) {
    if (const ConnectionPtr alive = weak.lock()) {
      onBroken(*alive, progress, reason);
    }
  };
  connection->call = client_.send(std::move(request), std::move(callbacks));
}

void EngineClient::onHeaders(Connection& connection, int status, const http::Headers& headers) {
  connection.status = status;
  connection.admitted = http::findHeader(headers, "X-Engine-Admitted");
  const auto running = loadHeader(headers, "X-Engine-Running");
  const auto waiting = loadHeader(headers, "X-Engine-Waiting");
  if (running && waiting) {
    callbacks_.on_reported_load(connection.engine, *running, *waiting);
  }
  if (status == kStatusOk && !connection.ended) {
    callbacks_.on_admitted(connection.attempt);
  }
}

void EngineClient::onData(Connection& connection, std::string_view bytes) {
  if (connection.status != kStatusOk) {
    connection.refusal.append(
        bytes.substr(0, kLongestReason - std::min(kLongestReason, connection.refusal.size())));
    return;
  }
  connection.events.add(bytes);
  while (!connection.ended) {
    const auto event = connection.events.next();
    if (!event) {
      return;
    }
    if (const auto* chunk = std::get_if<router::StreamChunk>(&*event)) {
      callbacks_.on_chunk(connection.attempt, *chunk);
    } else if (const auto* end = std::get_if<router::StreamEnd>(&*event)) {
      readToEnd(connection);
      callbacks_.on_end(connection.attempt, *end);
    } else if (const auto* fault = std::get_if<EngineFault>(&*event)) {
      fail(connection, AttemptFailure::EngineError, fault->reason);
    } else {
      ++foreign_events_;
      fail(connection, AttemptFailure::StreamCut, std::get<ForeignEvent>(*event).reason);
    }
  }
}

void EngineClient::onComplete(Connection& connection) {
  if (connection.ended) {
    forget(connection);
    return;
  }
  if (connection.status == kStatusOk) {
    fail(connection, AttemptFailure::StreamCut, "the answer has no end");
    return;
  }
  const AttemptFailure failure = connection.resumed ? AttemptFailure::StreamCut
                                                    : failureOfStatus(connection.status, connection.admitted);
  fail(connection, failure, refusalReason(connection.status, connection.refusal));
}

void EngineClient::onBroken(Connection& connection, http::SendProgress progress, const std::string& reason) {
  if (connection.ended) {
    forget(connection);
    return;
  }
  AttemptFailure failure = AttemptFailure::SentNoProof;
  if (connection.resumed || connection.status == kStatusOk) {
    failure = AttemptFailure::StreamCut;
  } else if (connection.status != 0) {
    failure = failureOfStatus(connection.status, connection.admitted);
  } else if (progress == http::SendProgress::NotSent) {
    failure = AttemptFailure::NotSent;
  }
  fail(connection, failure, reason);
}

void EngineClient::fail(Connection& connection, AttemptFailure failure, const std::string& reason) {
  connection.ended = true;
  const AttemptId attempt = connection.attempt;
  forget(connection);
  callbacks_.on_failure(attempt, failure, reason);
}

void EngineClient::readToEnd(Connection& connection) {
  connection.ended = true;
  const auto found = attempts_.find(connection.attempt);
  const ConnectionPtr kept = found->second;
  attempts_.erase(found);
  const std::uint64_t number = kept->number;
  kept->call->resumeReading();
  kept->end_limit = dispatcher_.createTimer([this, number] {
    dispatcher_.post([this, alive = alive_, number] {
      if (*alive) {
        ending_.erase(number);
      }
    });
  });
  kept->end_limit->enable(kReadToEndLimit);
  ending_.emplace(number, kept);
}

void EngineClient::forget(const Connection& connection) {
  const auto found = attempts_.find(connection.attempt);
  if (found != attempts_.end() && found->second.get() == &connection) {
    attempts_.erase(found);
  }
  ending_.erase(connection.number);
}

void EngineClient::sendCancel(const router::CancelEffect& effect) {
  const std::uint64_t number = next_call_++;
  const auto done = [this, number] { cancels_.erase(number); };
  http::ClientCallbacks callbacks;
  callbacks.on_complete = done;
  callbacks.on_failure = [done](http::SendProgress, const std::string&) { done(); };
  cancels_.emplace(number, client_.send(cancelRequest(effect), std::move(callbacks)));
}

}  // namespace ferryrock::router_process
