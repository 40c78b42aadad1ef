#include "services/service_cluster.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kDiskRetry = std::chrono::milliseconds(250);
/// Delay of a router's status after an update that requests a confirmation.
constexpr Duration kConfirmDelay = std::chrono::milliseconds(10);
constexpr Duration kMessageDelay = 2ms;
constexpr Duration kSyncDelay = 1ms;
/// Origins of streams are stored together, at this interval in production.
constexpr Duration kOriginStoreDelay = 200ms;
constexpr Duration kTickDelay = 10ms;
/// Time until a new connection replaces a silent one.
constexpr Duration kReconnectDelay = 200ms;
constexpr Duration kRouterInterval = 250ms;
/// Interval at which a member that stops checks whether it may end, and the limit of a planned stop.
constexpr Duration kStopPollInterval = 50ms;
constexpr Duration kStopLimit = 3s;

NodeName nodeAt(std::size_t number) {
  return NodeName("10.0.0." + std::to_string(number + 1) + ":7000");
}

}  // namespace

ServiceCluster::ServiceCluster(std::size_t founders, std::uint32_t tolerated_losses, std::uint64_t seed,
                               const balance::RetryBudgetSettings& retries)
    : random_(seed), tolerated_losses_(tolerated_losses), retries_(retries) {
  for (std::size_t i = 0; i < founders; ++i) {
    seeds_.push_back(nodeAt(i));
    wire::Member member;
    member.id = MemberId{i + 1};
    member.node = nodeAt(i);
    member.address = member.node.value;
    member.http = member.node.value;
    member.voter = true;
    founders_.push_back(member);
  }
  for (const wire::Member& founder : founders_) {
    auto member = std::make_unique<ServiceMember>();
    member->node = founder.node;
    member->id = founder.id;
    member->founder = true;
    member->disk = std::make_unique<storage::MemoryDisk>(random_.next());
    member->origin_disk = std::make_unique<storage::MemoryDisk>(member->id.value);
    members_.push_back(std::move(member));
  }
  for (const auto& member : members_) {
    start(*member);
  }
}

ServiceMember& ServiceCluster::addMember(const std::string& address) {
  auto member = std::make_unique<ServiceMember>();
  member->node = NodeName(address);
  member->id = MemberId{random_.next() >> 2};
  member->disk = std::make_unique<storage::MemoryDisk>(random_.next());
  member->origin_disk = std::make_unique<storage::MemoryDisk>(member->id.value);
  members_.push_back(std::move(member));
  start(*members_.back());
  return *members_.back();
}

void ServiceCluster::start(ServiceMember& member) {
  ++member.starts;
  member.storage = storage::createLogStorage(member.disk->open(), member.id);
  ServiceControlSettings settings;
  settings.control.log.id = member.id;
  settings.control.log.node = member.node;
  settings.control.log.bootstrap = member.founder;
  settings.control.log.initial_membership.members = member.founder ? founders_ : std::vector<wire::Member>();
  settings.control.log.snapshot_after_entries = 40;
  settings.control.log.retained_entries = 10;
  settings.http = member.node.value;
  settings.seeds = seeds_;
  settings.tolerated_losses = tolerated_losses_;
  settings.publishes_loads = publishes_loads;
  settings.retries = retries_;
  member.control = createServiceControl(settings, member.storage->recover(), Random(random_.next()), clock_);
  member.origin_journal = std::make_unique<storage::RecordJournal>(member.origin_disk->open());
  for (const std::string& record : member.origin_journal->recover()) {
    member.control->restoreStreamOrigins(wire::decode<wire::StreamOrigins>(record), time_);
  }
  act(member, [](ServiceControl& control, TimePoint now) { return control.tick(now); });
  const std::uint64_t starts = member.starts;
  const auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, &member, starts, tick] {
    if (member.starts != starts || !member.control) {
      *tick = nullptr;
      return;
    }
    act(member, [](ServiceControl& control, TimePoint now) { return control.tick(now); });
    after(kTickDelay, *tick);
  };
  after(kTickDelay, *tick);
}

