#include "control_process/engine_client.h"

#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "control_process/engine_json.h"

namespace ferryrock::control_process {
namespace {

constexpr int kStatusOk = 200;

const Logger& logger() {
  static const Logger instance("control");
  return instance;
}

}  // namespace

EngineClient::EngineClient(event::Dispatcher& dispatcher, http::Client& client, AnswerCallback on_answer,
                           Duration order_timeout)
    : dispatcher_(dispatcher),
      client_(client),
      on_answer_(std::move(on_answer)),
      order_timeout_(order_timeout) {}

http::ClientRequest EngineClient::jsonPost(const std::string& url, std::string body) const {
  http::ClientRequest request;
  request.method = "POST";
  request.url = url;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  request.total_timeout = order_timeout_;
  return request;
}

void EngineClient::send(const control::RaiseFenceEffect& effect) {
  Call call;
  call.engine = effect.engine;
  call.kind = control::EngineCall::RaiseFence;
  call.fence = effect.fence;
  start(std::move(call), jsonPost(effect.url + "/control/fence", fenceJson(effect.fence)));
}

void EngineClient::send(const control::OrderEffect& effect) {
  Call call;
  call.engine = effect.engine;
  call.kind = control::EngineCall::Order;
  call.fence = effect.order.fence;
  start(std::move(call), jsonPost(effect.url + "/control/orders", orderJson(effect.order)));
}

void EngineClient::send(const control::PollEngineEffect& effect) {
  Call call;
  call.engine = effect.engine;
  http::ClientRequest request;
  request.url = effect.url + "/control/state?after_version=" + std::to_string(effect.after_version) +
                "&wait_ms=" + std::to_string(toMilliseconds(effect.wait));
  request.total_timeout = effect.wait + order_timeout_;
  start(std::move(call), std::move(request));
}

void EngineClient::start(Call call, http::ClientRequest request) {
  const std::uint64_t id = next_id_++;
  calls_.emplace(id, std::move(call));
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this, id](int status, const http::Headers&) { calls_.at(id).status = status; };
  callbacks.on_data = [this, id](std::string_view bytes) { calls_.at(id).body.append(bytes); };
  callbacks.on_complete = [this, id] { complete(id); };
  callbacks.on_failure = [this, id](http::SendProgress, const std::string& reason) { fail(id, reason); };
  auto request_in_flight = client_.send(std::move(request), std::move(callbacks));
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    found->second.request = std::move(request_in_flight);
  }
}

void EngineClient::complete(std::uint64_t id) {
  const Call& call = calls_.at(id);
  try {
    control::EngineAnswer answer = parseOrderAnswer(call.status == 0 ? kStatusOk : call.status, call.body);
    if (answer.state && answer.state->engine != call.engine) {
      throw Error(ResultCode::MalformedMessage, "it is of " + answer.state->engine.value);
    }
    finish(id, std::move(answer));
  } catch (const Error& fault) {
    logger().warning("Engine " + call.engine.value + " gave an answer that can't be read: " + fault.detail());
    finish(id, {});
  }
}

void EngineClient::fail(std::uint64_t id, const std::string& reason) {
  logger().debug("Engine " + calls_.at(id).engine.value + " wasn't reached: " + reason);
  finish(id, {});
}

void EngineClient::finish(std::uint64_t id, control::EngineAnswer answer) {
  const Call& call = calls_.at(id);
  answer.engine = call.engine;
  answer.call = call.kind;
  answer.fence = call.fence;
  dispatcher_.post([this, id, answer = std::move(answer)] {
    calls_.erase(id);
    on_answer_(answer);
  });
}

}  // namespace ferryrock::control_process
