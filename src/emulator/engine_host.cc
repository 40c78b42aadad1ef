#include "emulator/engine_host.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/logging.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

const Logger kLog("engine");

}  // namespace

EngineHost::EngineHost(event::Dispatcher& dispatcher, http::Client& client, EngineHostSettings settings)
    : dispatcher_(dispatcher),
      client_(client),
      settings_(std::move(settings)),
      files_(settings_.data_folder) {
  timer_ = dispatcher_.createTimer([this] { wake(); });
  begin();
}

EngineHost::~EngineHost() = default;

void EngineHost::begin() {
  lifetime_ = std::make_shared<int>(0);
  armed_for_.reset();
  crashed_ = false;
  const Incarnation incarnation = files_.nextIncarnation();
  model_ = std::make_unique<EngineModel>(settings_.engine, incarnation, settings_.seed + incarnation.value);
  for (const Checkpoint& checkpoint : files_.checkpoints()) {
    model_->restoreDisk(checkpoint);
  }
  kLog.info("Engine " + settings_.engine.name.value + " starts as incarnation " +
            std::to_string(incarnation.value) + ".");
  settle();
}

void EngineHost::cutReaders() {
  for (auto& [id, reader] : std::exchange(readers_, {})) {
    reader.cut();
  }
}

void EngineHost::restart() {
  lifetime_.reset();
  transfers_.clear();
  cutReaders();
  begin();
}

void EngineHost::wake() {
  armed_for_.reset();
  if (!crashed_) {
    model_->tick(now());
    settle();
  }
}

void EngineHost::settle() {
  if (settling_ || crashed_) {
    return;
  }
  settling_ = true;
  for (EngineEffects effects = model_->takeEffects(); !effects.empty() && !crashed_;
       effects = model_->takeEffects()) {
    for (const EngineEffect& effect : effects) {
      if (!crashed_) {
        std::visit([this](const auto& typed) { apply(typed); }, effect);
      }
    }
  }
  settling_ = false;
  const std::optional<TimePoint> wakeup = crashed_ ? std::nullopt : model_->nextWakeup();
  if (wakeup && wakeup != armed_for_) {
    armed_for_ = wakeup;
    timer_->enable(std::max(Duration::zero(), *wakeup - now()));
  }
}

ReaderId EngineHost::addReader(const http::ResponseWriterPtr& writer, bool stream) {
  last_reader_ = last_reader_.next();
  const ReaderId reader = last_reader_;
  readers_.emplace(reader, AnswerReader(writer, stream));
  writer->onClosed([this, reader, lifetime = std::weak_ptr(lifetime_)] {
    if (!lifetime.expired()) {
      readers_.erase(reader);
      model_->readerGone(now(), reader);
      settle();
    }
  });
  return reader;
}

AnswerReader* EngineHost::find(ReaderId reader) {
  const auto found = readers_.find(reader);
  return found == readers_.end() ? nullptr : &found->second;
}

void EngineHost::apply(const AdmittedEffect& effect) {
  ++counters_.admitted;
  if (AnswerReader* reader = find(effect.reader)) {
    reader->admitted(effect.load);
  }
}

void EngineHost::apply(const RefusedEffect& effect) {
  ++counters_.refused;
  if (AnswerReader* reader = find(effect.reader)) {
    reader->refused(effect);
    readers_.erase(effect.reader);
  }
}

void EngineHost::apply(const ChunkEffect& effect) {
  ++counters_.chunks;
  if (AnswerReader* reader = find(effect.reader)) {
    reader->chunk(effect);
  }
}

void EngineHost::apply(const EndEffect& effect) {
  ++counters_.finished;
  if (AnswerReader* reader = find(effect.reader)) {
    reader->end(effect);
    readers_.erase(effect.reader);
  }
}

void EngineHost::apply(const FailedEffect& effect) {
  ++counters_.failed;
  if (AnswerReader* reader = find(effect.reader)) {
    reader->failed(effect);
    readers_.erase(effect.reader);
  }
}

void EngineHost::apply(const CutEffect& effect) {
  if (AnswerReader* reader = find(effect.reader)) {
    reader->cut();
    readers_.erase(effect.reader);
  }
}

void EngineHost::apply(const JournalEffect& effect) {
  files_.appendJournal(effect.record, dispatcher_.timeSource().wallTime());
}

void EngineHost::apply(const StateChangedEffect&) {
  if (callbacks_.on_state_changed) {
    callbacks_.on_state_changed();
  }
}

void EngineHost::apply(const StartTransferEffect& effect) {
  const TransferId transfer = effect.transfer;
  if (settings_.weight_store_url.empty()) {
    model_->onTransferEnded(now(), transfer, true);
    return;
  }
  http::ClientRequest request;
  request.method = "POST";
  request.url = settings_.weight_store_url + "/transfers";
  request.headers = jsonHeaders();
  request.body = dumpJson(nlohmann::json{
      {"engine", settings_.engine.name.value}, {"model", effect.model.value}, {"bytes", effect.bytes}});
  http::ClientCallbacks callbacks;
  const auto status = std::make_shared<int>(0);
  callbacks.on_headers = [status](int received, const http::Headers&) { *status = received; };
  callbacks.on_complete = [this, transfer, status] { endTransfer(transfer, *status == kStatusOk); };
  callbacks.on_failure = [this, transfer](http::SendProgress, const std::string& reason) {
    kLog.warning("The weight store didn't serve a checkpoint: " + reason + ".");
    endTransfer(transfer, false);
  };
  transfers_[transfer] = client_.send(std::move(request), std::move(callbacks));
}

void EngineHost::endTransfer(TransferId transfer, bool succeeded) {
  dispatcher_.post([this, transfer, succeeded, lifetime = std::weak_ptr(lifetime_)] {
    if (lifetime.expired() || transfers_.erase(transfer) == 0) {
      return;
    }
    model_->onTransferEnded(now(), transfer, succeeded);
    settle();
  });
}

void EngineHost::apply(const CancelTransferEffect& effect) {
  transfers_.erase(effect.transfer);
}

void EngineHost::apply(const DiskContentsEffect&) {
  files_.storeCheckpoints(model_->diskContents());
}

void EngineHost::apply(const CrashEffect&) {
  crash();
}

void EngineHost::crash() {
  crashed_ = true;
  kLog.warning("Engine " + settings_.engine.name.value + " crashes as it was told to.");
  if (callbacks_.on_crash) {
    callbacks_.on_crash();
  }
}

}  // namespace ferryrock::emulator
