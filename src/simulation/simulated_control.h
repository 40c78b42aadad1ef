#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "control/control_node.h"
#include "simulation/simulated_process.h"
#include "simulation/simulation_context.h"
#include "storage/log_storage.h"
#include "storage/memory_file_system.h"

namespace ferryrock::simulation {

/// One control member of a run: ControlNode bound to virtual time, network and disk. Writes are synced some
/// time after they were asked for, several at once, as the writer thread of the real process does it.
class SimulatedControl : public SimulatedProcess {
 public:
  using ProposalReply = std::function<void(const wire::CommandResult&)>;
  using ReadReply = std::function<void(bool confirmed)>;

  SimulatedControl(SimulationContext& context, const control::ControlSettings& settings, ZoneName zone,
                   std::uint64_t seed);

  void receive(const wire::Envelope& envelope);
  void propose(wire::Command command, ProposalReply reply);
  void changeMembership(const control::MembershipChange& change, ProposalReply reply);
  void confirmRead(ReadReply reply);
  void machineList(const control::MachineList& list);
  /// Planned stop: hands over and then ends.
  void stop();
  /// The next write dies between two operations of the disk.
  void crashInNextWrite(std::uint64_t operations) { disk_.crashAfter(operations); }
  /// Loses the disk of a process that doesn't run.
  void loseDisk() { disk_.wipe(); }

  MemberId member() const { return settings_.log.id; }
  /// Of the current life; null while it doesn't run.
  const control::ControlNode* node() const { return node_.get(); }
  const storage::MemoryDisk& disk() const { return disk_; }

 protected:
  void onStart() override;
  void onKilled() override;

 private:
  class WallClock : public TimeSource {
   public:
    explicit WallClock(SimulatedControl& process) : process_(process) {}
    TimePoint monotonicTime() override { return process_.localTime(); }
    WallMilliseconds wallTime() override;

   private:
    SimulatedControl& process_;
  };

  void carryOut(const control::Effects& effects);
  /// Tells the oracle before any effect of the commit leaves the process.
  void noteCommitted(const control::Effects& effects);
  void handle(const wire::SendEffect& effect);
  void handle(const consensus::PersistEffect& effect);
  void handle(const control::RaiseFenceEffect& effect);
  void handle(const control::OrderEffect& effect);
  void handle(const control::PollEngineEffect& effect);
  void handle(const control::ProposalDoneEffect& effect);
  void handle(const control::ReadDoneEffect& effect);

  using EngineReply = std::function<void(const control::EngineAnswer&)>;
  /// Calls an engine; exactly one answer comes back unless this process dies first.
  void callEngine(const control::EngineAnswer& unreached, Duration time_limit,
                  std::function<void(class SimulatedEngine&, EngineReply)> at_engine);
  void startWriting();
  void write();
  void scheduleWakeup();

  SimulationContext& context_;
  control::ControlSettings settings_;
  Random random_;
  WallClock wall_clock_;
  storage::MemoryDisk disk_;
  std::unique_ptr<storage::LogStorage> storage_;
  std::unique_ptr<control::ControlNode> node_;
  std::vector<consensus::PersistEffect> waiting_writes_;
  bool writing_ = false;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, ProposalReply> proposals_;
  std::map<std::uint64_t, ReadReply> reads_;
  TimePoint wakeup_ = TimePoint::max();  ///< local
};

}  // namespace ferryrock::simulation
