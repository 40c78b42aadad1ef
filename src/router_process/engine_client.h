#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "event/dispatcher.h"
#include "http/http.h"
#include "router/router_node.h"
#include "router_process/cache_mover.h"

namespace ferryrock::router_process {

/// What happened to attempts; called on the dispatcher's thread, never from within EngineClient's own
/// members.
struct EngineCallbacks {
  std::function<void(const AttemptId&)> on_admitted;
  std::function<void(const AttemptId&, const router::StreamChunk&)> on_chunk;
  std::function<void(const AttemptId&, const router::StreamEnd&)> on_end;
  std::function<void(const AttemptId&, router::AttemptFailure, const std::string& reason)> on_failure;
  std::function<void(const EngineName&, std::uint32_t running, std::uint32_t waiting)> on_reported_load;
};

/// Runs attempts on engines over HTTP: sends them, reads their numbered chunks, reads on after a cut,
/// cancels. An attempt ends by on_end, on_failure or cancel(); after on_failure it may be resumed. Used by
/// one thread.
class EngineClient {
 public:
  EngineClient(event::Dispatcher& dispatcher, http::Client& client, EngineCallbacks callbacks);
  ~EngineClient();

  void dispatch(const router::DispatchEffect& effect);
  /// Replaces the attempt's connection.
  void resume(const router::ResumeEffect& effect);
  void cancel(const router::CancelEffect& effect);
  void pause(const router::PauseEffect& effect);

  /// Events that weren't the attempt's own.
  std::uint64_t foreignEvents() const { return foreign_events_; }
  /// Attempts with an open connection.
  std::size_t running() const { return attempts_.size(); }
  const CacheMover& caches() const { return caches_; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// An attempt that waits for the cache it takes along.
  struct Preparing {
    router::DispatchEffect effect;
    TimePoint since;
    bool paused = false;
  };

  void begin(const router::DispatchEffect& effect);
  void moveCache(const router::DispatchEffect& effect);
  void beginPrepared(const AttemptId& attempt);
  void sendCancels();

  void open(const AttemptId& attempt, const EngineName& engine, http::ClientRequest request, bool resumed);
  void onHeaders(Connection& connection, int status, const http::Headers& headers);
  void onData(Connection& connection, std::string_view bytes);
  void onComplete(Connection& connection);
  void onBroken(Connection& connection, http::SendProgress progress, const std::string& reason);
  void fail(Connection& connection, router::AttemptFailure failure, const std::string& reason);
  /// Lets the rest of a whole answer be read, so that its connection can be used again.
  void readToEnd(Connection& connection);
  void forget(const Connection& connection);
  void sendCancel(const router::CancelEffect& effect);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  EngineCallbacks callbacks_;
  CacheMover caches_;
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;
  std::unordered_map<AttemptId, Preparing> preparing_;
  /// Sent at the end of the loop's turn, unless a dispatch of the same turn takes the attempt's cache along.
  std::unordered_map<AttemptId, router::CancelEffect> waiting_cancels_;
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, ConnectionPtr> ending_;  ///< answers are whole, connections not read to their ends
  std::map<std::uint64_t, std::unique_ptr<http::ClientCall>> cancels_;
  std::uint64_t foreign_events_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ferryrock::router_process
