#include "emulator/model/inference.h"

#include <algorithm>
#include <utility>

namespace ferryrock::emulator {
namespace {

/// A shell that wakes late begins the next step this much in the past at most.
constexpr Duration kMaxCatchUp = std::chrono::milliseconds(5);

bool inFlightPhase(AttemptPhase phase) {
  return phase == AttemptPhase::Waiting || phase == AttemptPhase::Running;
}

void keepEarlier(std::optional<TimePoint>& earliest, std::optional<TimePoint> candidate) {
  if (candidate && (!earliest || *candidate < *earliest)) {
    earliest = candidate;
  }
}

/// Words of the prompt and of the answer so far, as a following request would bring them.
std::vector<std::string> conversationTokens(const Attempt& attempt, GeneratedText text) {
  std::vector<std::string> tokens = attempt.request->prompt_tokens;
  if (attempt.request->form == AnswerForm::Chat) {
    tokens.emplace_back("assistant");
  }
  for (std::uint64_t chunk = 0; chunk < attempt.next_chunk; ++chunk) {
    std::string word = text.token(chunk);
    word.pop_back();
    tokens.push_back(std::move(word));
  }
  return tokens;
}

}  // namespace

Inference::Inference(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects,
                     Random random)
    : settings_(settings),
      faults_(faults),
      effects_(effects),
      cache_events_(scaled(settings, settings.cache_event_lag), settings.cache_event_loss,
                    settings.cache_event_history, std::move(random)),
      history_(scaled(settings, settings.load_report_lag)) {}

void Inference::openSlot(SlotId slot) {
  replicas_.try_emplace(slot, settings_);
}

void Inference::closeSlot(TimePoint now, SlotId slot) {
  const auto found = replicas_.find(slot);
  if (found == replicas_.end()) {
    return;
  }
  for (const AttemptPtr& attempt : found->second.batch.all()) {
    fail(now, attempt, ResultCode::EngineFailed, "the replica was unloaded");
  }
  cache_events_.record(now, found->second.cache.clear());
  replicas_.erase(found);
  recordLoad(now);
}

bool Inference::hasRoom(SlotId slot) const {
  const auto found = replicas_.find(slot);
  return found != replicas_.end() && !found->second.batch.waitingFull();
}

void Inference::admit(TimePoint now, ReaderId reader, InferenceRequestPtr request, SlotId slot) {
  const auto attempt = std::make_shared<Attempt>(std::move(request));
  attempt->slot = slot;
  attempt->order = ++last_order_;
  attempt->blocks =
      prefixHashes(attempt->request->model, attempt->request->prompt_tokens, settings_.cache_block_tokens);
  if (attempt->request->deadline) {
    attempt->run_before = now + *attempt->request->deadline;
    checks_.emplace(*attempt->run_before, attempt);
  }
  attempts_[attempt->request->attempt] = attempt;
  attachReader(attempt, reader);
  effects_.pushToReader(now, AdmittedEffect{reader, attempt->request, reportedLoad(now)});
  Replica& replica = replicas_.at(slot);
  replica.batch.enqueue(attempt);
  if (!faults_.stall && !replica.batch.stepEnds()) {
    startWaiting(now, replica);
  }
  recordLoad(now);
}

void Inference::startWaiting(TimePoint now, Replica& replica) {
  for (const AttemptPtr& attempt : replica.batch.admitWaiting()) {
    const InferenceRequest& request = *attempt->request;
    const std::uint64_t tokens = request.prompt_tokens.size() + request.from_chunk;
    const std::uint64_t warm = replica.cache.warmBlocks(attempt->blocks) * settings_.cache_block_tokens;
    attempt->prefill_left = tokens > warm ? tokens - warm : 1;
    effects_.push(JournalEffect{
        RunBeginRecord{request.attempt, request.request, request.key, request.model, request.from_chunk}});
  }
  StepSpeed speed = speed_;
  speed.decode_factor *= faults_.slow_factor;
  speed.prefill_factor *= faults_.slow_factor;
  replica.batch.beginStep(now, speed);
}

void Inference::runStep(TimePoint now, Replica& replica) {
  const std::vector<AttemptPtr> ready = replica.batch.endStep();
  std::vector<std::optional<ReaderId>> readers;
  readers.reserve(ready.size());
  for (const AttemptPtr& attempt : ready) {
    readers.push_back(attempt->reader);
  }
  if (faults_.crossed_answers) {
    for (std::size_t index = 0; index + 1 < readers.size(); index += 2) {
      std::swap(readers[index], readers[index + 1]);
    }
  }
  for (std::size_t index = 0; index < ready.size(); ++index) {
    generate(now, replica, ready[index], readers[index]);
  }
}

void Inference::generate(TimePoint now, Replica& replica, const AttemptPtr& attempt,
                         std::optional<ReaderId> reader) {
  if (attempt->next_chunk == attempt->request->from_chunk) {
    cache_events_.record(now, replica.cache.insert(attempt->blocks));
  }
  const std::uint64_t until =
      std::min(attempt->next_chunk + settings_.tokens_per_step, attempt->request->max_tokens);
  while (attempt->next_chunk < until) {
    sendChunk(now, attempt, reader, attempt->next_chunk);
    ++attempt->next_chunk;
  }
  if (attempt->next_chunk >= attempt->request->max_tokens) {
    finish(now, replica, attempt, reader);
  }
}

void Inference::sendChunk(TimePoint now, const AttemptPtr& attempt, std::optional<ReaderId> reader,
                          std::uint64_t number) {
  if (!reader || !readers_.contains(*reader)) {
    return;
  }
  const bool last = number + 1 >= attempt->request->max_tokens;
  const int copies = faults_.double_chunks ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    effects_.pushToReader(now,
                          ChunkEffect{*reader, attempt->request, number, attempt->text.token(number), last});
  }
  cutIfFaulty(now, readers_.at(*reader), *reader);
}