void ServiceCluster::kill(ServiceMember& member) {
  ++member.starts;
  member.control.reset();
  member.storage.reset();
  member.origin_journal.reset();
  member.unsynced.clear();
}

void ServiceCluster::stop(ServiceMember& member) {
  act(member, [](ServiceControl& control, TimePoint now) { return control.beginStop(now); });
  continueStop(member, member.starts, time_ + kStopLimit);
}

void ServiceCluster::continueStop(ServiceMember& member, std::uint64_t starts, TimePoint deadline) {
  if (member.starts != starts || !member.control) {
    return;
  }
  if (time_ >= deadline || (time_ >= member.frozen_until && member.control->mayStop(time_))) {
    kill(member);
    return;
  }
  after(kStopPollInterval, [this, &member, starts, deadline] { continueStop(member, starts, deadline); });
}

void ServiceCluster::powerOff(ServiceMember& member) {
  kill(member);
  member.disk->crash();
  member.origin_disk->crash();
}

void ServiceCluster::wipe(ServiceMember& member) {
  if (member.control) {
    kill(member);
  }
  member.disk->wipe();
  member.origin_disk->wipe();
  member.founder = false;
  member.id = MemberId{random_.next() >> 2};
}

void ServiceCluster::isolate(const NodeName& node) {
  isolated_.insert(node);
}

ServiceMember* ServiceCluster::leader() {
  ServiceMember* best = nullptr;
  Term term;
  for (const auto& member : members_) {
    if (member->control && member->control->view(time_).leads && member->control->view(time_).term > term) {
      best = member.get();
      term = member->control->view(time_).term;
    }
  }
  return best;
}

ScriptedRouter& ServiceCluster::addRouter(const std::string& name) {
  auto router = std::make_unique<ScriptedRouter>();
  router->status.router = NodeName(name);
  router->status.address = name + ":80";
  router->status.incarnation = random_.next();
  router->status.accepting = true;
  ScriptedRouter& added = *router;
  routers_[NodeName(name)] = std::move(router);
  sendStatusPeriodically(added);
  return added;
}

void ServiceCluster::sendStatus(ScriptedRouter& router) {
  ++router.status.sequence;
  wire::CallRouterStatus status = router.status;
  status.model_calls = router.model_calls;
  for (const auto& member : members_) {
    deliver(router.status.router, member->node, status);
  }
}

void ServiceCluster::sendStatusPeriodically(ScriptedRouter& router) {
  if (!router.silent) {
    sendStatus(router);
  }
  after(kRouterInterval, [this, &router] { sendStatusPeriodically(router); });
}

void ServiceCluster::applyUpdate(ScriptedRouter& router, const wire::ServiceUpdate& update) {
  ++router.updates;
  if (update.revision < router.status.revision) {
    return;
  }
  router.status.revision = update.revision;
  if (update.catalog && update.catalog->version > router.status.catalog) {
    router.status.catalog = update.catalog->version;
    router.versions.push_back(update.catalog->version);
  }
  for (const wire::RoutedReplica& replica : update.replicas) {
    router.replicas[replica.id] = replica;
  }
  for (const ReplicaId& id : update.removed) {
    router.replicas.erase(id);
  }
  if (update.confirm) {
    after(kConfirmDelay, [this, &router] {
      if (!router.silent) {
        sendStatus(router);
      }
    });
  }
}

RunningRouter& ServiceCluster::addCallRouter(const std::string& name) {
  auto router = std::make_unique<RunningRouter>();
  router->node = NodeName(name);
  restart(*router);
  RunningRouter& added = *router;
  call_routers_[added.node] = std::move(router);
  tickRouter(added);
  return added;
}

void ServiceCluster::restart(RunningRouter& router) {
  calls::CallRouterSettings settings;
  settings.feed.router = router.node;
  settings.feed.address = router.node.value + ":80";
  settings.feed.relay_address = router.node.value + ":90";
  settings.feed.incarnation = random_.next();
  settings.feed.seeds = seeds_;
  settings.feed.key_lifetime = key_lifetime;
  settings.retries = retries_;
  settings.seed = settings.feed.incarnation;
  router.logic = std::make_unique<calls::CallRouter>(settings, router.log, time_);
}

