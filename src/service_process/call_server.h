#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event/dispatcher.h"
#include "service_process/call_dialect.h"

namespace ferryrock::service_process {

/// Events of the callers' side. Called on the dispatcher's thread.
struct CallerCallbacks {
  std::function<void(calls::CallRequest)> on_call;
  std::function<void(calls::CallNumber)> on_caller_gone;
};

/// HTTP server for callers: accepts calls, stores their content until they end, and writes the responses that
/// the router decides on. Used by one thread.
class CallServer {
 public:
  CallServer(event::Dispatcher& dispatcher, const http::ServerSettings& settings, const CallDialect& dialect,
             CallerCallbacks callbacks);
  ~CallServer();

  /// Returns nullptr if the call has ended.
  const CallContent* contentOf(calls::CallNumber call) const;

  void deliver(calls::CallNumber call, HttpResponse answer);
  void start(calls::CallNumber call, const HttpResponse& head);
  void pass(calls::CallNumber call, const std::string& bytes);
  /// Bytes of the call's stream that wait for its caller.
  std::size_t unsentBytes(calls::CallNumber call) const;
  /// Calls back each time that all of these are sent, until the call ends.
  void onAllSent(calls::CallNumber call, event::Callback callback);
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
  /// Removes the call and returns its response writer; nullptr if the call is unknown.
  http::ResponseWriterPtr take(calls::CallNumber call);

  const CallDialect& dialect_;
  CallerCallbacks callbacks_;
  std::map<calls::CallNumber, OpenCall> calls_;
  std::uint64_t next_call_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::service_process
