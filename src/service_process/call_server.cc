#include "service_process/call_server.h"

#include <utility>

#include "common/error.h"
#include "quarantine/call_fingerprint.h"

namespace ferryrock::service_process {

CallServer::CallServer(event::Dispatcher& dispatcher, const http::ServerSettings& settings,
                       const CallDialect& dialect, CallerCallbacks callbacks)
    : dialect_(dialect),
      callbacks_(std::move(callbacks)),
      server_(http::createServer(dispatcher, settings,
                                 [this](http::Request request, const http::ResponseWriterPtr& response) {
                                   handle(std::move(request), response);
                                 })) {}

CallServer::~CallServer() {
  *alive_ = false;
}

void CallServer::handle(http::Request request, const http::ResponseWriterPtr& response) {
  ParsedCall parsed;
  try {
    parsed = dialect_.parse(std::move(request));
  } catch (const Error& fault) {
    constexpr bool kNotRun = true;
    HttpResponse refusal =
        dialect_.refusal(parsed.content.id, fault.code(), kNotRun, std::nullopt, fault.detail());
    response->respond(refusal.status, std::move(refusal.headers), std::move(refusal.body));
    return;
  }
  const calls::CallNumber number{next_call_++};
  parsed.request.number = number;
  const CallContent& content = parsed.content;
  parsed.request.fingerprint =
      quarantine::fingerprintOf({content.method, parsed.request.host, content.target,
                                 parsed.request.credential.key, content.body.view()});
  calls_[number] = OpenCall{std::move(parsed.content), response};
  response->onClosed([this, alive = alive_, number] {
    if (*alive && calls_.erase(number) > 0) {
      callbacks_.on_caller_gone(number);
    }
  });
  callbacks_.on_call(std::move(parsed.request));
}

const CallContent* CallServer::contentOf(calls::CallNumber call) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second.content;
}

http::ResponseWriterPtr CallServer::take(calls::CallNumber call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return nullptr;
  }
  http::ResponseWriterPtr response = std::move(found->second.response);
  calls_.erase(found);
  return response;
}

void CallServer::deliver(calls::CallNumber call, HttpResponse answer) {
  if (const http::ResponseWriterPtr response = take(call)) {
    response->respond(answer.status, dialect_.callerHeaders(answer.headers), std::move(answer.body));
  }
}

void CallServer::start(calls::CallNumber call, const HttpResponse& head) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    found->second.response->start(head.status, dialect_.callerHeaders(head.headers));
  }
}

void CallServer::pass(calls::CallNumber call, const std::string& bytes) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    found->second.response->write(bytes);
  }
}

std::size_t CallServer::unsentBytes(calls::CallNumber call) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? 0 : found->second.response->bufferedBytes();
}

void CallServer::onAllSent(calls::CallNumber call, event::Callback callback) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    found->second.response->onDrained(std::move(callback));
  }
}

void CallServer::finish(calls::CallNumber call) {
  if (const http::ResponseWriterPtr response = take(call)) {
    response->finish();
  }
}

void CallServer::breakOff(calls::CallNumber call) {
  if (const http::ResponseWriterPtr response = take(call)) {
    response->abort();
  }
}

void CallServer::refuse(const calls::RefuseCallEffect& effect) {
  const CallContent* content = contentOf(effect.call);
  if (content == nullptr) {
    return;
  }
  HttpResponse refusal = dialect_.refusal(content->id, effect.code, effect.not_run.has_value(),
                                          effect.retry_after, effect.detail);
  take(effect.call)->respond(refusal.status, std::move(refusal.headers), std::move(refusal.body));
}

}  // namespace ferryrock::service_process
