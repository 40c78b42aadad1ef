#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/answer_reader.h"
#include "emulator/engine_files.h"
#include "emulator/model/engine_model.h"

namespace ferryrock::emulator {

struct EngineHostSettings {
  EngineSettings engine;
  std::string data_folder;       ///< empty: nothing outlives the process
  std::string weight_store_url;  ///< empty: checkpoints arrive at once
  std::uint64_t seed = 1;
};

/// What an engine has done since the process started, over its restarts.
struct EngineCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t finished = 0;
  std::uint64_t failed = 0;
  std::uint64_t chunks = 0;
};

/// What the host of an engine tells the interface in front of it.
struct EngineHostCallbacks {
  std::function<void()> on_state_changed;
  /// A fault ends the engine now. The callback ends the process or posts a call of EngineHost::restart().
  std::function<void()> on_crash;
};

/// Binds one engine's model to a timer, the readers' connections, its files and the weight store. Used on its
/// dispatcher's thread only.
class EngineHost {
 public:
  EngineHost(event::Dispatcher& dispatcher, http::Client& client, EngineHostSettings settings);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  void setCallbacks(EngineHostCallbacks callbacks) { callbacks_ = std::move(callbacks); }

  /// Call settle() after each change to the model.
  EngineModel& model() { return *model_; }
  const EngineModel& model() const { return *model_; }
  /// Carries out the model's effects and arms the timer for its next wakeup.
  void settle();

  /// Registers a connection that the model may answer to.
  ReaderId addReader(const http::ResponseWriterPtr& writer, bool stream);
  /// Cuts the connections of all readers.
  void cutReaders();
  /// Ends the engine as a crash would.
  void crash();
  /// Cuts every reader and comes back with the next incarnation, holding nothing.
  void restart();

  TimePoint now() const { return dispatcher_.timeSource().monotonicTime(); }
  std::string journal() const { return files_.journal(); }
  const EngineCounters& counters() const { return counters_; }

 private:
  void begin();
  void wake();
  void apply(const AdmittedEffect& effect);
  void apply(const RefusedEffect& effect);
  void apply(const ChunkEffect& effect);
  void apply(const EndEffect& effect);
  void apply(const FailedEffect& effect);
  void apply(const CutEffect& effect);
  void apply(const JournalEffect& effect);
  void apply(const StateChangedEffect& effect);
  void apply(const StartTransferEffect& effect);
  void apply(const CancelTransferEffect& effect);
  void apply(const DiskContentsEffect& effect);
  void apply(const CrashEffect& effect);
  AnswerReader* find(ReaderId reader);
  void endTransfer(TransferId transfer, bool succeeded);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const EngineHostSettings settings_;
  EngineHostCallbacks callbacks_;
  EngineFiles files_;
  EngineCounters counters_;
  std::unique_ptr<EngineModel> model_;
  std::unique_ptr<event::Timer> timer_;
  std::optional<TimePoint> armed_for_;
  bool settling_ = false;
  bool crashed_ = false;
  ReaderId last_reader_;
  std::unordered_map<ReaderId, AnswerReader> readers_;
  std::unordered_map<TransferId, std::unique_ptr<http::ClientCall>> transfers_;
  /// Empties when the engine restarts or is destroyed, so that callbacks of the time before do nothing.
  std::shared_ptr<int> lifetime_;
};

}  // namespace ferryrock::emulator
