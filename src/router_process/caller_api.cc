#include "router_process/caller_api.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "common/error.h"
#include "common/logging.h"

namespace ferryrock::router_process {
namespace {

using router::Outcome;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
/// Bytes that a caller may leave unread before the router hears of it.
constexpr std::size_t kWorthReporting = 64 << 10;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

const Logger& logger() {
  static const Logger instance("router");
  return instance;
}

const std::vector<double>& secondsBounds() {
  static const std::vector<double> bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
  return bounds;
}

std::string wholeSeconds(Duration duration) {
  return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count()));
}

}  // namespace

CallerApi::CallerApi(event::Dispatcher& dispatcher, router::RouterNode& node, std::string id_prefix,
                     MetricsRegistry& metrics, event::Callback update_metrics, EffectsCallback carry_out)
    : dispatcher_(dispatcher),
      node_(node),
      id_prefix_(std::move(id_prefix)),
      metrics_(metrics),
      update_metrics_(std::move(update_metrics)),
      carry_out_(std::move(carry_out)),
      first_chunk_seconds_(metrics.histogram("ferryrock_router_first_chunk_seconds",
                                             "Time from a streamed request to its first chunk",
                                             secondsBounds())),
      answer_seconds_(metrics.histogram("ferryrock_router_answer_seconds",
                                        "Time from a request to the end of its answer", secondsBounds())) {}

CallerApi::~CallerApi() {
  *alive_ = false;
}

void CallerApi::handle(http::Request request, const http::ResponseWriterPtr& response) {
  const RequestId id = nextId();
  try {
    route(request, response, id);
  } catch (const Error& fault) {
    logger().debug(std::string("A request is refused: ") + fault.what(), id.value);
    refuse(response, {id, fault.code(), Outcome::NotRun, fault.detail(), std::nullopt});
  }
}

void CallerApi::route(http::Request& request, const http::ResponseWriterPtr& response, const RequestId& id) {
  const bool chat = request.path == "/v1/chat/completions";
  if (chat || request.path == "/v1/completions") {
    if (request.method != "POST") {
      throw Error(ResultCode::MethodNotAllowed, request.path + " takes POST");
    }
    serveCompletion(std::move(request), response, chat ? CompletionForm::Chat : CompletionForm::Text, id);
    return;
  }
  const bool state = request.path == "/healthz" || request.path == "/readyz" || request.path == "/metrics";
  if (!state && request.path != "/v1/models") {
    throw Error(ResultCode::UnknownPath, "there is nothing at " + request.path);
  }
  if (request.method != "GET" && request.method != "HEAD") {
    throw Error(ResultCode::MethodNotAllowed, request.path + " takes GET");
  }
  if (state) {
    serveState(request, response);
    return;
  }
  response->respond(kStatusOk, answerHeaders(id, Outcome::Ran, "application/json"),
                    modelList(node_.knownModels()));
}

