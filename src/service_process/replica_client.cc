#include "service_process/replica_client.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "service_process/relay_protocol.h"

namespace ferryrock::service_process {
namespace {

using calls::AttemptFailure;
using calls::AttemptNumber;

/// Below the first retransmission of a lost SYN after 1 s: a longer wait would only delay the next attempt.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration kRelayConnectTimeout = std::chrono::milliseconds(300);
/// Maximum idle time of a connection to a relay.
constexpr Duration kRelayIdleTime = std::chrono::seconds(30);
constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kFirstRedirect = 300;
/// Limits on what is kept of a response: a replica in trouble may send without end.
constexpr std::size_t kMaxAnswerBytes = http::kMaxResponseBytes;
constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

bool isJson(const http::Headers& headers) {
  const auto type = http::findHeader(headers, "Content-Type");
  return type && type->starts_with("application/json");
}

bool isEventStream(int status, const http::Headers& headers) {
  const auto type = http::findHeader(headers, "Content-Type");
  return status == kStatusOk && type && type->starts_with("text/event-stream");
}

}  // namespace

ReplicaClient::ReplicaClient(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                             ReplicaCallbacks callbacks, std::shared_ptr<http::ClientBudget> budget)
    : dispatcher_(dispatcher),
      client_(client),
      dialect_(dialect),
      callbacks_(std::move(callbacks)),
      budget_(std::move(budget)) {}

ReplicaClient::~ReplicaClient() {
  *alive_ = false;
}

void ReplicaClient::send(const calls::SendAttemptEffect& effect, const CallContent& content) {
  const AttemptNumber number = effect.attempt;
  auto attempt = std::make_shared<Attempt>(budget_);
  attempt->id = content.id;
  attempt->replica = effect.replica;
  attempt->address = effect.address;
  attempt->head_request = content.method == "HEAD";
  attempts_[number] = attempt;
  http::ClientRequest request = dialect_.attempt(effect, content);
  request.connect_timeout = kConnectTimeout;
  request.exact_headers = true;
  request.max_body_bytes = 0;
  attempt->relayed = effect.relay.has_value();
  if (effect.relay) {
    constexpr bool kProbe = false;
    sendThroughRelay(request, effect.relay->address,
                     {effect.address, effect.time_left, kProbe, effect.fresh_connection});
    attempt->proves_this_sending = !effect.fresh_connection;
    request.connect_timeout = kRelayConnectTimeout;
    request.idle_limit = kRelayIdleTime;
  } else {
    keep_alive_.apply(effect.address, request);
    request.fresh_connection = request.fresh_connection || effect.fresh_connection;
    request.accepts_head = [this, id = content.id](int status, const http::Headers& headers) {
      return dialect_.answersCall(id, status, headers);
    };
  }
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this, number](int status, const http::Headers& headers) {
    onHeaders(number, status, headers);
  };
  callbacks.on_data = [this, number](std::string_view bytes) { onData(number, bytes); };
  callbacks.on_complete = [this, number] { onComplete(number); };
  const AttemptFailure not_sent = effect.relay ? AttemptFailure::RelayFailed : AttemptFailure::NotSent;
  callbacks.on_failure = [this, number, not_sent](http::SendProgress progress, const std::string& reason) {
    fail(number, progress == http::SendProgress::NotSent ? not_sent : AttemptFailure::OutcomeUnknown, reason);
  };
  attempt->call = client_.send(std::move(request), std::move(callbacks));
}

bool ReplicaClient::pauseReading(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || std::exchange(found->second->paused, true)) {
    return false;
  }
  found->second->call->pauseReading();
  return true;
}

bool ReplicaClient::resumeReading(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || !std::exchange(found->second->paused, false)) {
    return false;
  }
  found->second->call->resumeReading();
  return true;
}

void ReplicaClient::cancel(AttemptNumber attempt) {
  take(attempt);
}

const HttpResponse* ReplicaClient::answerOf(AttemptNumber attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &found->second->answer;
}

std::optional<HttpResponse> ReplicaClient::takeAnswer(AttemptNumber attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? std::nullopt : std::optional(std::move(found->second->answer));
}

ReplicaClient::AttemptPtr ReplicaClient::take(AttemptNumber number) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return nullptr;
  }
  AttemptPtr attempt = std::move(found->second);
  attempts_.erase(found);
  attempt->memory.release();
  attempt->body = {};
  attempt->events = {};
  attempt->answer.body = std::string();
  dispatcher_.post([attempt] { attempt->call.reset(); });
  return attempt;
}

void ReplicaClient::onHeaders(AttemptNumber number, int status, const http::Headers& received) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptPtr kept = found->second;
  Attempt& attempt = *kept;
  http::Headers headers = received;
  attempt.ends_with_connection = http::endsWithConnection(headers);
  if (attempt.relayed) {
    attempt.ends_with_connection = endsWithReplicaConnection(headers);
    attempt.proves_this_sending = attempt.proves_this_sending || usedFreshConnection(headers);
    const std::optional<RelayOutcome> outcome = takeRelayOutcome(headers);
    if (outcome != RelayOutcome::Forwarded) {
      fail(number, outcome ? attemptFailure(*outcome) : AttemptFailure::OutcomeUnknown,
           outcome ? "the relay got no response of the replica" : "the response isn't one of a relay");
      return;
    }
  }
  const calls::ReplicaNotice notice = dialect_.notice(status, headers);
  if (!dialect_.answersCall(attempt.id, status, headers)) {
    if (!notice.empty()) {
      callbacks_.on_notice(attempt.replica, notice);
    }
    fail(number, AttemptFailure::ForeignResponse,
         "response " + std::to_string(status) + " does not carry the id of this call but '" +
             dialect_.callIdOf(headers).value + "'");
    return;
  }
  callbacks_.on_head(number, notice);
  if (!attempt.relayed) {
    keep_alive_.record(attempt.address, headers);
  }
  attempt.streaming = isEventStream(status, headers);
  attempt.answer.status = status;
  attempt.answer.headers = std::move(headers);
}

