#include "router_process/attempt_request.h"

#include <nlohmann/json.hpp>

#include "common/error.h"

namespace ferryrock::router_process {
namespace {

using nlohmann::json;
using router::AttemptFailure;

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kCancelTimeout = std::chrono::seconds(5);
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// The caller's body, always asking for a stream, with the text so far of an answer that another replica
/// began.
std::string attemptBody(const router::DispatchEffect& effect) {
  json body = json::parse(effect.body, nullptr, false);
  if (!body.is_object()) {
    throw Error(ResultCode::MalformedBody, "the body isn't a JSON object");
  }
  body["model"] = effect.model.value;
  body["stream"] = true;
  body.erase("stream_options");
  if (effect.from_chunk > 0) {
    body["ferryrock_continue"] = {{"from_chunk", effect.from_chunk}, {"text", effect.text_so_far}};
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string streamUrl(const wire::ReplicaEndpoint& replica, const AttemptId& attempt) {
  return replica.url + "/v1/streams/" + attempt.value;
}

}  // namespace

http::ClientRequest attemptRequest(const router::DispatchEffect& effect) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = effect.replica.url + effect.path;
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = 0;  // a stream
  request.fresh_connection = effect.fresh_connection;
  request.body = attemptBody(effect);
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Attempt-Id", effect.attempt.value},
                     {"X-Request-Id", effect.request.value},
                     {"X-Request-Priority", std::to_string(effect.priority)},
                     {"X-Deadline-Ms", std::to_string(toMilliseconds(effect.deadline_left))},
                     {"X-Slot-Id", std::to_string(effect.replica.slot.value)},
                     {"X-Engine-Incarnation", std::to_string(effect.replica.incarnation.value)}};
  if (effect.key) {
    request.headers.push_back({"X-Idempotency-Key", effect.key->value});
  }
  return request;
}

http::ClientRequest resumeRequest(const router::ResumeEffect& effect) {
  http::ClientRequest request;
  request.url = streamUrl(effect.replica, effect.attempt) + "?from=" + std::to_string(effect.from_chunk);
  request.connect_timeout = kConnectTimeout;
  request.max_body_bytes = 0;  // a stream
  return request;
}

http::ClientRequest cancelRequest(const router::CancelEffect& effect) {
  http::ClientRequest request;
  request.method = "DELETE";
  request.url = streamUrl(effect.replica, effect.attempt);
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kCancelTimeout;
  return request;
}

AttemptFailure failureOfStatus(int status, const std::optional<std::string>& admitted) {
  if (!admitted) {
    return AttemptFailure::SentNoProof;
  }
  if (*admitted != "false") {
    return AttemptFailure::EngineError;
  }
  switch (status) {
    case kBadRequest:
    case kContentTooLarge:
    case kUnprocessable:
      return AttemptFailure::RefusedInvalid;
    case kNotFound:
    case kConflict:
      return AttemptFailure::RefusedNotHeld;
    case kTooManyRequests:
      return AttemptFailure::RefusedFull;
    case kUnavailable:
      return AttemptFailure::RefusedDraining;
    default:
      return AttemptFailure::RefusedUnadmitted;
  }
}

std::string refusalReason(int status, const std::string& body) {
  const json answer = json::parse(body, nullptr, false);
  if (answer.is_object() && answer.contains("error")) {
    const json& error = answer["error"];
    if (error.is_object() && error.contains("message") && error["message"].is_string()) {
      return "the engine says: " + error["message"].get<std::string>();
    }
  }
  return "the engine answered with status " + std::to_string(status);
}

}  // namespace ferryrock::router_process
