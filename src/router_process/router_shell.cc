#include "router_process/router_shell.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "common/error.h"
#include "common/hashing.h"
#include "common/logging.h"
#include "process/address_file.h"
#include "storage/log_storage.h"

namespace ferryrock::router_process {
namespace {

constexpr Duration kSaveInterval = std::chrono::seconds(5);
constexpr Duration kStopCheck = std::chrono::milliseconds(50);
/// How long a planned stop waits for callers to use or close the connections that they keep open.
constexpr Duration kCloseLimit = std::chrono::seconds(5);

const Logger& logger() {
  static const Logger instance("router");
  return instance;
}

transport::TransportSettings transportSettings(const RouterProcessSettings& settings) {
  transport::TransportSettings wanted;
  wanted.node = settings.node.node;
  wanted.public_key = settings.keys.public_key;
  wanted.secret_key = process::readSecretKey(settings.keys);
  return wanted;
}

}  // namespace

RouterShell::RouterShell(event::Dispatcher& dispatcher, RouterProcessSettings settings)
    : dispatcher_(dispatcher),
      settings_(std::move(settings)),
      folder_(storage::createPosixFileSystem(settings_.data_folder)) {
  createNode();
  const transport::TransportSettings transport_settings = transportSettings(settings_);
  own_keys_ = {transport_settings.public_key, transport_settings.secret_key};
  transport_ = transport::createZeroMqTransport(
      dispatcher_, transport_settings,
      [this](const wire::Envelope& envelope) { carryOut(node_->receive(envelope, now())); });
  transport_->setPeers(settings_.control);
  status_gate_ = std::make_unique<StatusGate>(node_->treeVersion(), [this](const wire::SendEffect& effect) {
    transport_->send(effect.to, effect.message);
  });
  http_client_ = http::createClient(dispatcher_);
  engine_client_ = std::make_unique<EngineClient>(dispatcher_, *http_client_, engineCallbacks());
  caller_api_ = std::make_unique<CallerApi>(
      dispatcher_, *node_,
      settings_.node.node.value + "-" + std::to_string(settings_.node.incarnation) + "-r", metrics_,
      [this] { process_metrics_->update(); }, [this](const router::Effects& effects) { carryOut(effects); });
  process_metrics_ = std::make_unique<ProcessMetrics>(metrics_, *node_, *engine_client_, *transport_);
  timer_ = dispatcher_.createTimer([this] { onTimer(); });
  save_timer_ = dispatcher_.createTimer([this] { saveTable(); });
  stop_timer_ = dispatcher_.createTimer([this] { continueStop(); });
  table_writer_ = std::make_unique<TableWriter>(
      dispatcher_, folder_, [this](TreeVersion version) { status_gate_->onSaved(version); });
  save_timer_->enable(kSaveInterval);
  http::ServerSettings server =
      process::listenSettings(settings_.listen_http, settings_.tls, settings_.limits.max_body_bytes);
  server.refusal_headers = [this] { return caller_api_->refusalHeaders(); };
  http_server_ = http::createServer(dispatcher_, server,
                                    [this](http::Request request, const http::ResponseWriterPtr& response) {
                                      caller_api_->handle(std::move(request), response);
                                    });
  if (!settings_.platform_url.empty()) {
    platform_ = std::make_unique<process::PlatformPoller>(
        dispatcher_, *http_client_, settings_.platform_url,
        [this](const control::MachineList& list) { onMachineList(list); });
  }
  carryOut(node_->tick(now()));
  process::writeAddressFile(settings_.data_folder, {settings_.node.node, "", httpUrl()});
}

RouterShell::~RouterShell() {
  http_server_.reset();
  // The writer uses the folder until its thread has ended.
  table_writer_.reset();
}

void RouterShell::createNode() {
  TimeSource& time = dispatcher_.timeSource();
  settings_.node.wall_time_at_start = time.wallTime();
  settings_.node.incarnation = folder_.beginIncarnation(settings_.node.wall_time_at_start);
  settings_.node.seed = systemSeed();
  node_ = router::createRouterNode(settings_.node, now());
  const auto table = folder_.readTable();
  if (!table) {
    logger().info("No routing table was saved; a control leader is asked for one.");
    return;
  }
  try {
    node_->restoreTable(*table);
    queued_version_ = node_->treeVersion();
    queued_digest_ = stableHash(*table);
    logger().info("The saved routing table has tree version " + std::to_string(queued_version_.value) +
                  " and " + std::to_string(node_->knownModels().size()) + " names.");
  } catch (const Error& fault) {
    logger().warning("The saved routing table can't be read: " + fault.detail());
  }
}

std::string RouterShell::httpUrl() const {
  const std::string scheme = settings_.tls.certificate_file.empty() ? "http://" : "https://";
  return scheme + process::parseAddress(settings_.listen_http).host + ":" + std::to_string(httpPort());
}

EngineCallbacks RouterShell::engineCallbacks() {
  EngineCallbacks callbacks;
  callbacks.on_admitted = [this](const AttemptId& attempt) { carryOut(node_->onAdmitted(attempt, now())); };
  callbacks.on_chunk = [this](const AttemptId& attempt, const router::StreamChunk& chunk) {
    carryOut(node_->onChunk(attempt, chunk, now()));
  };
  callbacks.on_end = [this](const AttemptId& attempt, const router::StreamEnd& end) {
    carryOut(node_->onEnd(attempt, end, now()));
  };
  callbacks.on_failure = [this](const AttemptId& attempt, router::AttemptFailure failure,
                                const std::string& reason) {
    logger().info("Attempt " + attempt.value + " failed: " + reason + ".");
    carryOut(node_->onFailure(attempt, failure, reason, now()));
  };
  callbacks.on_reported_load = [this](const EngineName& engine, std::uint32_t running,
                                      std::uint32_t waiting) {
    node_->onReportedLoad(engine, running, waiting, now());
  };
  return callbacks;
}

void RouterShell::carryOut(const router::Effects& effects) {
  for (const router::Effect& effect : effects) {
    std::visit([this](const auto& typed) { carryOut(typed); }, effect);
  }
  followTreeVersion();
  armTimer();
}

/// A timer that is armed too early only ticks in vain, so it is moved only to an earlier instant.
void RouterShell::armTimer() {
  const TimePoint deadline = node_->nextDeadline();
  if (deadline >= armed_until_) {
    return;
  }
  armed_until_ = deadline;
  const TimePoint time = now();
  timer_->enable(deadline > time ? deadline - time : Duration::zero());
}

void RouterShell::onTimer() {
  armed_until_ = TimePoint::max();
  carryOut(node_->tick(now()));
}

void RouterShell::followTreeVersion() {
  if (node_->treeVersion() > queued_version_) {
    saveTable();
  }
}

void RouterShell::saveTable() {
  save_timer_->enable(kSaveInterval);
  if (!node_->ready()) {
    return;
  }
  std::string table = node_->serializeTable();
  const std::uint64_t digest = stableHash(table);
  const bool saved = status_gate_->saved() >= node_->treeVersion();
  if (digest == queued_digest_ && saved) {
    return;
  }
  queued_version_ = node_->treeVersion();
  queued_digest_ = digest;
  table_writer_->save(queued_version_, std::move(table));
}

void RouterShell::onMachineList(const control::MachineList& list) {
  std::vector<router::LeavingEngine> leaving;
  for (const control::MachineRecord& machine : list.machines) {
    if (machine.state == control::MachineState::Live) {
      continue;
    }
    router::LeavingEngine engine{machine.engine, std::nullopt};
    if (machine.leaves_in_ms) {
      engine.leaves_in = std::chrono::milliseconds(*machine.leaves_in_ms);
    }
    leaving.push_back(std::move(engine));
  }
  carryOut(node_->onLeavingEngines(leaving, now()));
}

void RouterShell::replaceControl(const RouterProcessSettings& fresh) {
  const transport::KeyPair keys{fresh.keys.public_key, process::readSecretKey(fresh.keys)};
  settings_.control = fresh.control;
  settings_.keys = fresh.keys;
  transport_->setPeers(settings_.control);
  if (keys != own_keys_) {
    own_keys_ = keys;
    transport_->setKeys(own_keys_);
  }
}

void RouterShell::beginStop(event::Callback on_stopped) {
  logger().info("A planned stop begins.");
  on_stopped_ = std::move(on_stopped);
  stop_limit_ = now() + settings_.limits.drain_limit;
  caller_api_->beginDrain();
  carryOut(node_->beginDrain(now()));
  continueStop();
}

void RouterShell::continueStop() {
  const bool answered = caller_api_->openAnswers() == 0 && http_server_->openRequests() == 0;
  const bool over = now() >= *stop_limit_;
  if (over) {
    logger().warning("The drain limit is reached; " + std::to_string(caller_api_->openAnswers()) +
                     " requests are cut off.");
    http_server_->stopListening();
    on_stopped_();
  } else if (node_->drained() && answered) {
    closeConnections();
  } else {
    stop_timer_->enable(kStopCheck);
  }
}

/// Callers may be sending on connections that they keep open: these get their refusal before the process
/// ends.
void RouterShell::closeConnections() {
  if (!close_limit_) {
    http_server_->stopListening();
    close_limit_ = std::min(*stop_limit_, now() + kCloseLimit);
  }
  const bool all_closed = http_server_->openConnections() == 0;
  if (all_closed || now() >= *close_limit_) {
    on_stopped_();
    return;
  }
  stop_timer_->enable(kStopCheck);
}

}  // namespace ferryrock::router_process
