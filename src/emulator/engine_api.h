#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/cache_imports.h"
#include "emulator/engine_host.h"
#include "emulator/fault_json.h"
#include "emulator/state_polls.h"

namespace ferryrock::emulator {

/// HTTP interface of one stand-in engine, as docs/ENGINE_PROTOCOL.md says.
class EngineApi {
 public:
  /// on_crash ends the process, or posts a call of restart().
  EngineApi(event::Dispatcher& dispatcher, http::Client& client, EngineHostSettings settings,
            std::function<void()> on_crash);

  /// Serves a request whose path is relative to the engine's URL.
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  /// Cuts every connection.
  void cutAll();
  /// Comes back from a crash as the next incarnation without faults.
  void restart();
  const EngineHost& host() const { return host_; }

 private:
  using Handler = void (EngineApi::*)(const http::Request&, const http::ResponseWriterPtr&);
  enum class PathKind {
    Inference,  ///< refusals say that nothing was admitted
    Control,    ///< cut by the fault cut_control
    Other,
  };
  struct Path {
    const char* method;
    const char* path;
    bool is_prefix;  ///< the rest of the path is an argument
    PathKind kind;
    Handler handler;
  };
  static const std::vector<Path>& paths();

  void serve(const Path& path, const http::Request& request, const http::ResponseWriterPtr& writer);
  void serveWhileCut(const Path& path, const http::Request& request, const http::ResponseWriterPtr& writer);

  void chatCompletions(const http::Request& request, const http::ResponseWriterPtr& writer);
  void completions(const http::Request& request, const http::ResponseWriterPtr& writer);
  void infer(const http::Request& request, const http::ResponseWriterPtr& writer, AnswerForm form);
  void models(const http::Request& request, const http::ResponseWriterPtr& writer);
  void resumeStream(const http::Request& request, const http::ResponseWriterPtr& writer);
  void cancelStream(const http::Request& request, const http::ResponseWriterPtr& writer);
  void kvExport(const http::Request& request, const http::ResponseWriterPtr& writer);
  void kvBlocks(const http::Request& request, const http::ResponseWriterPtr& writer);
  void kvImport(const http::Request& request, const http::ResponseWriterPtr& writer);
  void cacheEvents(const http::Request& request, const http::ResponseWriterPtr& writer);
  void fence(const http::Request& request, const http::ResponseWriterPtr& writer);
  void state(const http::Request& request, const http::ResponseWriterPtr& writer);
  void orders(const http::Request& request, const http::ResponseWriterPtr& writer);
  void setFaults(const http::Request& request, const http::ResponseWriterPtr& writer);
  void journal(const http::Request& request, const http::ResponseWriterPtr& writer);
  void health(const http::Request& request, const http::ResponseWriterPtr& writer);

  void answerControl(const http::ResponseWriterPtr& writer, const control::EngineAnswer& answer, int status);

  EngineHost host_;
  StatePolls polls_;
  CacheImports imports_;
  HostFaults faults_;
  std::unique_ptr<event::Timer> crash_timer_;
  std::vector<http::ResponseWriterPtr> unanswered_;  ///< held while control is cut
  std::uint64_t direct_attempts_ = 0;                ///< of callers that name no attempt
};

}  // namespace ferryrock::emulator
