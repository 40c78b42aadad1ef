#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/dispatcher.h"
#include "service_process/call_dialect.h"
#include "service_process/event_splitter.h"

namespace ferryrock::service_process {

/// What happened to attempts. An attempt ends by on_answer, on_stream_end, on_failure or cancel().
struct ReplicaCallbacks {
  /// What the head of an answer says of the replica, before the attempt's other events.
  std::function<void(calls::AttemptNumber, const calls::ReplicaNotice&)> on_head;
  /// What the head of an answer to another call on its connection says of the replica. Not called for heads
  /// that say nothing.
  std::function<void(const ReplicaId&, const calls::ReplicaNotice&)> on_notice;
  std::function<void(calls::AttemptNumber, const calls::AnswerSummary&)> on_answer;
  std::function<void(calls::AttemptNumber, StreamEvent)> on_stream_event;
  std::function<void(calls::AttemptNumber)> on_stream_end;
  std::function<void(calls::AttemptNumber, calls::AttemptFailure, const std::string& reason)> on_failure;
};

/// Sends calls to replicas over HTTP. Whole answers are kept until they have ended, streams are cut into
/// events. An answer that ends early, has another call's id or isn't HTTP is a failure. Used by one thread.
class ReplicaClient {
 public:
  ReplicaClient(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                ReplicaCallbacks callbacks);
  ~ReplicaClient();

  void send(const calls::SendAttemptEffect& effect, const CallContent& content);
  /// Closes the attempt's connection.
  void cancel(calls::AttemptNumber attempt);
  /// The answer of an attempt, within its on_answer callback; the head of a stream within its events.
  const HttpAnswer* answerOf(calls::AttemptNumber attempt) const;
  std::size_t running() const { return attempts_.size(); }

 private:
  struct Attempt {
    RequestId id;
    ReplicaId replica;
    std::string address;
    HttpAnswer answer;
    bool streaming = false;
    EventSplitter events;
    std::unique_ptr<http::ClientCall> call;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void onHeaders(calls::AttemptNumber number, int status, const http::Headers& headers);
  void onData(calls::AttemptNumber number, std::string_view bytes);
  void onComplete(calls::AttemptNumber number);
  void fail(calls::AttemptNumber number, calls::AttemptFailure failure, const std::string& reason);
  void noteKeepAlive(const std::string& address, const http::Headers& headers);
  /// Ends the attempt; its connection's object is destroyed after the callback that is running.
  AttemptPtr take(calls::AttemptNumber number);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const CallDialect& dialect_;
  ReplicaCallbacks callbacks_;
  std::map<calls::AttemptNumber, AttemptPtr> attempts_;
  std::map<std::string, Duration> keep_alive_;  ///< by address, as the replica last told it
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ferryrock::service_process