void ServiceCluster::call(RunningRouter& router, const std::string& key) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId("call-" + std::to_string(router.calls));
  request.host = "example";
  request.path = "/desk/x";
  request.credential = {tenancy::Credential::Form::Key, key};
  carryOut(router, router.logic->onCall(std::move(request), time_));
}

void ServiceCluster::tickRouter(RunningRouter& router) {
  if (time_ >= router.frozen_until) {
    carryOut(router, router.logic->tick(time_));
  }
  after(kTickDelay, [this, &router] { tickRouter(router); });
}

void ServiceCluster::carryOut(RunningRouter& router, const calls::Effects& effects) {
  for (const calls::Effect& effect : effects) {
    if (const auto* send = std::get_if<wire::SendEffect>(&effect)) {
      deliver(router.node, send->to, send->message);
    } else if (const auto* renewal = std::get_if<calls::RenewConnectionEffect>(&effect)) {
      after(kReconnectDelay, [this, node = router.node, member = renewal->member] {
        silent_links_.erase(std::minmax(node, member));
      });
    } else if (on_router_effect) {
      on_router_effect(router, effect);
    }
  }
}

void ServiceCluster::actRouter(RunningRouter& router,
                               const std::function<calls::Effects(calls::CallRouter&, TimePoint)>& action) {
  if (time_ < router.frozen_until) {
    after(router.frozen_until - time_, [this, &router, action] { actRouter(router, action); });
    return;
  }
  carryOut(router, action(*router.logic, time_));
}

void ServiceCluster::after(Duration delay, std::function<void()> action) {
  events_.push({time_ + delay, next_order_++, std::move(action)});
}

bool ServiceCluster::step(TimePoint limit) {
  if (events_.empty() || events_.top().time > limit) {
    time_ = limit;
    return false;
  }
  const Event event = events_.top();
  events_.pop();
  time_ = std::max(time_, event.time);
  event.action();
  return true;
}

void ServiceCluster::runFor(Duration duration) {
  const TimePoint limit = time_ + duration;
  while (step(limit)) {
  }
}

bool ServiceCluster::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = time_ + limit;
  while (!condition()) {
    if (!step(end)) {
      return condition();
    }
  }
  return true;
}

void ServiceCluster::act(ServiceMember& member,
                         const std::function<Effects(ServiceControl&, TimePoint)>& action) {
  if (!member.control) {
    return;
  }
  if (time_ < member.frozen_until) {
    after(member.frozen_until - time_, [this, &member, action, starts = member.starts] {
      if (member.starts == starts) {
        act(member, action);
      }
    });
    return;
  }
  Effects effects = action(*member.control, time_);
  event_updates_ = 0;
  for (Effect& effect : effects) {
    if (const auto* send = std::get_if<wire::SendEffect>(&effect)) {
      deliver(member.node, send->to, send->message);
    } else if (auto* write = std::get_if<consensus::PersistEffect>(&effect)) {
      member.unsynced.push_back(std::move(*write));
      if (member.unsynced.size() == 1) {
        after(kSyncDelay, [this, &member, starts = member.starts] { sync(member, starts); });
      }
    } else if (const auto* answer = std::get_if<AnswerEffect>(&effect)) {
      member.answers[answer->request_number.value] = *answer;
    } else if (const auto* order = std::get_if<OrderReplicaEffect>(&effect)) {
      orders.emplace_back(member.node, *order);
      order_times.emplace_back(member.node, time_);
      after(kMessageDelay, [this, &member, number = order->number] {
        act(member, [number](ServiceControl& control, TimePoint now) {
          return control.onOrderDone(number, OrderOutcome::Accepted, now);
        });
      });
    } else if (const auto* store = std::get_if<StoreStreamOriginsEffect>(&effect)) {
      after(kOriginStoreDelay, [&member, starts = member.starts, record = wire::encode(store->origins)] {
        if (member.starts == starts) {
          member.origin_journal->append(record);
        }
      });
    } else if (const auto* inspection = std::get_if<InspectReplicaEffect>(&effect)) {
      after(kMessageDelay, [this, &member, number = inspection->number] {
        act(member, [number](ServiceControl& control, TimePoint now) {
          return control.onInspected(number, ReplicaState{}, now);
        });
      });
    }
  }
}

