#include "simulation/simulated_router.h"

#include <utility>
#include <vector>

#include "simulation/oracle.h"
#include "simulation/process_directory.h"
#include "simulation/simulated_engine.h"

namespace ferryrock::simulation {
namespace {

constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

router::AttemptFailure refusalOf(const RefusedEvent& refused) {
  if (refused.admitted != false) {
    return router::AttemptFailure::EngineError;
  }
  switch (refused.status) {
    case kStatusNotFound:
    case kStatusConflict:
      return router::AttemptFailure::RefusedNotHeld;
    case kStatusTooManyRequests:
      return router::AttemptFailure::RefusedFull;
    case kStatusUnavailable:
      return router::AttemptFailure::RefusedDraining;
    default:
      return router::AttemptFailure::RefusedUnadmitted;
  }
}

}  // namespace

SimulatedRouter::SimulatedRouter(SimulationContext& context, const router::RouterSettings& settings,
                                 const router::Defects& defects, std::uint64_t seed)
    : SimulatedProcess(context.events, settings.node.value, settings.zone),
      context_(context),
      settings_(settings),
      defects_(defects),
      random_(seed) {}

void SimulatedRouter::onStart() {
  ++settings_.incarnation;
  settings_.seed = random_.next();
  settings_.wall_time_at_start = toMilliseconds(context_.events.now().time_since_epoch());
  node_ = router::createDefectiveRouterNode(settings_, defects_, localTime());
  if (!table_file_.empty()) {
    node_->restoreTable(table_file_);
  }
  context_.oracle.onRouterVersion(settings_.node, node_->treeVersion());
  carryOut(node_->tick(localTime()));
}

void SimulatedRouter::onKilled() {
  node_.reset();
  wakeup_ = TimePoint::max();
  admitted_.clear();
  const auto connections = std::exchange(connections_, {});
  for (const auto& [attempt, connection] : connections) {
    connection->closed = true;
    toEngine(
        connection,
        [this, open = connection] { context_.directory.engine(open->engine)->closeConnection(open); }, false);
  }
  const auto requests = std::exchange(requests_, {});
  for (const auto& [id, open] : requests) {
    if (!open.caller_gone) {
      open.callbacks.on_cut();
    }
  }
}

void SimulatedRouter::request(const SimulatedRequest& request, CallerCallbacks callbacks) {
  requests_[request.caller.id] = {request, std::move(callbacks), false};
  carryOut(node_->onRequest(request.caller, localTime()));
}

void SimulatedRouter::callerGone(const RequestId& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.caller_gone) {
    return;
  }
  if (found->second.request.caller.key) {
    found->second.caller_gone = true;  // what has begun may run on, for whoever sends the key again
  } else {
    requests_.erase(found);
  }
  carryOut(node_->onCallerGone(request, localTime()));
}

void SimulatedRouter::receive(const wire::Envelope& envelope) {
  carryOut(node_->receive(envelope, localTime()));
}

void SimulatedRouter::leavingEngines(const std::vector<router::LeavingEngine>& engines) {
  carryOut(node_->onLeavingEngines(engines, localTime()));
}

void SimulatedRouter::carryOut(const router::Effects& effects) {
  saveTable();
  for (const router::Effect& effect : effects) {
    std::visit([this](const auto& one) { handle(one); }, effect);
  }
  afterCall();
}

void SimulatedRouter::afterCall() {
  if (running()) {
    scheduleWakeup();
  }
}

void SimulatedRouter::scheduleWakeup() {
  const TimePoint next = node_->nextDeadline();
  if (next >= wakeup_) {
    return;
  }
  wakeup_ = next;
  performAt(next, [this, next] {
    if (wakeup_ == next) {
      wakeup_ = TimePoint::max();
      carryOut(node_->tick(localTime()));
    }
  });
}

void SimulatedRouter::saveTable() {
  if (node_->treeVersion() == saved_version_) {
    return;
  }
  saved_version_ = node_->treeVersion();
  table_file_ = node_->serializeTable();
  context_.oracle.onRouterVersion(settings_.node, saved_version_);
}

