#pragma once

#include <microhttpd.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/body_buffer.h"
#include "http/http.h"

namespace ferryrock::http {

/// Interface through which an exchange uses its server.
class ExchangeOwner {
 public:
  virtual ~ExchangeOwner() = default;
  /// Schedules a run of libmicrohttpd, which continues resumed connections.
  virtual void scheduleRun() = 0;
  virtual void post(event::Callback callback) = 0;
  /// Returns true if responses must close their connections, e.g. after listening has stopped.
  virtual bool closing() const = 0;
  virtual TimePoint now() const = 0;
};

/// One request and its response on a libmicrohttpd connection. Shared by the connection and the
/// ResponseWriter; the server calls requestEnded() when the connection releases the exchange.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ExchangeOwner& owner, MHD_Connection* connection, bool chunked_responses,
           const std::shared_ptr<ClientBudget>& budget)
      : memory(std::make_shared<MemoryReservation>(budget)),
        began(owner.now()),
        owner_(&owner),
        connection_(connection),
        chunked_responses_(chunked_responses),
        answer_memory_(budget) {}

  // For the server, within libmicrohttpd's callbacks.

  Request request;
  BodyBuffer received;                        ///< the request's body, until it is whole
  std::shared_ptr<MemoryReservation> memory;  ///< for the request
  TimePoint began{};
  std::size_t discarded_bytes = 0;    ///< bytes of a refused request that were read and discarded
  std::optional<ResultCode> refusal;  ///< why the request is refused once it is read

  /// Drops what is kept of a request that isn't whole.
  void refuse(ResultCode code);

  /// Marks the request as passed to its handler or rejected.
  void beginAnswering() { answering_ = true; }
  bool answering() const { return answering_; }
  /// Queues the response if it has been started, otherwise suspends the connection until it is. Returns
  /// MHD_NO to close the connection.
  MHD_Result continueConnection();
  /// Handles that the peer has closed its sending side: notifies the writer and ends the connection.
  void peerClosed();
  /// Handles that libmicrohttpd has ended the request; the connection isn't used afterwards.
  void requestEnded(bool complete);
  /// Detaches the exchange from a server that is being destroyed.
  void ownerDestroyed();
  /// The response's bytes that wait for the client, and since when.
  std::size_t unreadBytes() const { return answer_memory_.bytes(); }
  TimePoint answerBegan() const { return answer_began_; }
  /// Gives up a response that its client doesn't read, and resets the connection.
  void evictAnswer();

  // For the writer.

  void respond(int status, Headers headers, std::string body);
  void start(int status, Headers headers);
  void write(std::string_view bytes);
  void finish();
  void abort();
  void abandon();
  std::size_t bufferedBytes() const { return pending_.size() + unsent_bytes_; }
  void onClosed(event::Callback callback);
  void onDrained(event::Callback callback) { on_drained_ = std::move(callback); }

 private:
  enum class Phase { Waiting, Responded, Streaming, Finished, Aborted };

  static ssize_t readContent(void* context, std::uint64_t position, char* buffer, std::size_t size);
  static void releaseContent(void* context);
  static void releaseText(void* content);

  ssize_t readPending(char* buffer, std::size_t size);
  MHD_Result queueResponse();
  MHD_Response* createResponse();
  void addHeaders(MHD_Response* response) const;
  void suspend();
  void resume();
  void notifyClosed();
  void resetConnection() const;
  int socket() const;
  void holdAnswer(std::size_t bytes);

  ExchangeOwner* owner_;
  MHD_Connection* connection_;
  bool chunked_responses_;  ///< false for HTTP/1.0 peers, which detect a truncated response only by a reset
  Phase phase_ = Phase::Waiting;
  bool answering_ = false;
  bool suspended_ = false;
  bool queued_ = false;
  bool closed_ = false;
  int status_ = 0;
  Headers headers_;
  std::string pending_;             ///< written, not yet passed to libmicrohttpd
  std::size_t pending_offset_ = 0;  ///< bytes at the start of pending_ that are already passed on
  std::size_t unsent_bytes_ = 0;    ///< held by libmicrohttpd, not yet sent
  MemoryReservation answer_memory_;
  TimePoint answer_began_{};
  event::Callback on_closed_;
  event::Callback on_drained_;
};

/// Creates the writer through which a handler responds.
ResponseWriterPtr createResponseWriter(std::shared_ptr<Exchange> exchange);

}  // namespace ferryrock::http
