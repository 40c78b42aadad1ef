#include "control_process/control_process.h"

#include <algorithm>
#include <csignal>
#include <optional>
#include <set>
#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "common/metrics.h"
#include "control/control_node.h"
#include "control_process/access_control.h"
#include "control_process/decision_log.h"
#include "control_process/engine_client.h"
#include "control_process/operator_api.h"
#include "control_process/operator_json.h"
#include "control_process/process_metrics.h"
#include "control_process/process_settings.h"
#include "control_process/storage_writer.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "process/address_file.h"
#include "process/platform_poller.h"
#include "storage/log_storage.h"
#include "transport/transport.h"

namespace ferryrock::control_process {
namespace {

constexpr Duration kStopTimeLimit = std::chrono::seconds(5);
constexpr Duration kStopCheck = std::chrono::milliseconds(50);
constexpr int kExitFailure = 1;

const Logger& logger() {
  static const Logger instance("control");
  return instance;
}

/// The members once each: one with an old and a new key stands twice in the settings file.
std::vector<wire::Member> configuredMembers(const ControlProcessSettings& settings) {
  std::vector<wire::Member> members;
  for (const ConfiguredMember& configured : settings.members) {
    const bool known = std::any_of(members.begin(), members.end(), [&configured](const wire::Member& member) {
      return member.id == configured.member.id;
    });
    if (!known) {
      members.push_back(configured.member);
    }
  }
  return members;
}

control::ControlSettings nodeSettings(const ControlProcessSettings& settings) {
  control::ControlSettings node;
  node.log.id = settings.member_id;
  node.log.node = settings.node;
  node.log.bootstrap = settings.bootstrap;
  node.log.initial_membership.members = configuredMembers(settings);
  node.log.heartbeat = settings.limits.heartbeat;
  node.log.election_timeout_min = settings.limits.election_timeout;
  node.log.election_timeout_max = 2 * settings.limits.election_timeout;
  node.log.snapshot_after_entries = settings.limits.snapshot_after_entries;
  node.region = settings.region;
  return node;
}

/// Keys that peers may identify themselves with.
std::set<std::string> allowedKeys(const ControlProcessSettings& settings) {
  std::set<std::string> keys;
  for (const ConfiguredMember& member : settings.members) {
    keys.insert(member.public_key);
  }
  for (const AllowedRouter& router : settings.routers) {
    keys.insert(router.public_key);
  }
  return keys;
}

bool withdrawsKeys(const ControlProcessSettings& before, const ControlProcessSettings& after) {
  const std::set<std::string> kept = allowedKeys(after);
  const std::set<std::string> known = allowedKeys(before);
  return !std::includes(kept.begin(), kept.end(), known.begin(), known.end());
}

transport::TransportSettings transportSettings(const ControlProcessSettings& settings) {
  transport::TransportSettings wanted;
  wanted.node = settings.node;
  wanted.listen_address = settings.listen_internal;
  wanted.public_key = settings.keys.public_key;
  wanted.secret_key = process::readSecretKey(settings.keys);
  return wanted;
}

http::ServerSettings serverSettings(const ControlProcessSettings& settings) {
  http::ServerSettings wanted =
      process::listenSettings(settings.listen_http, settings.tls, settings.limits.max_body_bytes);
  wanted.refusal_body = [](ResultCode code, const std::string& detail) { return errorJson(code, detail); };
  return wanted;
}

/// One running member. Everything but the storage writer lives on the dispatcher's thread.
class ControlProcess {
 public:
  ControlProcess(ControlProcessSettings settings, std::string config_file);
  int run();

 private:
  void start();
  void openTransport();
  std::string metricsText();
  void carryOut(control::Effects effects);
  void carryOut(const wire::SendEffect& effect);
  void carryOut(consensus::PersistEffect& effect);
  void carryOut(const control::RaiseFenceEffect& effect) { engine_client_->send(effect); }
  void carryOut(const control::OrderEffect& effect) { engine_client_->send(effect); }
  void carryOut(const control::PollEngineEffect& effect) { engine_client_->send(effect); }
  void carryOut(const control::ProposalDoneEffect& effect) { operator_api_->onProposalDone(effect); }
  void carryOut(const control::ReadDoneEffect& effect) { operator_api_->onReadDone(effect); }
  void armTimer();
  void followMembership();
  std::vector<transport::Peer> peers() const;
  void noteLeadership();
  void reloadPeers();
  void beginStop();
  void continueStop();
  bool mayLeave();
  void failStorage(const std::string& reason);
  void writeAddresses() const;
  TimePoint now() { return dispatcher_->timeSource().monotonicTime(); }

