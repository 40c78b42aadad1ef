#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/dispatcher.h"
#include "http/body_buffer.h"
#include "service_process/call_dialect.h"
#include "service_process/event_splitter.h"
#include "service_process/keep_alive_limits.h"

namespace ferryrock::service_process {

/// Events of attempts. An attempt ends with on_answer, on_stream_end, on_failure or cancel().
struct ReplicaCallbacks {
  /// The notice in the head of the attempt's response, possibly empty. Called before the attempt's other
  /// events.
  std::function<void(calls::AttemptNumber, const calls::ReplicaNotice&)> on_head;
  /// The notice in a response head that doesn't belong to the attempt of its connection. Not called for an
  /// empty notice.
  std::function<void(const ReplicaId&, const calls::ReplicaNotice&)> on_notice;
  std::function<void(calls::AttemptNumber, const calls::AnswerSummary&)> on_answer;
  std::function<void(calls::AttemptNumber, StreamEvent)> on_stream_event;
  /// ends_with_connection: see calls::AnswerSummary.
  std::function<void(calls::AttemptNumber, bool ends_with_connection)> on_stream_end;
  std::function<void(calls::AttemptNumber, calls::AttemptFailure, const std::string& reason)> on_failure;
};

/// Sends calls to replicas over HTTP. Responses are buffered until they are complete; streams are split into
/// events. A response that is truncated, carries another call's id or isn't valid HTTP is a failure; so is
/// one of which more would have to be kept than a limit allows, and the longest ones while the budget has no
/// memory for more. Used by one thread.
class ReplicaClient {
 public:
  /// budget: what is kept of responses is taken from it.
  ReplicaClient(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                ReplicaCallbacks callbacks, std::shared_ptr<http::ClientBudget> budget);
  ~ReplicaClient();

  void send(const calls::SendAttemptEffect& effect, const CallContent& content);
  /// Stops reading the attempt's response until resumed. Both return false if nothing changes.
  bool pauseReading(calls::AttemptNumber attempt);
  bool resumeReading(calls::AttemptNumber attempt);
  /// Ends the attempt without a callback and closes its connection.
  void cancel(calls::AttemptNumber attempt);
  /// The response of an attempt: valid within its on_answer callback, without the body of a refusal that
  /// broke off, or as the head alone within the callbacks for the events of a stream. nullptr if the attempt
  /// has ended.
  const HttpResponse* answerOf(calls::AttemptNumber attempt) const;
  /// The same, moved out of the attempt, for its only receiver. nullopt if the attempt has ended.
  std::optional<HttpResponse> takeAnswer(calls::AttemptNumber attempt);
  std::size_t running() const { return attempts_.size(); }
  KeepAliveLimits& keepAliveLimits() { return keep_alive_; }

 private:
  struct Attempt {
    explicit Attempt(const std::shared_ptr<http::ClientBudget>& budget) : memory(budget) {}

    RequestId id;
    ReplicaId replica;
    std::string address;
    bool relayed = false;
    HttpResponse answer;  ///< its body only once it is whole
    http::BodyBuffer body;
    bool head_request = false;  ///< the response has no body
    bool streaming = false;
    bool ends_with_connection = false;
    bool has_events = false;
    bool paused = false;
    http::MemoryReservation memory;  ///< for the body, or for an event that isn't complete
    /// False: the response may be one to an earlier sending of the call, so it proves nothing of this one.
    bool proves_this_sending = true;
    EventSplitter events;
    std::unique_ptr<http::ClientCall> call;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void onHeaders(calls::AttemptNumber number, int status, const http::Headers& headers);
  void onData(calls::AttemptNumber number, std::string_view bytes);
  /// Fails the attempts that keep the most while there isn't enough memory for this one.
  void takeMemory(calls::AttemptNumber number, Attempt& attempt);
  void onComplete(calls::AttemptNumber number);
  /// Returns why the response is known to be cut although its connection ended normally; empty: it isn't.
  static std::string truncationOf(const Attempt& attempt);
  calls::AnswerSummary summarize(const Attempt& attempt) const;
  void fail(calls::AttemptNumber number, calls::AttemptFailure failure, const std::string& reason);
  /// Removes the attempt. Its client call is destroyed after the running callback returns.
  AttemptPtr take(calls::AttemptNumber number);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const CallDialect& dialect_;
  ReplicaCallbacks callbacks_;
  std::map<calls::AttemptNumber, AttemptPtr> attempts_;
  std::shared_ptr<http::ClientBudget> budget_;
  KeepAliveLimits keep_alive_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ferryrock::service_process