void ReplicaClient::onData(AttemptNumber number, std::string_view bytes) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptPtr attempt = found->second;
  if (!attempt->streaming) {
    attempt->body.append(bytes);
    if (attempt->body.size() > kMaxAnswerBytes) {
      fail(number, AttemptFailure::OutcomeUnknown,
           "the answer is longer than " + std::to_string(kMaxAnswerBytes) + " bytes");
      return;
    }
    takeMemory(number, *attempt);
    return;
  }
  attempt->events.add(bytes);
  const std::shared_ptr<bool> alive = alive_;
  while (auto event = attempt->events.next()) {
    attempt->has_events = true;
    callbacks_.on_stream_event(number, std::move(*event));
    if (!*alive || !attempts_.contains(number)) {
      return;
    }
  }
  if (attempt->events.unfinishedBytes() > kMaxEventBytes) {
    fail(number, AttemptFailure::OutcomeUnknown,
         "an event of the stream is longer than " + std::to_string(kMaxEventBytes) + " bytes");
    return;
  }
  takeMemory(number, *attempt);
}

void ReplicaClient::takeMemory(AttemptNumber number, Attempt& attempt) {
  const std::size_t kept = attempt.streaming ? attempt.events.unfinishedBytes() : attempt.body.size();
  const std::shared_ptr<bool> alive = alive_;
  while (!attempt.memory.resize(kept, http::MemoryUse::Answer)) {
    const auto longest =
        std::max_element(attempts_.begin(), attempts_.end(), [](const auto& left, const auto& right) {
          return left.second->memory.bytes() < right.second->memory.bytes();
        });
    const std::size_t bytes = longest->second->memory.bytes();
    const AttemptNumber failed = bytes > 0 ? longest->first : number;
    fail(failed, AttemptFailure::OutcomeUnknown,
         "the memory for requests and answers is used up, and of the answers this one has the most: " +
             std::to_string(bytes) + " bytes");
    if (!*alive || failed == number) {
      return;
    }
  }
}

void ReplicaClient::onComplete(AttemptNumber number) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = *found->second;
  attempt.answer.body = attempt.body.take();
  const std::string truncation = truncationOf(attempt);
  if (!truncation.empty()) {
    fail(number, AttemptFailure::OutcomeUnknown, truncation);
  } else if (attempt.streaming) {
    callbacks_.on_stream_end(number, attempt.ends_with_connection);
    take(number);
  } else {
    callbacks_.on_answer(number, summarize(attempt));
    take(number);
  }
}

calls::AnswerSummary ReplicaClient::summarize(const Attempt& attempt) const {
  calls::AnswerSummary answer = dialect_.summarize(attempt.answer.status, attempt.answer.headers);
  answer.ends_with_connection = attempt.ends_with_connection;
  answer.proven_not_run = answer.proven_not_run && attempt.proves_this_sending;
  return answer;
}

/// A replica that crashes ends its connections as one does that has finished a response without a length.
/// What can be told from a whole response is one without any of the bytes that its head announces.
std::string ReplicaClient::truncationOf(const Attempt& attempt) {
  if (attempt.streaming && attempt.events.unfinishedBytes() > 0) {
    return "event stream ended in the middle of an event";
  }
  const bool announces_body = !attempt.head_request && attempt.answer.status >= kStatusOk &&
                              attempt.answer.status < kFirstRedirect &&
                              attempt.answer.status != kStatusNoContent;
  if (!attempt.ends_with_connection || !announces_body) {
    return "";
  }
  if (attempt.streaming) {
    return attempt.has_events ? "" : "the connection ended before the first event";
  }
  if (attempt.answer.body.empty()) {
    return "the connection ended before the body";
  }
  const bool cut = isJson(attempt.answer.headers) && !nlohmann::json::accept(attempt.answer.body);
  return cut ? "the connection ended within the JSON body" : "";
}

/// The head of a refusal proves that the call didn't run, whatever becomes of its body.
void ReplicaClient::fail(AttemptNumber number, AttemptFailure failure, const std::string& reason) {
  const auto found = attempts_.find(number);
  if (found == attempts_.end()) {
    return;
  }
  const AttemptPtr attempt = found->second;
  const bool has_head = attempt->answer.status != 0;
  const calls::AnswerSummary answer = has_head ? summarize(*attempt) : calls::AnswerSummary{};
  if (answer.proven_not_run && !attempt->streaming) {
    callbacks_.on_answer(number, answer);
    take(number);
  } else if (take(number)) {
    callbacks_.on_failure(number, failure, reason);
  }
}

}  // namespace ferryrock::service_process