void SimulatedRouter::handle(const wire::SendEffect& effect) {
  const wire::Envelope envelope{settings_.node, effect.message};
  context_.network.sendDatagram(name(), effect.to.value, [this, to = effect.to, envelope] {
    context_.directory.deliver(to, envelope);
  });
}

void SimulatedRouter::toEngine(const EngineConnectionPtr& connection, std::function<void()> at_engine,
                               bool report_unreached) {
  static constexpr Duration kConnectTimeout = std::chrono::seconds(2);
  const std::string engine_name = connection->engine.value;
  const auto unreached = [this, connection, report_unreached](const ConnectionEvent& event, Duration after) {
    if (!report_unreached) {
      return;
    }
    context_.events.after(after, [this, connection, event] {
      context_.directory.deliverToRouter(name(), [connection, event] {
        if (!connection->closed) {
          connection->on_event(event);
        }
      });
    });
  };
  context_.network.sendOrdered(
      name(), engine_name, connection->id,
      [this, connection, at_engine = std::move(at_engine), unreached] {
        SimulatedEngine* engine = context_.directory.engine(connection->engine);
        if (engine == nullptr || !engine->running()) {
          unreached(UnopenedEvent{}, Duration::zero());
          return;
        }
        engine->perform(at_engine);
      },
      [unreached] { unreached(UnopenedEvent{}, kConnectTimeout); });
}

EngineConnectionPtr SimulatedRouter::openConnection(const AttemptId& attempt, const EngineName& engine,
                                                    bool resumed) {
  auto connection = std::make_shared<EngineConnection>();
  connection->id = context_.network.newConnection();
  connection->router = name();
  connection->engine = engine;
  connection->on_event = [this, attempt, resumed](const ConnectionEvent& event) {
    onConnectionEvent(attempt, resumed, event);
  };
  connections_[attempt] = connection;
  return connection;
}

void SimulatedRouter::handle(const router::DispatchEffect& effect) {
  const auto found = requests_.find(effect.request);
  if (found == requests_.end()) {
    context_.oracle.fail("router " + name() + " dispatched " + effect.request.value + ", which has ended");
    return;
  }
  auto request = std::make_shared<emulator::InferenceRequest>();
  request->attempt = effect.attempt;
  request->request = effect.request;
  request->key = effect.key.value_or(IdempotencyKey{});
  request->model = effect.model;
  request->prompt = found->second.request.prompt;
  request->max_tokens = found->second.request.max_tokens;
  request->priority = effect.priority;
  request->deadline = effect.deadline_left;
  request->slot = effect.replica.slot;
  request->incarnation = effect.replica.incarnation;
  request->from_chunk = effect.from_chunk;
  admitted_[effect.attempt] = false;
  const EngineConnectionPtr connection = openConnection(effect.attempt, effect.replica.engine, false);
  toEngine(
      connection,
      [this, connection, request] {
        context_.directory.engine(connection->engine)->submit(connection, request);
      },
      true);
}

void SimulatedRouter::handle(const router::ResumeEffect& effect) {
  closeConnection(effect.attempt);
  const EngineConnectionPtr connection = openConnection(effect.attempt, effect.replica.engine, true);
  toEngine(
      connection,
      [this, connection, effect] {
        context_.directory.engine(connection->engine)
            ->resumeStream(connection, effect.attempt, effect.from_chunk);
      },
      true);
}

void SimulatedRouter::closeConnection(const AttemptId& attempt) {
  const auto found = connections_.find(attempt);
  if (found == connections_.end()) {
    return;
  }
  const EngineConnectionPtr connection = found->second;
  connections_.erase(found);
  connection->closed = true;
  toEngine(
      connection,
      [this, connection] { context_.directory.engine(connection->engine)->closeConnection(connection); },
      false);
}