/// Retries writes that a full or faulty disk rejects until they succeed, as the production writer does.
void ServiceCluster::sync(ServiceMember& member, std::uint64_t starts) {
  if (member.starts != starts) {
    return;
  }
  if (member.disk_hangs) {
    after(kDiskRetry, [this, &member, starts] { sync(member, starts); });
    return;
  }
  const std::vector<consensus::PersistEffect> writes = std::exchange(member.unsynced, {});
  std::vector<consensus::PersistEffect> rest;
  try {
    if (std::exchange(member.disk_failed, false)) {
      member.disk_failed = true;
      member.storage->repair();
      member.disk_failed = false;
    }
    member.storage->persist(writes);
  } catch (const Error&) {
    rest = member.disk_failed ? writes : member.storage->unwritten();
    member.disk_failed = true;
    after(kDiskRetry, [this, &member, starts] { sync(member, starts); });
  }
  const std::uint64_t first_left = rest.empty() ? UINT64_MAX : rest.front().sequence;
  member.unsynced.insert(member.unsynced.begin(), rest.begin(), rest.end());
  for (const consensus::PersistEffect& write : writes) {
    if (write.sequence < first_left) {
      act(member, [sequence = write.sequence](ServiceControl& control, TimePoint now) {
        return control.onPersisted(sequence, now);
      });
    }
  }
}

void ServiceCluster::deliver(const NodeName& from, const NodeName& to, const wire::Message& message) {
  const std::string bytes = wire::encodeEnvelope({from, message});
  const auto addressee = routers_.find(to);
  if (addressee != routers_.end() && std::holds_alternative<wire::ServiceUpdate>(message)) {
    ++addressee->second->sent_updates;
  }
  countEntries(to, message);
  catalogs_by_others += std::holds_alternative<wire::CatalogUpdate>(message) ? 1 : 0;
  after(kMessageDelay, [this, from, to, bytes] {
    const std::pair<NodeName, NodeName> link = std::minmax(from, to);
    if (isolated_.contains(from) || isolated_.contains(to) || silent_links_.contains(link) ||
        cut_links_.contains(link)) {
      return;
    }
    const wire::Envelope envelope = wire::decodeEnvelope(bytes);
    for (const auto& member : members_) {
      if (member->node == to) {
        act(*member,
            [envelope](ServiceControl& control, TimePoint now) { return control.receive(envelope, now); });
      }
    }
    const auto router = routers_.find(to);
    const auto* update = std::get_if<wire::ServiceUpdate>(&envelope.message);
    if (router != routers_.end() && update != nullptr && !router->second->silent) {
      applyUpdate(*router->second, *update);
    }
    const auto call_router = call_routers_.find(to);
    if (call_router != call_routers_.end()) {
      receive(*call_router->second, envelope);
    }
  });
}

void ServiceCluster::receive(RunningRouter& router, const wire::Envelope& envelope) {
  if (time_ < router.frozen_until) {
    after(router.frozen_until - time_, [this, &router, envelope] { receive(router, envelope); });
    return;
  }
  carryOut(router, router.logic->receive(envelope, time_));
}

void ServiceCluster::countEntries(const NodeName& to, const wire::Message& message) {
  limit_messages += std::holds_alternative<wire::LimitRequest>(message) ? 1 : 0;
  limit_messages += std::holds_alternative<wire::LimitReply>(message) ? 1 : 0;
  if (const auto* reports = std::get_if<wire::ReplicaReports>(&message)) {
    replica_reports_relayed += reports->reports.size() + reports->alive.size();
  }
  if (const auto* update = std::get_if<wire::ServiceUpdate>(&message)) {
    if (time_ - tick_begin_ >= kTickDelay) {
      tick_begin_ = time_;
      entries_per_tick_ = 0;
    }
    ++updates_to[to];
    max_updates_per_event = std::max(max_updates_per_event, ++event_updates_);
    catalogs_sent += update->catalog ? 1 : 0;
    load_updates_sent += update->loads ? 1 : 0;
    entries_sent += update->replicas.size();
    entries_per_tick_ += update->replicas.size();
    max_entries_per_tick = std::max(max_entries_per_tick, entries_per_tick_);
  }
}

