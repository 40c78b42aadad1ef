#include "load/caller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace ferryrock::load {

namespace {

/// How long after the deadline a caller still waits, so that late answers are seen and not taken for lost
/// ones.
constexpr Duration kPatience = std::chrono::seconds(10);
/// Pause of a slow reader after each piece.
constexpr Duration kSlowReaderPause = std::chrono::milliseconds(200);

std::string buildBody(const PlannedOperation& planned) {
  nlohmann::json body = {
      {"model", planned.model}, {"max_tokens", planned.max_tokens}, {"stream", planned.stream}};
  if (planned.chat) {
    body["messages"] = nlohmann::json::array({{{"role", "user"}, {"content", planned.prompt}}});
  } else {
    body["prompt"] = planned.prompt;
  }
  if (!planned.session.empty()) {
    body["user"] = planned.session;
  }
  return body.dump();
}

}  // namespace

Caller::Caller(event::Dispatcher& dispatcher, http::Client& client, const PlannedOperation& planned,
               const std::string& router, std::uint32_t call, WallMilliseconds deadline_ms,
               DoneCallback on_done)
    : dispatcher_(dispatcher), reader_(record_), on_done_(std::move(on_done)) {
  record_.operation = planned.operation;
  record_.call = call;
  record_.router = router;
  record_.key = planned.key;
  record_.model = planned.model;
  record_.prompt = planned.prompt;
  record_.max_tokens = planned.max_tokens;
  record_.stream = planned.stream;
  record_.slow_reader = planned.slow_reader;
  record_.sent_ms = dispatcher.timeSource().wallTime();
  record_.deadline_ms = deadline_ms;
  patience_timer_ = dispatcher.createTimer([this] {
    record_.failure = "no answer within the caller's patience";
    end(CallEnd::TimedOut);
  });
  patience_timer_->enable(std::chrono::milliseconds(deadline_ms - record_.sent_ms) + kPatience);
  if (planned.leave_after) {
    leave_timer_ = dispatcher.createTimer([this] { end(CallEnd::Left); });
    leave_timer_->enable(*planned.leave_after);
  }
  if (planned.slow_reader) {
    slow_timer_ = dispatcher.createTimer([this] { call_->resumeReading(); });
  }
  call_ = client.send(buildRequest(planned), callbacks());
}

http::ClientRequest Caller::buildRequest(const PlannedOperation& planned) const {
  http::ClientRequest request;
  request.method = "POST";
  request.max_body_bytes = 0;  // a stream
  request.url = record_.router + (planned.chat ? "/v1/chat/completions" : "/v1/completions");
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Request-Timeout-Ms", std::to_string(record_.deadline_ms - record_.sent_ms)}};
  if (planned.priority) {
    request.headers.push_back({"X-Request-Priority", std::to_string(*planned.priority)});
  }
  if (!planned.key.empty()) {
    request.headers.push_back({"Idempotency-Key", planned.key});
  }
  request.body = buildBody(planned);
  return request;
}

http::ClientCallbacks Caller::callbacks() {
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this](int status, const http::Headers& headers) { onHeaders(status, headers); };
  callbacks.on_data = [this](std::string_view bytes) { onData(bytes); };
  callbacks.on_complete = [this] { onComplete(); };
  callbacks.on_failure = [this](http::SendProgress progress, const std::string& reason) {
    onFailure(progress, reason);
  };
  return callbacks;
}

void Caller::onHeaders(int status, const http::Headers& headers) {
  record_.status = status;
  record_.request_id = http::findHeader(headers, "X-Request-Id").value_or("");
  record_.outcome = http::findHeader(headers, "X-Ferryrock-Outcome").value_or("");
  const std::string type = http::findHeader(headers, "Content-Type").value_or("");
  reader_.begin(status, type.find("text/event-stream") != std::string::npos);
}

void Caller::onData(std::string_view bytes) {
  reader_.add(bytes);
  if (!record_.first_token_ms && reader_.pieces() > 0) {
    record_.first_token_ms = dispatcher_.timeSource().wallTime();
  }
  if (slow_timer_ && call_) {
    call_->pauseReading();
    slow_timer_->enable(kSlowReaderPause);
  }
}

void Caller::onComplete() {
  reader_.finish();
  if (!record_.first_token_ms && reader_.pieces() > 0) {
    record_.first_token_ms = dispatcher_.timeSource().wallTime();
  }
  const bool stated = record_.whole || record_.code != 0;
  if (!stated) {
    record_.failure = "the answer ended without an end or an error";
  }
  end(stated ? CallEnd::Answered : CallEnd::Cut);
}

void Caller::onFailure(http::SendProgress progress, const std::string& reason) {
  record_.unsent = progress == http::SendProgress::NotSent;
  record_.failure = reason;
  const bool stated = record_.code != 0;
  end(stated ? CallEnd::Answered : CallEnd::Cut);
}

void Caller::end(CallEnd end) {
  if (done_) {
    return;
  }
  done_ = true;
  record_.end = end;
  record_.end_ms = dispatcher_.timeSource().wallTime();
  patience_timer_->disable();
  if (leave_timer_) {
    leave_timer_->disable();
  }
  if (slow_timer_) {
    slow_timer_->disable();
  }
  call_.reset();
  dispatcher_.post([callback = std::move(on_done_), record = std::move(record_)] { callback(record); });
}

}  // namespace ferryrock::load
