#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/control_node.h"
#include "event/dispatcher.h"
#include "http/http.h"

namespace ferryrock::control_process {

/// Carries fences, orders and polls to the engines over HTTP; each ends in exactly one answer.
class EngineClient {
 public:
  using AnswerCallback = std::function<void(const control::EngineAnswer&)>;

  /// A fence or an order is given up after order_timeout, a poll that much after its wait.
  EngineClient(event::Dispatcher& dispatcher, http::Client& client, AnswerCallback on_answer,
               Duration order_timeout = std::chrono::seconds(5));

  void send(const control::RaiseFenceEffect& effect);
  void send(const control::OrderEffect& effect);
  void send(const control::PollEngineEffect& effect);

 private:
  struct Call {
    EngineName engine;
    control::EngineCall kind = control::EngineCall::Poll;
    wire::Fence fence;
    int status = 0;
    std::string body;
    std::unique_ptr<http::ClientCall> request;
  };

  void start(Call call, http::ClientRequest request);
  http::ClientRequest jsonPost(const std::string& url, std::string body) const;
  void complete(std::uint64_t id);
  void fail(std::uint64_t id, const std::string& reason);
  /// Ends the call after the callback that reports it has returned.
  void finish(std::uint64_t id, control::EngineAnswer answer);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  AnswerCallback on_answer_;
  Duration order_timeout_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Call> calls_;
};

}  // namespace ferryrock::control_process