bool Inference::cutIfFaulty(TimePoint now, const AttemptPtr& attempt, ReaderId reader) {
  ++attempt->sent_to_reader;
  if (!faults_.cut_after_chunks || attempt->sent_to_reader < *faults_.cut_after_chunks) {
    return false;
  }
  if (faults_.cuts_left && cuts_made_ >= *faults_.cuts_left) {
    return false;
  }
  ++cuts_made_;
  effects_.pushToReader(now, CutEffect{reader});
  detachReader(now, attempt);
  return true;
}

void Inference::finish(TimePoint now, Replica& replica, const AttemptPtr& attempt,
                       std::optional<ReaderId> reader) {
  const InferenceRequestPtr request = attempt->request;
  cache_events_.record(
      now, replica.cache.insert(prefixHashes(request->model, conversationTokens(*attempt, attempt->text),
                                             settings_.cache_block_tokens)));
  if (reader && readers_.contains(*reader)) {
    effects_.pushToReader(now, EndEffect{*reader, request, attempt->next_chunk});
    const AttemptPtr owner = readers_.at(*reader);
    if (owner != attempt) {
      detachReader(now, owner);
      cutReader(now, attempt);
    }
  }
  end(now, attempt, RunOutcome::Complete);
}

void Inference::cutReader(TimePoint now, const AttemptPtr& attempt) {
  if (attempt->reader) {
    effects_.pushToReader(now, CutEffect{*attempt->reader});
  }
}

void Inference::end(TimePoint now, const AttemptPtr& attempt, RunOutcome outcome) {
  if (attempt->phase == AttemptPhase::Running) {
    effects_.push(JournalEffect{RunEndRecord{attempt->request->attempt,
                                             attempt->next_chunk - attempt->request->from_chunk, outcome}});
  }
  attempt->phase = outcome == RunOutcome::Complete ? AttemptPhase::Finished : AttemptPhase::Ended;
  const auto replica = replicas_.find(attempt->slot);
  if (replica != replicas_.end()) {
    replica->second.batch.remove(attempt);
  }
  if (attempt->reader) {
    readers_.erase(*attempt->reader);
    attempt->reader.reset();
  }
  attempt->forget_at = now + settings_.finished_retention;
  checks_.emplace(attempt->forget_at, attempt);
  recordLoad(now);
}

void Inference::fail(TimePoint now, const AttemptPtr& attempt, ResultCode code, const std::string& detail) {
  if (attempt->reader) {
    effects_.pushToReader(now, FailedEffect{*attempt->reader, attempt->request, code, detail});
  }
  end(now, attempt, RunOutcome::Failed);
}

bool Inference::cancel(TimePoint now, const AttemptId& attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || !inFlightPhase(found->second->phase)) {
    return false;
  }
  cutReader(now, found->second);
  end(now, found->second, RunOutcome::Cancelled);
  return true;
}

void Inference::attachReader(const AttemptPtr& attempt, ReaderId reader) {
  attempt->reader = reader;
  attempt->sent_to_reader = 0;
  readers_[reader] = attempt;
}

void Inference::detachReader(TimePoint now, AttemptPtr attempt) {
  readers_.erase(*attempt->reader);
  attempt->reader.reset();
  attempt->forget_at = now + settings_.reader_grace;
  const TimePoint forget_at = attempt->forget_at;
  checks_.emplace(forget_at, std::move(attempt));
}

