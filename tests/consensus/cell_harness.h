#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cell_oracle.h"
#include "common/random.h"
#include "consensus/quorum_log.h"
#include "storage/log_storage.h"
#include "storage/memory_file_system.h"

/// Deterministic simulation of a cell in one thread under a virtual clock: members on simulated disks, a
/// lossy network, and clients.
namespace ferryrock::consensus {

struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  double long_delay = 0;  ///< probability of a delay of up to a second
};

struct FaultCounts {
  std::uint64_t lost = 0;
  std::uint64_t duplicated = 0;
  std::uint64_t cut = 0;
  std::uint64_t crashes = 0;
  std::uint64_t interrupted_writes = 0;
  std::uint64_t torn_writes = 0;
  std::uint64_t lost_disks = 0;
  std::uint64_t pauses = 0;
  std::uint64_t membership_changes = 0;
  std::uint64_t transfers = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t reads = 0;
};

struct HarnessSettings {
  std::uint64_t seed = 1;
  std::size_t members = 3;
  Defects defects;
  std::size_t snapshot_after_entries = 40;
  std::size_t retained_entries = 5;
  std::uint64_t segment_bytes = 4096;
  std::size_t max_batch_bytes = 2000;
  Duration max_sync_delay = std::chrono::milliseconds(20);
  double clock_drift = 0.02;  ///< clock rates lie between 1 - drift and 1 + drift
};

/// A process and its disk. Either can fail: the process can be stopped and the disk lost.
struct SimulatedMember {
  MemberId id;
  NodeName node;
  bool bootstrap = true;
  std::unique_ptr<storage::MemoryDisk> disk;
  std::unique_ptr<storage::LogStorage> storage;
  std::unique_ptr<QuorumLog> log;  ///< null: stopped
  std::vector<PersistEffect> unsynced;
  bool sync_running = false;
  std::uint64_t incarnation = 0;
  double clock_rate = 1;
  Duration clock_offset{};
  bool paused = false;
  std::vector<std::function<void()>> deferred_actions;  ///< events deferred while the process is paused
  LogIndex applied;
  std::uint64_t digest = 0;
};

class CellHarness {
 public:
  explicit CellHarness(const HarnessSettings& settings);

  SimulatedMember& member(std::size_t number) { return *members_[number]; }
  std::size_t memberCount() const { return members_.size(); }
  CellOracle& oracle() { return oracle_; }
  NetworkFaults& network() { return network_; }
  FaultCounts& counts() { return counts_; }
  Random& random() { return random_; }
  TimePoint now() const { return now_; }

  void runFor(Duration duration);
  /// Runs until the condition holds; returns false if it does not hold within the limit.
  bool runUntil(const std::function<bool()>& condition, Duration limit);
  void at(Duration delay, std::function<void()> action);

  /// The leader of the highest term among the members that run and are not paused; nullptr if there is none.
  SimulatedMember* leader();
  SimulatedMember* findNode(const NodeName& node);
  /// One line per member, for the report of a violated invariant.
  std::string describe() const;

  void stop(SimulatedMember& member, bool lose_unsynced = true);
  void start(SimulatedMember& member);
  void loseDisk(SimulatedMember& member);
  void pause(SimulatedMember& member);
  void resume(SimulatedMember& member);
  void cut(const NodeName& from, const NodeName& to, Duration duration);
  void healNetwork();
  /// Adds a process on an empty disk that is not a member of the cell yet; the caller starts it.
  SimulatedMember& addProcess(MemberId id, const NodeName& node);

  Proposal propose(SimulatedMember& member, std::string command);
  void confirmRead(SimulatedMember& member);
  std::uint64_t readsConfirmed() const { return reads_confirmed_; }
  TimePoint localTime(const SimulatedMember& member) const;
  /// Carries out the effects that a test received from a direct call of a member's log.
  void handle(SimulatedMember& member, Effects effects);

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void step();
  void tickAt(SimulatedMember& member, std::uint64_t incarnation);
  void scheduleTick(SimulatedMember& member);
  void deliver(const NodeName& from, const wire::SendEffect& message);
  void transmit(const NodeName& from, const NodeName& to, std::string bytes);
  void beginSync(SimulatedMember& member);
  void endSync(SimulatedMember& member, std::uint64_t incarnation);
  void apply(SimulatedMember& member, const ApplyEffect& effect);
  void restore(SimulatedMember& member, const RestoreEffect& effect);
  /// Runs the action on the member, or defers it while the member is paused; drops it if the process has
  /// stopped or was restarted since.
  void onMember(SimulatedMember& member, std::uint64_t incarnation, const std::function<void()>& action);
  void checkLeases();

  HarnessSettings settings_;
  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<SimulatedMember>> members_;
  wire::Membership initial_;
  NetworkFaults network_;
  std::map<std::pair<NodeName, NodeName>, TimePoint> cuts_;
  CellOracle oracle_;
  FaultCounts counts_;
  std::map<std::uint64_t, LogIndex> reads_;  ///< by read id: the commit index when the read was requested
  std::uint64_t next_read_ = 0;
  std::uint64_t reads_confirmed_ = 0;
};

}  // namespace ferryrock::consensus
