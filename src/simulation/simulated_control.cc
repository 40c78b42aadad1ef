#include "simulation/simulated_control.h"

#include <utility>

#include "simulation/oracle.h"
#include "simulation/process_directory.h"
#include "simulation/simulated_engine.h"

namespace ferryrock::simulation {

WallMilliseconds SimulatedControl::WallClock::wallTime() {
  return toMilliseconds(process_.events().now().time_since_epoch());
}

SimulatedControl::SimulatedControl(SimulationContext& context, const control::ControlSettings& settings,
                                   ZoneName zone, std::uint64_t seed)
    : SimulatedProcess(context.events, settings.log.node.value, std::move(zone)),
      context_(context),
      settings_(settings),
      random_(seed),
      wall_clock_(*this),
      disk_(random_.next()) {}

void SimulatedControl::onStart() {
  constexpr Duration kRestartAfterCrash = std::chrono::seconds(1);
  consensus::RecoveredState recovered;
  try {
    storage_ = storage::createLogStorage(disk_.open(), settings_.log.id);
    recovered = storage_->recover();
  } catch (const storage::DiskCrashed&) {
    kill();
    events().after(kRestartAfterCrash, [this] { start(); });
    return;
  }
  context_.trace.write(context_.events.now(), name(),
                       "starts as member " + std::to_string(settings_.log.id.value) + " with " +
                           std::to_string(recovered.entries.size()) + " entries");
  context_.oracle.onRecovered(settings_.log.id, recovered);
  node_ = control::createControlNode(settings_, std::move(recovered), Random(random_.next()), wall_clock_);
  carryOut(node_->tick(localTime()));
}

void SimulatedControl::onKilled() {
  context_.trace.write(context_.events.now(), name(), "ends");
  node_.reset();
  storage_.reset();
  disk_.crash();
  waiting_writes_.clear();
  writing_ = false;
  proposals_.clear();
  reads_.clear();
  wakeup_ = TimePoint::max();
}

void SimulatedControl::receive(const wire::Envelope& envelope) {
  carryOut(node_->receive(envelope, localTime()));
}

void SimulatedControl::propose(wire::Command command, ProposalReply reply) {
  const std::uint64_t id = next_id_++;
  proposals_[id] = std::move(reply);
  carryOut(node_->propose(id, std::move(command), localTime()));
}

void SimulatedControl::changeMembership(const control::MembershipChange& change, ProposalReply reply) {
  const std::uint64_t id = next_id_++;
  proposals_[id] = std::move(reply);
  carryOut(node_->changeMembership(id, change, localTime()));
}

void SimulatedControl::confirmRead(ReadReply reply) {
  const std::uint64_t id = next_id_++;
  reads_[id] = std::move(reply);
  carryOut(node_->confirmRead(id, localTime()));
}

void SimulatedControl::machineList(const control::MachineList& list) {
  carryOut(node_->onMachineList(list, localTime()));
}

void SimulatedControl::stop() {
  constexpr Duration kStopAfter = std::chrono::seconds(2);
  carryOut(node_->beginStop(localTime()));
  performAt(localTime() + kStopAfter, [this] { kill(); });
}

void SimulatedControl::carryOut(const control::Effects& effects) {
  noteCommitted(effects);
  for (const control::Effect& effect : effects) {
    std::visit([this](const auto& one) { handle(one); }, effect);
    if (!running()) {
      return;
    }
  }
  scheduleWakeup();
}

void SimulatedControl::noteCommitted(const control::Effects& effects) {
  for (const control::Effect& effect : effects) {
    if (const auto* write = std::get_if<consensus::PersistEffect>(&effect)) {
      context_.oracle.onAppended(settings_.log.id, *write);
    }
  }
  context_.oracle.onCommitted(settings_.log.id, node_->log().committed());
  context_.oracle.onControlVersion(settings_.log.id, node_->catalog().version());
}

void SimulatedControl::scheduleWakeup() {
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

void SimulatedControl::handle(const wire::SendEffect& effect) {
  const wire::Envelope envelope{settings_.log.node, effect.message};
  context_.network.sendDatagram(name(), effect.to.value, [this, to = effect.to, envelope] {
    context_.directory.deliver(to, envelope);
  });
}

void SimulatedControl::handle(const consensus::PersistEffect& effect) {
  waiting_writes_.push_back(effect);
  startWriting();
}

void SimulatedControl::startWriting() {
  constexpr double kSyncMeanNanoseconds = 800'000;
  if (writing_) {
    return;
  }
  writing_ = true;
  const Duration sync_time(static_cast<Duration::rep>(random_.exponential(kSyncMeanNanoseconds)));
  performAt(localTime() + sync_time, [this] { write(); });
}

void SimulatedControl::write() {
  const auto writes = std::exchange(waiting_writes_, {});
  try {
    storage_->persist(writes);
  } catch (const storage::DiskCrashed&) {
    kill();
    return;
  }
  writing_ = false;
  for (const consensus::PersistEffect& done : writes) {
    context_.oracle.onPersisted(settings_.log.id, done);
    carryOut(node_->onPersisted(done.sequence, localTime()));
    if (!running()) {
      return;
    }
  }
  if (!waiting_writes_.empty()) {
    startWriting();
  }
}

void SimulatedControl::callEngine(const control::EngineAnswer& unreached, Duration time_limit,
                                  std::function<void(SimulatedEngine&, EngineReply)> at_engine) {
  const auto answered = std::make_shared<bool>(false);
  const auto finish = [this, answered](const control::EngineAnswer& answer) {
    if (!std::exchange(*answered, true)) {
      carryOut(node_->onEngineAnswer(answer, localTime()));
    }
  };
  const std::uint64_t connection = context_.network.newConnection();
  const EngineName name_of_engine = unreached.engine;
  performAt(localTime() + time_limit, [finish, unreached] { finish(unreached); });
  // Work in this process is only run in the life that made the call.
  const std::weak_ptr<bool> life = answered;
  const auto back = [this, connection, name_of_engine, finish,
                     call = unreached](control::EngineAnswer answer) {
    answer.call = call.call;
    answer.fence = call.fence;
    context_.network.sendOrdered(
        name_of_engine.value, name(), connection,
        [this, finish, answer] { perform([finish, answer] { finish(answer); }); }, [] {});
  };
  context_.network.sendOrdered(
      name(), name_of_engine.value, connection,
      [this, name_of_engine, at_engine = std::move(at_engine), back] {
        SimulatedEngine* engine = context_.directory.engine(name_of_engine);
        if (engine != nullptr) {
          engine->perform([engine, at_engine, back] { at_engine(*engine, back); });
        }
      },
      [] {});
}

void SimulatedControl::handle(const control::RaiseFenceEffect& effect) {
  constexpr Duration kTimeLimit = std::chrono::seconds(2);
  control::EngineAnswer unreached;
  unreached.engine = effect.engine;
  unreached.call = control::EngineCall::RaiseFence;
  unreached.fence = effect.fence;
  callEngine(unreached, kTimeLimit,
             [fence = effect.fence](SimulatedEngine& engine, const EngineReply& reply) {
               engine.raiseFence(fence, reply);
             });
}

void SimulatedControl::handle(const control::OrderEffect& effect) {
  constexpr Duration kTimeLimit = std::chrono::seconds(2);
  control::EngineAnswer unreached;
  unreached.engine = effect.engine;
  unreached.call = control::EngineCall::Order;
  unreached.fence = effect.order.fence;
  callEngine(unreached, kTimeLimit,
             [order = effect.order](SimulatedEngine& engine, const EngineReply& reply) {
               engine.order(order, reply);
             });
}

void SimulatedControl::handle(const control::PollEngineEffect& effect) {
  constexpr Duration kTimeLimitBeyondWait = std::chrono::seconds(1);
  control::EngineAnswer unreached;
  unreached.engine = effect.engine;
  unreached.call = control::EngineCall::Poll;
  callEngine(unreached, effect.wait + kTimeLimitBeyondWait,
             [after = effect.after_version, wait = effect.wait](
                 SimulatedEngine& engine, const EngineReply& reply) { engine.poll(after, wait, reply); });
}

void SimulatedControl::handle(const control::ProposalDoneEffect& effect) {
  const auto found = proposals_.find(effect.proposal_id);
  if (found == proposals_.end()) {
    context_.oracle.fail("control " + name() + " ended a proposal twice");
    return;
  }
  const ProposalReply reply = std::move(found->second);
  proposals_.erase(found);
  reply(effect.result);
}

void SimulatedControl::handle(const control::ReadDoneEffect& effect) {
  const auto found = reads_.find(effect.read_id);
  if (found == reads_.end()) {
    return;
  }
  const ReadReply reply = std::move(found->second);
  reads_.erase(found);
  reply(effect.confirmed);
}

}  // namespace ferryrock::simulation
