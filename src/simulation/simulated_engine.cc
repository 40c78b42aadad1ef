#include "simulation/simulated_engine.h"

#include <algorithm>
#include <utility>

#include "simulation/oracle.h"
#include "simulation/process_directory.h"

namespace ferryrock::simulation {

SimulatedEngine::SimulatedEngine(SimulationContext& context, SimulatedWeightStore& store,
                                 const emulator::EngineSettings& settings, std::uint64_t seed)
    : SimulatedProcess(context.events, settings.name.value, settings.zone),
      context_(context),
      store_(store),
      settings_(settings),
      random_(seed) {}

void SimulatedEngine::onStart() {
  incarnation_ = incarnation_.next();
  model_ = std::make_unique<emulator::EngineModel>(settings_, incarnation_, random_.next());
  emulator::EngineFaults faults;
  faults.ignore_fences = ignores_fences_;
  model_->setFaults(localTime(), faults);
  for (const emulator::Checkpoint& checkpoint : disk_) {
    model_->restoreDisk(checkpoint);
  }
  context_.oracle.onEngineStarted(settings_, incarnation_);
  settle();
}

void SimulatedEngine::onKilled() {
  for (const auto& [transfer, store_transfer] : transfers_) {
    store_.cancel(store_transfer);
  }
  transfers_.clear();
  polls_.clear();
  wakeup_ = TimePoint::max();
  model_.reset();
  context_.oracle.onEngineDied(settings_.name);
  const auto readers = std::exchange(readers_, {});
  for (const auto& [reader, connection] : readers) {
    breakConnection(connection);
  }
}

emulator::ReaderId SimulatedEngine::newReader(const EngineConnectionPtr& connection) {
  connection->reader = emulator::ReaderId{next_reader_++};
  readers_[connection->reader] = connection;
  return connection->reader;
}

void SimulatedEngine::submit(const EngineConnectionPtr& connection, emulator::InferenceRequestPtr request) {
  model_->submit(localTime(), newReader(connection), std::move(request));
  settle();
}

void SimulatedEngine::resumeStream(const EngineConnectionPtr& connection, const AttemptId& attempt,
                                   std::uint64_t from_chunk) {
  model_->resume(localTime(), newReader(connection), attempt, from_chunk);
  settle();
}

void SimulatedEngine::cancel(const AttemptId& attempt) {
  model_->cancel(localTime(), attempt);
  settle();
}

void SimulatedEngine::closeConnection(const EngineConnectionPtr& connection) {
  if (readers_.erase(connection->reader) > 0) {
    model_->readerGone(localTime(), connection->reader);
    settle();
  }
}

void SimulatedEngine::raiseFence(const wire::Fence& fence, const Reply& reply) {
  const control::EngineAnswer answer = model_->raiseFence(localTime(), fence);
  settle();
  reply(answer);
}

void SimulatedEngine::order(const control::EngineOrder& order, const Reply& reply) {
  context_.oracle.onOrder(settings_.name, order);
  const control::EngineAnswer answer = model_->order(localTime(), order);
  settle();
  reply(answer);
}

void SimulatedEngine::poll(std::uint64_t after_version, Duration wait, Reply reply) {
  const TimePoint deadline = localTime() + wait;
  polls_.push_back({after_version, deadline, std::move(reply)});
  performAt(deadline, [this] { answerPolls(); });
  answerPolls();
}

void SimulatedEngine::answerPolls() {
  std::vector<PendingPoll> due;
  std::erase_if(polls_, [&](PendingPoll& poll) {
    const bool ready = model_->stateVersion() > poll.after_version || poll.deadline <= localTime();
    if (ready) {
      due.push_back(std::move(poll));
    }
    return ready;
  });
  for (const PendingPoll& poll : due) {
    poll.reply(stateAnswer());
  }
}

control::EngineAnswer SimulatedEngine::stateAnswer() const {
  control::EngineAnswer answer;
  answer.engine = settings_.name;
  answer.reached = true;
  answer.state = model_->state();
  return answer;
}

void SimulatedEngine::changeFaults(const std::function<void(emulator::EngineFaults&)>& change) {
  perform([this, change] {
    emulator::EngineFaults faults = model_->faults();
    change(faults);
    faults.ignore_fences = ignores_fences_;
    model_->setFaults(localTime(), faults);
    settle();
  });
}

void SimulatedEngine::settle() {
  model_->tick(localTime());
  bool changed = false;
  for (;;) {
    const emulator::EngineEffects effects = model_->takeEffects();
    if (effects.empty()) {
      break;
    }
    for (const emulator::EngineEffect& effect : effects) {
      if (std::holds_alternative<emulator::CrashEffect>(effect)) {
        kill();
        return;
      }
      changed = changed || std::holds_alternative<emulator::StateChangedEffect>(effect);
      handle(effect);
    }
  }
  scheduleWakeup();
  if (changed) {
    answerPolls();
  }
}

void SimulatedEngine::scheduleWakeup() {
  const auto next = model_->nextWakeup();
  if (!next || *next >= wakeup_) {
    return;
  }
  wakeup_ = *next;
  performAt(wakeup_, [this] {
    wakeup_ = TimePoint::max();
    settle();
  });
}

void SimulatedEngine::handle(const emulator::EngineEffect& effect) {
  if (const auto* admitted = std::get_if<emulator::AdmittedEffect>(&effect)) {
    toReader(admitted->reader, AdmittedEvent{admitted->load.running, admitted->load.waiting});
  } else if (const auto* refused = std::get_if<emulator::RefusedEffect>(&effect)) {
    toReader(refused->reader, RefusedEvent{refused->status, refused->code, refused->admitted});
    readers_.erase(refused->reader);
  } else if (const auto* chunk = std::get_if<emulator::ChunkEffect>(&effect)) {
    toReader(chunk->reader, ChunkEvent{chunk->request->attempt, chunk->number, chunk->text, chunk->last});
  } else if (const auto* end = std::get_if<emulator::EndEffect>(&effect)) {
    toReader(end->reader, EndEvent{end->request->attempt, end->count});
    readers_.erase(end->reader);
  } else if (const auto* failed = std::get_if<emulator::FailedEffect>(&effect)) {
    toReader(failed->reader, FailedEvent{});
    readers_.erase(failed->reader);
  } else if (const auto* cut = std::get_if<emulator::CutEffect>(&effect)) {
    toReader(cut->reader, ClosedEvent{});
    readers_.erase(cut->reader);
  } else if (const auto* journal = std::get_if<emulator::JournalEffect>(&effect)) {
    context_.oracle.onJournal(settings_.name, incarnation_, journal->record);
  } else if (const auto* start = std::get_if<emulator::StartTransferEffect>(&effect)) {
    startTransfer(*start);
  } else if (const auto* stop = std::get_if<emulator::CancelTransferEffect>(&effect)) {
    const auto found = transfers_.find(stop->transfer);
    if (found != transfers_.end()) {
      store_.cancel(found->second);
      transfers_.erase(found);
    }
  } else if (std::holds_alternative<emulator::DiskContentsEffect>(effect)) {
    disk_.assign(model_->diskContents().begin(), model_->diskContents().end());
  }
}

void SimulatedEngine::startTransfer(const emulator::StartTransferEffect& effect) {
  const Incarnation life = incarnation_;
  transfers_[effect.transfer] = store_.request(effect.bytes, [this, life, transfer = effect.transfer] {
    perform([this, life, transfer] {
      if (life != incarnation_ || transfers_.erase(transfer) == 0) {
        return;
      }
      model_->onTransferEnded(localTime(), transfer, true);
      settle();
    });
  });
}

void SimulatedEngine::toReader(emulator::ReaderId reader, const ConnectionEvent& event) {
  const auto found = readers_.find(reader);
  if (found == readers_.end()) {
    return;
  }
  const EngineConnectionPtr connection = found->second;
  context_.network.sendOrdered(
      name(), connection->router, connection->id,
      [this, connection, event] {
        context_.directory.deliverToRouter(connection->router, [connection, event] {
          if (!connection->closed) {
            connection->on_event(event);
          }
        });
      },
      [this, connection] {
        breakConnection(connection);
        perform([this, connection] { closeConnection(connection); });
      });
}

void SimulatedEngine::breakConnection(const EngineConnectionPtr& connection) {
  // A peer that died answers with a reset; behind a cut link the sender's own time limit finds out.
  constexpr Duration kResetAfter = std::chrono::milliseconds(2);
  constexpr Duration kSilenceNoticedAfter = std::chrono::seconds(5);
  const bool silent = context_.network.isCut(name(), connection->router);
  events().after(silent ? kSilenceNoticedAfter : kResetAfter, [this, connection] {
    context_.directory.deliverToRouter(connection->router, [connection] {
      if (!connection->closed) {
        connection->on_event(ClosedEvent{});
      }
    });
  });
}

}  // namespace ferryrock::simulation