  ControlProcessSettings settings_;
  std::string config_file_;
  std::unique_ptr<event::Dispatcher> dispatcher_;
  MetricsRegistry metrics_;
  std::unique_ptr<control::ControlNode> node_;
  std::unique_ptr<DecisionLog> decision_log_;
  std::unique_ptr<StorageWriter> writer_;
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<http::Client> http_client_;
  std::unique_ptr<EngineClient> engine_client_;
  std::unique_ptr<process::PlatformPoller> platform_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::unique_ptr<http::Server> http_server_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<event::Timer> stop_timer_;
  std::optional<wire::Membership> followed_membership_;
  std::optional<TimePoint> stop_began_;
  transport::KeyPair own_keys_;
  NodeName noted_leader_;
  Term noted_term_;
  int exit_code_ = 0;
};

ControlProcess::ControlProcess(ControlProcessSettings settings, std::string config_file)
    : settings_(std::move(settings)),
      config_file_(std::move(config_file)),
      dispatcher_(event::createAceDispatcher()) {}

void ControlProcess::start() {
  auto storage =
      storage::createLogStorage(storage::createPosixFileSystem(settings_.data_folder), settings_.member_id);
  consensus::RecoveredState recovered = storage->recover();
  logger().info("The data folder holds " + std::to_string(recovered.entries.size()) + " entries, term " +
                std::to_string(recovered.hard_state.term.value) + ".");
  node_ = control::createControlNode(nodeSettings(settings_), std::move(recovered), Random(systemSeed()),
                                     dispatcher_->timeSource());
  decision_log_ = std::make_unique<DecisionLog>(settings_.data_folder);
  writer_ = std::make_unique<StorageWriter>(
      *dispatcher_, std::move(storage),
      [this](std::uint64_t sequence) { carryOut(node_->onPersisted(sequence, now())); },
      [this](const std::string& reason) { failStorage(reason); });
  http_client_ = http::createClient(*dispatcher_);
  engine_client_ = std::make_unique<EngineClient>(
      *dispatcher_, *http_client_,
      [this](const control::EngineAnswer& answer) { carryOut(node_->onEngineAnswer(answer, now())); });
  const AccessControl access =
      settings_.tokens_file.empty() ? AccessControl() : AccessControl::fromFile(settings_.tokens_file);
  operator_api_ = std::make_unique<OperatorApi>(
      *dispatcher_, *node_, settings_.node, access, settings_.limits.proposal_timeout,
      [this](control::Effects effects) { carryOut(std::move(effects)); }, [this] { return metricsText(); });
  timer_ = dispatcher_->createTimer([this] { carryOut(node_->tick(now())); });
  stop_timer_ = dispatcher_->createTimer([this] { continueStop(); });
  openTransport();
  carryOut(node_->tick(now()));
  http_server_ =
      http::createServer(*dispatcher_, serverSettings(settings_),
                         [this](const http::Request& request, const http::ResponseWriterPtr& response) {
                           operator_api_->handle(request, response);
                         });
  if (!settings_.platform_url.empty()) {
    platform_ = std::make_unique<process::PlatformPoller>(
        *dispatcher_, *http_client_, settings_.platform_url,
        [this](const control::MachineList& list) { carryOut(node_->onMachineList(list, now())); });
  }
  writeAddresses();
}

void ControlProcess::openTransport() {
  const transport::TransportSettings wanted = transportSettings(settings_);
  own_keys_ = {wanted.public_key, wanted.secret_key};
  transport_ = transport::createZeroMqTransport(*dispatcher_, wanted, [this](const wire::Envelope& envelope) {
    carryOut(node_->receive(envelope, now()));
  });
}

std::string ControlProcess::metricsText() {
  ProcessMetrics(metrics_, *node_, *transport_).update();
  return metrics_.serialize();
}

int ControlProcess::run() {
  start();
  dispatcher_->onSignal(SIGTERM, [this] { beginStop(); });
  dispatcher_->onSignal(SIGINT, [this] { beginStop(); });
  dispatcher_->onSignal(SIGHUP, [this] { reloadPeers(); });
  logger().info("Member " + std::to_string(settings_.member_id.value) + " (" + settings_.node.value +
                ") runs, internal address " + transport_->boundAddress() + ", HTTP port " +
                std::to_string(http_server_->port()) + ".");
  dispatcher_->run();
  http_server_.reset();
  writer_.reset();
  logger().info("Member " + settings_.node.value + " has stopped.");
  return exit_code_;
}

void ControlProcess::carryOut(control::Effects effects) {
  decision_log_->note(node_->ledger(), node_->catalog(), dispatcher_->timeSource().wallTime());
  for (control::Effect& effect : effects) {
    std::visit([this](auto& typed) { carryOut(typed); }, effect);
  }
  followMembership();
  noteLeadership();
  armTimer();
}

void ControlProcess::carryOut(const wire::SendEffect& effect) {
  transport_->send(effect.to, effect.message);
}

void ControlProcess::carryOut(consensus::PersistEffect& effect) {
  writer_->submit(std::move(effect));
}

void ControlProcess::armTimer() {
  const TimePoint deadline = node_->nextDeadline();
  const TimePoint time = now();
  timer_->enable(deadline > time ? deadline - time : Duration::zero());
}

void ControlProcess::followMembership() {
  if (followed_membership_ == node_->log().membership()) {
    return;
  }
  followed_membership_ = node_->log().membership();
  transport_->setPeers(peers());
}

std::vector<transport::Peer> ControlProcess::peers() const {
  std::vector<transport::Peer> peers;
  std::set<NodeName> configured;
  for (const ConfiguredMember& member : settings_.members) {
    peers.push_back({member.member.node, member.member.address, member.public_key});
    configured.insert(member.member.node);
  }
  const bool keys_on = !settings_.keys.public_key.empty();
  for (const wire::Member& member : node_->log().membership().members) {
    if (configured.contains(member.node)) {
      continue;
    }
    if (keys_on) {
      logger().error("Member " + member.node.value +
                     " has no public_key in the settings file's members; add it there and send SIGHUP.");
    } else {
      peers.push_back({member.node, member.address, ""});
    }
  }
  for (const AllowedRouter& router : settings_.routers) {
    peers.push_back({router.node, "", router.public_key});
  }
  return peers;
}

void ControlProcess::noteLeadership() {
  const NodeName leader = node_->log().leader();
  const Term term = node_->log().term();
  if (leader == noted_leader_ && (term == noted_term_ || leader.empty())) {
    return;
  }
  noted_leader_ = leader;
  noted_term_ = term;
  if (leader.empty()) {
    logger().warning("The cell has no leader.");
  } else if (leader == settings_.node) {
    logger().info("This member leads the cell in term " + std::to_string(term.value) + ".");
  } else {
    logger().info("Member " + leader.value + " leads the cell in term " + std::to_string(term.value) + ".");
  }
}

/// Takes the members', the routers' and the own keys from the settings file again, so that keys change
/// without a stop. The internal socket is opened afresh for a new key of its own, and to end the connections
/// of keys that were withdrawn.
void ControlProcess::reloadPeers() {
  try {
    SettingsReader reader = SettingsReader::fromFile(config_file_);
    ControlProcessSettings fresh = readControlSettings(reader);
    const transport::KeyPair keys{fresh.keys.public_key, process::readSecretKey(fresh.keys)};
    const bool reopen = keys != own_keys_ || withdrawsKeys(settings_, fresh);
    settings_.members = std::move(fresh.members);
    settings_.routers = std::move(fresh.routers);
    settings_.keys = std::move(fresh.keys);
    own_keys_ = keys;
    transport_->setPeers(peers());
    if (reopen) {
      transport_->setKeys(own_keys_);
    }
    logger().info(reopen ? "The peers and keys were read again; the internal socket was opened afresh."
                         : "The peers and keys were read again.");
  } catch (const Error& fault) {
    logger().error(std::string("The settings weren't read again: ") + fault.what());
  }
}

void ControlProcess::beginStop() {
  if (stop_began_) {
    dispatcher_->exit();
    return;
  }
  stop_began_ = now();
  logger().info("A planned stop begins.");
  carryOut(node_->beginStop(now()));
  continueStop();
}

/// Leadership is handed over, or there is nobody to take it: a handover ends within two election timeouts.
bool ControlProcess::mayLeave() {
  const bool leads = node_->log().role() == consensus::Role::Leader;
  const std::vector<wire::Member>& members = node_->log().membership().members;
  const bool successor_exists = std::any_of(
      members.begin(), members.end(),
      [this](const wire::Member& member) { return member.voter && member.id != settings_.member_id; });
  const Duration handover_limit = 4 * settings_.limits.election_timeout;
  return !leads || !successor_exists || now() >= *stop_began_ + handover_limit;
}

void ControlProcess::continueStop() {
  const bool handed_over = mayLeave();
  const bool answered = operator_api_->unanswered() == 0;
  if ((handed_over && answered) || now() >= *stop_began_ + kStopTimeLimit) {
    http_server_->stopListening();
    dispatcher_->exit();
    return;
  }
  stop_timer_->enable(kStopCheck);
}

void ControlProcess::failStorage(const std::string& reason) {
  logger().error("The process stops because its data can't be written: " + reason);
  exit_code_ = kExitFailure;
  dispatcher_->exit();
}

/// Tells scripts which ports were chosen.
void ControlProcess::writeAddresses() const {
  const process::HostAndPort http = process::parseAddress(settings_.listen_http);
  const std::string scheme = settings_.tls.certificate_file.empty() ? "http://" : "https://";
  process::writeAddressFile(settings_.data_folder,
                            {settings_.node, transport_->boundAddress(),
                             scheme + http.host + ":" + std::to_string(http_server_->port())});
}

}  // namespace

int runControl(const std::string& config_file) {
  SettingsReader reader = SettingsReader::fromFile(config_file);
  ControlProcessSettings settings = readControlSettings(reader);
  configureLogging(settings.log);
  return ControlProcess(std::move(settings), config_file).run();
}

}  // namespace ferryrock::control_process
