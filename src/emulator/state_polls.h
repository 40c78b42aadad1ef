#pragma once

#include <list>
#include <memory>

#include "emulator/engine_host.h"
#include "event/dispatcher.h"

namespace ferryrock::emulator {

/// Long polls of one engine's state.
class StatePolls {
 public:
  StatePolls(event::Dispatcher& dispatcher, const EngineHost& host) : dispatcher_(dispatcher), host_(host) {}

  /// Answers at once if the state's version differs from after_version upward or belongs to an earlier
  /// incarnation, else when it changes or the wait is over.
  void add(const http::ResponseWriterPtr& writer, std::uint64_t after_version, Duration wait);
  /// Answers the polls for which the state has changed.
  void onStateChanged();
  /// Cuts all polls.
  void abortAll();

 private:
  struct Poll {
    http::ResponseWriterPtr writer;
    std::uint64_t after_version = 0;
    std::unique_ptr<event::Timer> timer;
  };
  using PollList = std::list<std::shared_ptr<Poll>>;

  bool due(std::uint64_t after_version) const;
  void answer(const http::ResponseWriterPtr& writer) const;
  void remove(const Poll* poll);

  event::Dispatcher& dispatcher_;
  const EngineHost& host_;
  PollList polls_;
};

}  // namespace ferryrock::emulator