void SimulatedRouter::handle(const router::CancelEffect& effect) {
  closeConnection(effect.attempt);
  admitted_.erase(effect.attempt);
  auto connection = std::make_shared<EngineConnection>();
  connection->id = context_.network.newConnection();
  connection->router = name();
  connection->engine = effect.replica.engine;
  toEngine(
      connection,
      [this, connection, attempt = effect.attempt] {
        context_.directory.engine(connection->engine)->cancel(attempt);
      },
      false);
}

// Callers of a run read at once, so that nothing is ever paused.
void SimulatedRouter::handle(const router::PauseEffect& effect) {
  context_.trace.write(context_.events.now(), name(), "pauses " + effect.attempt.value);
}

void SimulatedRouter::handle(const router::CallerChunkEffect& effect) {
  const auto found = requests_.find(effect.request);
  if (found != requests_.end() && !found->second.caller_gone) {
    found->second.callbacks.on_chunk(effect.chunk);
  }
}

void SimulatedRouter::handle(const router::CallerAnswerEffect& effect) {
  const auto found = requests_.find(effect.request);
  if (found == requests_.end() || found->second.caller_gone) {
    context_.oracle.fail("router " + name() + " answered " + effect.request.value + " a second time");
    return;
  }
  const OpenRequest open = std::move(found->second);
  requests_.erase(found);
  open.callbacks.on_answer(effect);
}

void SimulatedRouter::handle(const router::CallerFailureEffect& effect) {
  const auto found = requests_.find(effect.request);
  if (found == requests_.end() || found->second.caller_gone) {
    context_.oracle.fail("router " + name() + " refused " + effect.request.value + " after its end");
    return;
  }
  const OpenRequest open = std::move(found->second);
  requests_.erase(found);
  open.callbacks.on_failure(effect);
}

void SimulatedRouter::onConnectionEvent(const AttemptId& attempt, bool resumed,
                                        const ConnectionEvent& event) {
  const TimePoint now = localTime();
  const auto fail = [&](router::AttemptFailure failure, const std::string& reason) {
    closeConnection(attempt);
    carryOut(node_->onFailure(attempt, failure, reason, now));
  };
  bool& admitted = admitted_[attempt];
  if (const auto* accepted = std::get_if<AdmittedEvent>(&event)) {
    admitted = true;
    if (!resumed) {
      carryOut(node_->onAdmitted(attempt, now));
    }
    if (running()) {
      const auto connection = connections_.find(attempt);
      if (connection != connections_.end()) {
        node_->onReportedLoad(connection->second->engine, accepted->running, accepted->waiting, now);
      }
    }
  } else if (const auto* refused = std::get_if<RefusedEvent>(&event)) {
    fail(resumed ? router::AttemptFailure::StreamCut : refusalOf(*refused), "refused");
  } else if (const auto* chunk = std::get_if<ChunkEvent>(&event)) {
    if (chunk->attempt != attempt) {
      fail(router::AttemptFailure::StreamCut, "a chunk of another attempt");
      return;
    }
    carryOut(node_->onChunk(attempt, {chunk->number, chunk->text, chunk->last ? "length" : ""}, now));
  } else if (const auto* end = std::get_if<EndEvent>(&event)) {
    if (end->attempt != attempt) {
      fail(router::AttemptFailure::StreamCut, "the end of another attempt");
      return;
    }
    connections_.erase(attempt);
    carryOut(node_->onEnd(attempt, {end->count, 0, end->count}, now));
  } else if (std::holds_alternative<FailedEvent>(event)) {
    fail(router::AttemptFailure::EngineError, "the engine failed");
  } else if (std::holds_alternative<UnopenedEvent>(event)) {
    fail(resumed ? router::AttemptFailure::StreamCut : router::AttemptFailure::NotSent, "not reached");
  } else {
    fail(admitted || resumed ? router::AttemptFailure::StreamCut : router::AttemptFailure::SentNoProof,
         "cut");
  }
}

}  // namespace ferryrock::simulation
