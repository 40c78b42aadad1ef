#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/quorum_log.h"
#include "control/engine_orders.h"
#include "emulator/model/engine_settings.h"
#include "emulator/model/journal.h"
#include "router/router_node.h"
#include "simulation/committed_state.h"
#include "simulation/event_queue.h"
#include "simulation/request_oracle.h"
#include "simulation/trace.h"

namespace ferryrock::simulation {

/// Checks the promises after every step, from what was persisted, committed, run and held, never from what
/// the parts under test say of themselves. The first violation ends the run.
class Oracle {
 public:
  Oracle(EventQueue& events, Trace& trace);

  void fail(const std::string& violation);
  bool failed() const { return !violation_.empty(); }
  const std::string& violation() const { return violation_; }

  // Quorum log.
  void onRecovered(MemberId member, const consensus::RecoveredState& recovered);
  /// The member holds this in memory and has asked its disk to keep it.
  void onAppended(MemberId member, const consensus::PersistEffect& write);
  void onPersisted(MemberId member, const consensus::PersistEffect& write);
  void onCommitted(MemberId member, LogIndex committed);
  void onControlVersion(MemberId member, TreeVersion version);
  void onRouterVersion(const NodeName& router, TreeVersion version);

  // Operators.
  /// An operator was told this result of a change.
  void onChangeAnswered(const ChangeId& change, const wire::CommandResult& result);

  // Engines.
  void onEngineStarted(const emulator::EngineSettings& settings, Incarnation incarnation);
  void onEngineDied(const EngineName& engine);
  void onOrder(const EngineName& engine, const control::EngineOrder& order);
  void onJournal(const EngineName& engine, Incarnation incarnation, const emulator::JournalRecord& record);

  RequestOracle& requests() { return requests_; }
  const CommittedState& committed() const { return committed_; }
  TreeVersion newestRouterVersion() const { return newest_router_version_; }
  /// Runs after each change that is committed for the first time anywhere.
  void onNewVersion(std::function<void(TreeVersion)> callback) { new_version_ = std::move(callback); }

 private:
  struct LogCopy {
    std::map<LogIndex, wire::LogEntry> entries;
    LogIndex compacted;  ///< covered by the snapshot
    void apply(const consensus::PersistEffect& write);
  };
  struct MemberLog {
    LogCopy memory;
    LogIndex compacted_on_disk;
    LogIndex committed;
    TreeVersion version;
  };
  struct HeldReplica {
    EngineName engine;
    Incarnation incarnation;
    ModelName model;
    emulator::HoldBeginRecord hold;
    std::map<ModelName, std::uint64_t> adapters;
  };

  void write(const std::string& what);
  void commit(const wire::LogEntry& entry);
  /// A committed entry has to have been on the disks of a majority before anyone learns of it.
  void checkDurable(const wire::LogEntry& entry);
  void checkHeldAgainstDecided(const HeldReplica& held);
  void checkMemory(const EngineName& engine);
  void onHoldBegin(const EngineName& engine, Incarnation incarnation,
                   const emulator::HoldBeginRecord& record);

  EventQueue& events_;
  Trace& trace_;
  std::string violation_;
  RequestOracle requests_;
  CommittedState committed_;
  std::map<MemberId, MemberLog> logs_;
  /// Members that ever had an entry of this index and term on disk; a disk may be lost right after.
  std::map<std::pair<LogIndex, Term>, std::set<MemberId>> synced_;
  std::map<NodeName, TreeVersion> router_versions_;
  TreeVersion newest_router_version_;
  std::map<ChangeId, wire::CommandResult> told_;
  std::map<EngineName, emulator::EngineSettings> engines_;
  std::map<SlotId, HeldReplica> held_;  ///< what engines truly hold now
  std::function<void(TreeVersion)> new_version_;
};

}  // namespace ferryrock::simulation