std::uint64_t ServiceCluster::replace(ServiceMember& member, std::uint64_t version) {
  return replace(member, makeCatalog(version));
}

std::uint64_t ServiceCluster::replace(ServiceMember& member, const wire::ServiceCatalog& catalog) {
  const ControlRequestNumber request_number{next_request_++};
  const std::string source = "catalog " + std::to_string(catalog.version.value);
  act(member, [request_number, catalog, source](ServiceControl& control, TimePoint now) {
    return control.replaceCatalog(request_number, catalog, source, now);
  });
  return request_number.value;
}

std::uint64_t ServiceCluster::read(ServiceMember& member) {
  const ControlRequestNumber request_number{next_request_++};
  act(member, [request_number](ServiceControl& control, TimePoint now) {
    return control.readCatalog(request_number, now);
  });
  return request_number.value;
}

std::uint64_t ServiceCluster::report(ServiceMember& member, const wire::ReplicaReport& report) {
  const ControlRequestNumber request_number{next_request_++};
  act(member, [request_number, report](ServiceControl& control, TimePoint now) {
    return control.onReport(request_number, report, now);
  });
  return request_number.value;
}

std::optional<ResultCode> ServiceCluster::codeOf(const ServiceMember& member, std::uint64_t request_number) {
  const auto found = member.answers.find(request_number);
  return found == member.answers.end() ? std::nullopt : std::optional(found->second.code);
}

bool ServiceCluster::replaceAcknowledged(std::uint64_t version, Duration limit) {
  return replaceAcknowledged(makeCatalog(version), limit);
}

bool ServiceCluster::replaceAcknowledged(const wire::ServiceCatalog& catalog, Duration limit) {
  return requestFromLeader([&](ServiceMember& member) { return replace(member, catalog); }, limit);
}

std::uint64_t ServiceCluster::evacuate(ServiceMember& member, const std::string& zone, bool evacuated) {
  const ControlRequestNumber request_number{next_request_++};
  act(member, [request_number, zone, evacuated](ServiceControl& control, TimePoint now) {
    return control.evacuateZone(request_number, ZoneName(zone), evacuated, now);
  });
  return request_number.value;
}

bool ServiceCluster::evacuateAcknowledged(const std::string& zone, bool evacuated) {
  return requestFromLeader([&](ServiceMember& member) { return evacuate(member, zone, evacuated); }, 30s);
}

/// Sends the request to the current leader, retrying until the result is Ok.
bool ServiceCluster::requestFromLeader(const std::function<std::uint64_t(ServiceMember&)>& send_request,
                                       Duration limit) {
  const TimePoint end = time_ + limit;
  while (time_ < end) {
    if (!runUntil([this] { return leader() != nullptr; }, end - time_)) {
      return false;
    }
    ServiceMember& member = *leader();
    const std::uint64_t request_number = send_request(member);
    runUntil([&] { return codeOf(member, request_number).has_value() || !member.control; }, 5s);
    if (codeOf(member, request_number) == ResultCode::Ok) {
      return true;
    }
    runFor(50ms);
  }
  return false;
}

std::string ServiceCluster::readConfirmed() {
  constexpr int kMaxAttempts = 200;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (ServiceMember* member = leader()) {
      const std::uint64_t request_number = read(*member);
      runUntil([&] { return codeOf(*member, request_number).has_value(); }, 2s);
      if (codeOf(*member, request_number) == ResultCode::Ok) {
        return member->answers[request_number].body;
      }
    }
    runFor(50ms);
  }
  return "unanswered";
}

}  // namespace ferryrock::services
