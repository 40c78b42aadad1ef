#pragma once

#include <list>
#include <memory>
#include <string>

#include "emulator/engine_host.h"
#include "event/dispatcher.h"

namespace ferryrock::emulator {

/// Fetches exported cache blocks from other stand-in engines and makes them warm on this one.
class CacheImports {
 public:
  CacheImports(event::Dispatcher& dispatcher, http::Client& client, EngineHost& host)
      : dispatcher_(dispatcher), client_(client), host_(host) {}

  /// Answers the writer when the blocks are warm, or with the reason why they can't be.
  void start(const http::ResponseWriterPtr& writer, const std::string& source_url, const std::string& handle);
  void abortAll();

 private:
  struct Import {
    http::ResponseWriterPtr writer;
    std::unique_ptr<http::ClientCall> call;
    std::unique_ptr<event::Timer> timer;
    int status = 0;
    std::string body;
  };
  using ImportPtr = std::shared_ptr<Import>;

  void fetched(const ImportPtr& import);
  void makeWarm(const ImportPtr& import);
  void fail(const ImportPtr& import, ResultCode code, const std::string& detail);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  EngineHost& host_;
  std::list<ImportPtr> imports_;
};

}  // namespace ferryrock::emulator
