#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "control/engine_orders.h"
#include "emulator/model/engine_model.h"
#include "simulation/engine_connection.h"
#include "simulation/simulated_process.h"
#include "simulation/simulated_weight_store.h"
#include "simulation/simulation_context.h"

namespace ferryrock::simulation {

/// One stand-in engine of a run: the emulator's model bound to virtual time, network and weight store. What
/// it truly ran and held goes to the oracle as its journal.
class SimulatedEngine : public SimulatedProcess {
 public:
  using Reply = std::function<void(const control::EngineAnswer&)>;

  SimulatedEngine(SimulationContext& context, SimulatedWeightStore& store,
                  const emulator::EngineSettings& settings, std::uint64_t seed);

  // Towards routers; each runs in this process, as the network delivers it.
  void submit(const EngineConnectionPtr& connection, emulator::InferenceRequestPtr request);
  void resumeStream(const EngineConnectionPtr& connection, const AttemptId& attempt,
                    std::uint64_t from_chunk);
  void cancel(const AttemptId& attempt);
  void closeConnection(const EngineConnectionPtr& connection);

  // Towards control.
  void raiseFence(const wire::Fence& fence, const Reply& reply);
  void order(const control::EngineOrder& order, const Reply& reply);
  void poll(std::uint64_t after_version, Duration wait, Reply reply);

  /// A deliberate defect of this engine in all its lives.
  void setIgnoresFences(bool ignores) { ignores_fences_ = ignores; }
  void changeFaults(const std::function<void(emulator::EngineFaults&)>& change);
  const emulator::EngineSettings& settings() const { return settings_; }
  /// The model of the current life; null while it doesn't run.
  const emulator::EngineModel* model() const { return model_.get(); }

 protected:
  void onStart() override;
  void onKilled() override;

 private:
  struct PendingPoll {
    std::uint64_t after_version = 0;
    TimePoint deadline;  ///< local
    Reply reply;
  };

  void settle();
  void handle(const emulator::EngineEffect& effect);
  void toReader(emulator::ReaderId reader, const ConnectionEvent& event);
  void breakConnection(const EngineConnectionPtr& connection);
  void startTransfer(const emulator::StartTransferEffect& effect);
  void answerPolls();
  control::EngineAnswer stateAnswer() const;
  void scheduleWakeup();
  emulator::ReaderId newReader(const EngineConnectionPtr& connection);

  SimulationContext& context_;
  SimulatedWeightStore& store_;
  const emulator::EngineSettings settings_;
  Random random_;
  std::unique_ptr<emulator::EngineModel> model_;
  Incarnation incarnation_;                 ///< outlives the process
  std::vector<emulator::Checkpoint> disk_;  ///< outlives the process
  std::map<emulator::ReaderId, EngineConnectionPtr> readers_;
  std::map<emulator::TransferId, emulator::StoreTransferId> transfers_;
  std::vector<PendingPoll> polls_;
  bool ignores_fences_ = false;
  std::uint64_t next_reader_ = 1;
  TimePoint wakeup_ = TimePoint::max();  ///< local
};

}  // namespace ferryrock::simulation