void Inference::readerGone(TimePoint now, ReaderId reader) {
  const auto found = readers_.find(reader);
  if (found != readers_.end()) {
    detachReader(now, found->second);
  }
}

bool Inference::resume(TimePoint now, ReaderId reader, const AttemptId& attempt_id,
                       std::uint64_t from_chunk) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end() || found->second->phase == AttemptPhase::Ended) {
    return false;
  }
  const AttemptPtr attempt = found->second;
  if (from_chunk > attempt->next_chunk) {
    return false;
  }
  cutReader(now, attempt);
  if (attempt->reader) {
    readers_.erase(*attempt->reader);
  }
  attachReader(attempt, reader);
  effects_.pushToReader(now, AdmittedEffect{reader, attempt->request, reportedLoad(now)});
  for (std::uint64_t chunk = from_chunk; chunk < attempt->next_chunk && attempt->reader == reader; ++chunk) {
    sendChunk(now, attempt, reader, chunk);
  }
  if (attempt->phase == AttemptPhase::Finished && attempt->reader == reader) {
    effects_.pushToReader(now, EndEffect{reader, attempt->request, attempt->next_chunk});
    detachReader(now, attempt);
  }
  return true;
}

std::optional<CacheExport> Inference::exportCache(const AttemptId& attempt_id) const {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  const Attempt& attempt = *found->second;
  CacheExport exported;
  exported.model = attempt.request->model;
  exported.blocks =
      prefixHashes(exported.model, conversationTokens(attempt, attempt.text), settings_.cache_block_tokens);
  exported.tokens = exported.blocks.size() * settings_.cache_block_tokens;
  return exported;
}

void Inference::importCache(TimePoint now, SlotId slot, const CacheExport& exported) {
  const auto found = replicas_.find(slot);
  if (found != replicas_.end()) {
    cache_events_.record(now, found->second.cache.insert(exported.blocks));
  }
}

void Inference::checkAttempt(TimePoint now, const AttemptPtr& attempt) {
  if (attempt->phase == AttemptPhase::Waiting && attempt->run_before && *attempt->run_before <= now) {
    fail(now, attempt, ResultCode::DeadlineExpiredInQueue, "the deadline passed in the engine's queue");
    return;
  }
  if (attempt->reader || attempt->forget_at > now) {
    return;
  }
  if (inFlightPhase(attempt->phase)) {
    end(now, attempt, RunOutcome::Cancelled);
    return;
  }
  const auto found = attempts_.find(attempt->request->attempt);
  if (found != attempts_.end() && found->second == attempt) {
    attempts_.erase(found);
  }
}

void Inference::tick(TimePoint now) {
  while (!checks_.empty() && checks_.begin()->first <= now) {
    const AttemptPtr attempt = checks_.begin()->second;
    checks_.erase(checks_.begin());
    checkAttempt(now, attempt);
  }
  if (faults_.stall) {
    return;
  }
  for (auto& [slot, replica] : replicas_) {
    TimePoint begin = now;
    if (replica.batch.stepEnds()) {
      if (*replica.batch.stepEnds() > now) {
        continue;
      }
      begin = std::max(*replica.batch.stepEnds(), now - kMaxCatchUp);
      runStep(now, replica);
    }
    startWaiting(begin, replica);
  }
  recordLoad(now);
}

std::optional<TimePoint> Inference::nextWakeup() const {
  std::optional<TimePoint> earliest;
  if (!checks_.empty()) {
    earliest = checks_.begin()->first;
  }
  if (!faults_.stall) {
    for (const auto& [slot, replica] : replicas_) {
      keepEarlier(earliest, replica.batch.stepEnds());
    }
  }
  return earliest;
}

std::uint32_t Inference::inFlight(SlotId slot, const ModelName& model) const {
  const auto found = replicas_.find(slot);
  if (found == replicas_.end()) {
    return 0;
  }
  if (model.empty()) {
    return static_cast<std::uint32_t>(found->second.batch.running() + found->second.batch.waiting());
  }
  const std::vector<AttemptPtr> attempts = found->second.batch.all();
  return static_cast<std::uint32_t>(
      std::count_if(attempts.begin(), attempts.end(),
                    [&](const AttemptPtr& attempt) { return attempt->request->model == model; }));
}

LoadReport Inference::load() const {
  LoadReport total;
  for (const auto& [slot, replica] : replicas_) {
    total.running += static_cast<std::uint32_t>(replica.batch.running());
    total.waiting += static_cast<std::uint32_t>(replica.batch.waiting());
  }
  return total;
}

void Inference::recordLoad(TimePoint now) {
  history_.record(now, load());
}

}  // namespace ferryrock::emulator
