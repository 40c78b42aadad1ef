#include "emulator/engine_server.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "common/error.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

constexpr std::string_view kEnginesPath = "/engines";

/// Adds what was counted since the last export.
void exportCount(MetricsRegistry& registry, const std::string& name, const std::string& help,
                 std::uint64_t now, std::uint64_t before) {
  registry.counter(name, help).increment(static_cast<double>(now - before));
}

void addCounters(EngineCounters& total, const EngineCounters& part) {
  total.admitted += part.admitted;
  total.refused += part.refused;
  total.finished += part.finished;
  total.failed += part.failed;
  total.chunks += part.chunks;
}

}  // namespace

EngineServer::EngineServer(event::Dispatcher& dispatcher, http::Client& client,
                           const http::ServerSettings& listen, EngineHostSettings engine,
                           EndProcess end_process)
    : dispatcher_(dispatcher), client_(client) {
  const std::string name = engine.engine.name.value;
  HostedEngine& hosted = engines_[name];
  hosted.api = std::make_unique<EngineApi>(dispatcher_, client_, std::move(engine), std::move(end_process));
  single_ = hosted.api.get();
  server_ = http::createServer(dispatcher_, listen,
                               [this](http::Request request, const http::ResponseWriterPtr& writer) {
                                 handle(std::move(request), writer);
                               });
}

EngineServer::EngineServer(event::Dispatcher& dispatcher, http::Client& client,
                           const http::ServerSettings& listen, std::vector<EngineHostSettings> engines,
                           Duration restart_pause)
    : dispatcher_(dispatcher), client_(client) {
  for (EngineHostSettings& engine : engines) {
    addHosted(std::move(engine), restart_pause);
  }
  server_ = http::createServer(dispatcher_, listen,
                               [this](http::Request request, const http::ResponseWriterPtr& writer) {
                                 handle(std::move(request), writer);
                               });
}

void EngineServer::addHosted(EngineHostSettings settings, Duration restart_pause) {
  const std::string name = settings.engine.name.value;
  HostedEngine& hosted = engines_[name];
  hosted.restart_timer = dispatcher_.createTimer([&hosted] {
    hosted.down = false;
    hosted.api->restart();
  });
  const auto on_crash = [this, &hosted, restart_pause] {
    hosted.down = true;
    dispatcher_.post([&hosted] { hosted.api->cutAll(); });
    hosted.restart_timer->enable(restart_pause);
  };
  hosted.api = std::make_unique<EngineApi>(dispatcher_, client_, std::move(settings), on_crash);
}

void EngineServer::handle(http::Request request, const http::ResponseWriterPtr& writer) {
  if (request.path == "/metrics") {
    metrics(writer);
    return;
  }
  if (single_ != nullptr) {
    single_->handle(request, writer);
    return;
  }
  if (request.path == "/healthz" || request.path == "/readyz") {
    respondJson(writer, kStatusOk, R"({"status":"ok"})");
    return;
  }
  if (request.path == kEnginesPath) {
    listEngines(writer);
    return;
  }
  handleHosted(std::move(request), writer);
}

void EngineServer::handleHosted(http::Request request, const http::ResponseWriterPtr& writer) {
  const std::string prefix = std::string(kEnginesPath) + "/";
  const std::size_t end = request.path.find('/', prefix.size());
  if (!request.path.starts_with(prefix) || end == std::string::npos) {
    respondError(writer, ResultCode::UnknownPath, request.path);
    return;
  }
  const auto hosted = engines_.find(request.path.substr(prefix.size(), end - prefix.size()));
  if (hosted == engines_.end()) {
    respondError(writer, ResultCode::UnknownEngine, request.path);
    return;
  }
  if (hosted->second.down) {
    writer->abort();
    return;
  }
  request.path.erase(0, end);
  hosted->second.api->handle(request, writer);
}

void EngineServer::listEngines(const http::ResponseWriterPtr& writer) const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, hosted] : engines_) {
    list.push_back(name);
  }
  respondJson(writer, kStatusOk, dumpJson(nlohmann::json{{"engines", std::move(list)}}));
}

LoadReport EngineServer::load() const {
  LoadReport total;
  for (const auto& [name, hosted] : engines_) {
    const LoadReport part = hosted.api->host().model().load();
    total.running += part.running;
    total.waiting += part.waiting;
  }
  return total;
}

void EngineServer::exportCounters(const EngineCounters& total) {
  exportCount(metrics_, "ferryrock_engine_admitted_total", "Requests and resumed streams that were admitted.",
              total.admitted, exported_.admitted);
  exportCount(metrics_, "ferryrock_engine_refused_total", "Requests that were refused.", total.refused,
              exported_.refused);
  exportCount(metrics_, "ferryrock_engine_finished_total", "Answers that were sent to their end.",
              total.finished, exported_.finished);
  exportCount(metrics_, "ferryrock_engine_failed_total", "Answers that ended in an error.", total.failed,
              exported_.failed);
  exportCount(metrics_, "ferryrock_engine_chunks_total", "Chunks of answers.", total.chunks,
              exported_.chunks);
  exported_ = total;
}

void EngineServer::metrics(const http::ResponseWriterPtr& writer) {
  EngineCounters total;
  std::size_t slots = 0;
  for (const auto& [name, hosted] : engines_) {
    addCounters(total, hosted.api->host().counters());
    slots += hosted.api->host().model().state().slots.size();
  }
  exportCounters(total);
  const LoadReport sum = load();
  metrics_.gauge("ferryrock_engine_running", "Attempts in batches.").set(sum.running);
  metrics_.gauge("ferryrock_engine_waiting", "Attempts waiting for a batch.").set(sum.waiting);
  metrics_.gauge("ferryrock_engine_slots", "Replica slots held.").set(static_cast<double>(slots));
  metrics_.gauge("ferryrock_engine_count", "Engines in this process.")
      .set(static_cast<double>(engines_.size()));
  writer->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize());
}

}  // namespace ferryrock::emulator
