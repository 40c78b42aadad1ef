#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event/dispatcher.h"
#include "http/http.h"
#include "router/router_node.h"

namespace ferryrock::router_process {

/// Takes the cache of an attempt that moves to another engine along: exported where it ran, imported where it
/// goes on. Best effort: the text so far is enough to continue. Used by one thread.
class CacheMover {
 public:
  CacheMover(event::Dispatcher& dispatcher, http::Client& client)
      : dispatcher_(dispatcher), client_(client) {}

  /// Calls back when the source isn't needed any more, moved or not, after at most a time limit; never from
  /// within move().
  void move(const router::CacheSource& source, const std::string& target_url, event::Callback on_done);

  std::uint64_t moved() const { return moved_; }
  std::uint64_t failed() const { return failed_; }

 private:
  struct Move {
    std::string source_url;
    std::string target_url;
    event::Callback on_done;
    std::unique_ptr<event::Timer> limit;
    std::unique_ptr<http::ClientCall> call;
    int status = 0;
    std::string body;
  };

  void post(std::uint64_t id, const std::string& url, std::string body, std::function<void(Move&)> on_answer);
  void importCache(Move& move, std::uint64_t id);
  void end(std::uint64_t id, bool moved);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Move> moves_;
  std::uint64_t moved_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace ferryrock::router_process
