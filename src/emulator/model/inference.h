#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/model/batch.h"
#include "emulator/model/cache_event_log.h"
#include "emulator/model/effect_queue.h"
#include "emulator/model/load_history.h"

namespace ferryrock::emulator {

/// Prefix blocks of an attempt, as one engine hands them to another.
struct CacheExport {
  ModelName model;
  std::uint64_t tokens = 0;
  std::vector<PrefixHash> blocks;
};

/// Runs admitted attempts: one continuous batch and prefix cache per replica, streams that outlive their
/// connection.
class Inference {
 public:
  Inference(const EngineSettings& settings, const EngineFaults& faults, EffectQueue& effects, Random random);

  /// A replica became ready.
  void openSlot(SlotId slot);
  /// Fails what the replica still runs and drops its cache.
  void closeSlot(TimePoint now, SlotId slot);
  bool hasRoom(SlotId slot) const;

  bool knows(const AttemptId& attempt) const { return attempts_.contains(attempt); }
  /// Admits; the attempt must be unknown and the slot open and with room.
  void admit(TimePoint now, ReaderId reader, InferenceRequestPtr request, SlotId slot);
  /// Sends the answer again from a chunk on; false if the attempt can't be resumed.
  bool resume(TimePoint now, ReaderId reader, const AttemptId& attempt, std::uint64_t from_chunk);
  /// False if it isn't waiting or running.
  bool cancel(TimePoint now, const AttemptId& attempt);
  void readerGone(TimePoint now, ReaderId reader);

  std::optional<CacheExport> exportCache(const AttemptId& attempt) const;
  void importCache(TimePoint now, SlotId slot, const CacheExport& exported);
  CacheEventPage cacheEvents(TimePoint now, std::uint64_t after) const {
    return cache_events_.after(now, after);
  }

  void setSpeed(const StepSpeed& speed) { speed_ = speed; }
  void tick(TimePoint now);
  std::optional<TimePoint> nextWakeup() const;

  /// Attempts running or waiting on a replica, of one addressed model if given.
  std::uint32_t inFlight(SlotId slot, const ModelName& model = {}) const;
  /// Load of the whole engine now.
  LoadReport load() const;
  /// Load as reported, which lags.
  LoadReport reportedLoad(TimePoint now) { return history_.reported(now); }

 private:
  struct Replica {
    explicit Replica(const EngineSettings& settings) : batch(settings), cache(settings.cache_blocks) {}
    Batch batch;
    PrefixCache cache;
  };

  void startWaiting(TimePoint now, Replica& replica);
  void runStep(TimePoint now, Replica& replica);
  void generate(TimePoint now, Replica& replica, const AttemptPtr& attempt, std::optional<ReaderId> reader);
  void sendChunk(TimePoint now, const AttemptPtr& attempt, std::optional<ReaderId> reader,
                 std::uint64_t number);
  bool cutIfFaulty(TimePoint now, const AttemptPtr& attempt, ReaderId reader);
  void finish(TimePoint now, Replica& replica, const AttemptPtr& attempt, std::optional<ReaderId> reader);
  void end(TimePoint now, const AttemptPtr& attempt, RunOutcome outcome);
  void fail(TimePoint now, const AttemptPtr& attempt, ResultCode code, const std::string& detail);
  void cutReader(TimePoint now, const AttemptPtr& attempt);
  /// Takes a copy, as the caller's pointer may be the one that is erased.
  void detachReader(TimePoint now, AttemptPtr attempt);
  void attachReader(const AttemptPtr& attempt, ReaderId reader);
  void checkAttempt(TimePoint now, const AttemptPtr& attempt);
  void recordLoad(TimePoint now);

  const EngineSettings& settings_;
  const EngineFaults& faults_;
  EffectQueue& effects_;
  StepSpeed speed_;
  std::uint64_t cuts_made_ = 0;
  std::uint64_t last_order_ = 0;
  std::map<SlotId, Replica> replicas_;
  std::unordered_map<AttemptId, AttemptPtr> attempts_;
  std::unordered_map<ReaderId, AttemptPtr> readers_;
  std::multimap<TimePoint, AttemptPtr> checks_;  ///< when to look at an attempt's time limits
  CacheEventLog cache_events_;
  LoadHistory history_;
};

}  // namespace ferryrock::emulator
