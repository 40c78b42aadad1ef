#include "load/http_call.h"

#include <utility>

namespace ferryrock::load {

HttpCall::HttpCall(http::Client& client, http::ClientRequest request, DoneCallback on_done)
    : on_done_(std::move(on_done)) {
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this](int status, const http::Headers&) { answer_.status = status; };
  callbacks.on_data = [this](std::string_view bytes) { answer_.body += bytes; };
  callbacks.on_complete = [this] { finish(); };
  callbacks.on_failure = [this](http::SendProgress, const std::string&) {
    answer_ = {};
    finish();
  };
  call_ = client.send(std::move(request), std::move(callbacks));
}

void HttpCall::finish() {
  const CallAnswer answer = std::move(answer_);
  const DoneCallback on_done = std::move(on_done_);
  on_done(answer);
}

}  // namespace ferryrock::load