void CallerApi::serveState(const http::Request& request, const http::ResponseWriterPtr& response) {
  if (request.path == "/healthz") {
    response->respond(kStatusOk, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (request.path == "/metrics") {
    update_metrics_();
    response->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize());
  } else if (draining_ || !node_.ready()) {
    response->respond(kStatusUnavailable, {{"Content-Type", "text/plain"}},
                      draining_ ? "a planned stop is under way\n" : "no routing table yet\n");
  } else {
    response->respond(kStatusOk, {{"Content-Type", "text/plain"}}, "ready\n");
  }
}

void CallerApi::serveCompletion(http::Request request, const http::ResponseWriterPtr& response,
                                CompletionForm form, const RequestId& id) {
  ParsedRequest parsed = parseCallerRequest(std::move(request), form, id);
  const std::int64_t created = dispatcher_.timeSource().wallTime() / kMillisecondsPerSecond;
  AnswerHead head{id, parsed.request.model, form, created};
  ChunkWriter chunks(head);
  Call call{std::move(head), std::move(chunks), response, now()};
  call.stream = parsed.request.stream;
  call.include_usage = parsed.include_usage;
  calls_.emplace(id, std::move(call));
  watch(id, response);
  carry_out_(node_.onRequest(std::move(parsed.request), now()));
}

void CallerApi::watch(const RequestId& id, const http::ResponseWriterPtr& response) {
  response->onClosed([this, alive = alive_, id] {
    if (*alive && calls_.erase(id) > 0) {
      logger().debug("The caller is gone.", id.value);
      carry_out_(node_.onCallerGone(id, now()));
    }
  });
  response->onDrained([this, alive = alive_, id] {
    if (!*alive) {
      return;
    }
    const auto found = calls_.find(id);
    if (found != calls_.end() && found->second.slow) {
      reportBuffer(found->second);
    }
  });
}

void CallerApi::onChunk(const router::CallerChunkEffect& effect) {
  const auto found = calls_.find(effect.request);
  if (found != calls_.end()) {
    writeChunk(found->second, effect.chunk);
  }
}

void CallerApi::writeChunk(Call& call, const router::StreamChunk& chunk) {
  if (!call.started) {
    startStream(call);
    first_chunk_seconds_.observe(toSeconds(now() - call.arrived));
  }
  call.response->write(call.chunks.chunk(chunk));
  if (call.slow || call.response->bufferedBytes() > kWorthReporting) {
    reportBuffer(call);
  }
}

/// The chunk that begins a stream proves that the request ran; an error event takes back what the header says
/// if it isn't completed.
void CallerApi::startStream(Call& call) {
  call.started = true;
  http::Headers headers = answerHeaders(call.head.id, Outcome::Ran, "text/event-stream");
  headers.push_back({"Cache-Control", "no-cache"});
  call.response->start(kStatusOk, std::move(headers));
}

void CallerApi::reportBuffer(Call& call) {
  const std::size_t bytes = call.response->bufferedBytes();
  call.slow = bytes > kWorthReporting;
  carry_out_(node_.onCallerBuffer(call.head.id, bytes, now()));
}

void CallerApi::onAnswer(const router::CallerAnswerEffect& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) {
    return;
  }
  Call call = std::move(found->second);
  calls_.erase(found);
  observeEnd(call, Outcome::Ran, ResultCode::Ok);
  if (!call.stream) {
    call.response->respond(kStatusOk, answerHeaders(call.head.id, Outcome::Ran, "application/json"),
                           wholeAnswer(call.head, effect));
    return;
  }
  if (!call.started) {
    startStream(call);
    call.response->write(call.chunks.chunk({0, effect.text, effect.finish_reason}));
  }
  if (call.include_usage) {
    call.response->write(call.chunks.usage(effect.end));
  }
  call.response->write(kStreamDone);
  call.response->finish();
}

void CallerApi::onFailure(const router::CallerFailureEffect& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) {
    return;
  }
  const Call call = std::move(found->second);
  calls_.erase(found);
  observeEnd(call, effect.outcome, effect.code);
  if (call.started) {
    call.response->write(failureEvent(effect));
    call.response->abort();
    return;
  }
  refuse(call.response, effect);
}

void CallerApi::refuse(const http::ResponseWriterPtr& response, const router::CallerFailureEffect& failure) {
  http::Headers headers = answerHeaders(failure.request, failure.outcome, "application/json");
  if (failure.retry_after) {
    headers.push_back({"Retry-After", wholeSeconds(*failure.retry_after)});
  }
  response->respond(resultCodeInfo(failure.code).http_status, std::move(headers), failureBody(failure));
}

void CallerApi::observeEnd(const Call& call, Outcome outcome, ResultCode code) {
  answer_seconds_.observe(toSeconds(now() - call.arrived));
  const MetricLabels labels{{"outcome", std::string(outcomeName(outcome))},
                            {"code", std::to_string(static_cast<int>(code))}};
  metrics_.counter("ferryrock_router_answers", "Final answers by outcome and result code", labels)
      .increment();
}

http::Headers CallerApi::answerHeaders(const RequestId& id, Outcome outcome, std::string type) const {
  http::Headers headers{{"Content-Type", std::move(type)},
                        {"X-Request-Id", id.value},
                        {"X-Ferryrock-Outcome", std::string(outcomeName(outcome))}};
  if (draining_) {
    headers.push_back({"Connection", "close"});
  }
  return headers;
}

http::Headers CallerApi::refusalHeaders() {
  return {{"X-Request-Id", nextId().value},
          {"X-Ferryrock-Outcome", std::string(outcomeName(Outcome::NotRun))}};
}

RequestId CallerApi::nextId() {
  return RequestId(id_prefix_ + std::to_string(++requests_));
}

}  // namespace ferryrock::router_process
