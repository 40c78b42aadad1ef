#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event/dispatcher.h"
#include "service_process/call_dialect.h"

namespace ferryrock::service_process {

/// What callers do; called on the dispatcher's thread.
struct CallerCallbacks {
  std::function<void(calls::CallRequest)> on_call;
  std::function<void(calls::CallNumber)> on_caller_gone;
};

/// Callers' end of the calls over HTTP: takes them in, keeps their bytes, and writes what the router decides.
/// Used by one thread.
class CallServer {
 public:
  CallServer(event::Dispatcher& dispatcher, const http::ServerSettings& settings, const CallDialect& dialect,
             CallerCallbacks callbacks);
  ~CallServer();

  /// nullptr: the call has ended.
  const CallContent* contentOf(calls::CallNumber call) const;

  void deliver(calls::CallNumber call, const HttpAnswer& answer);
  void start(calls::CallNumber call, const HttpAnswer& head);
  void pass(calls::CallNumber call, const std::string& bytes);
  void finish(calls::CallNumber call);
  void breakOff(calls::CallNumber call);
  void refuse(const calls::RefuseCallEffect& effect);

  http::Server& server() { return *server_; }

 private:
  struct OpenCall {
    CallContent content;
    http::ResponseWriterPtr response;
  };

  void handle(http::Request request, const http::ResponseWriterPtr& response);
  /// Takes the call out; nullptr response: it is unknown.
  http::ResponseWriterPtr take(calls::CallNumber call);

  const CallDialect& dialect_;
  CallerCallbacks callbacks_;
  std::map<calls::CallNumber, OpenCall> calls_;
  std::uint64_t next_call_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::service_process
