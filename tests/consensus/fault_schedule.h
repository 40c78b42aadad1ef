#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "cell_harness.h"

namespace ferryrock::consensus {

/// Result of the schedule of one seed.
struct ScheduleResult {
  std::uint64_t seed = 0;
  std::string violation;  ///< the violated invariant and the members' states; empty: none
  std::uint64_t committed = 0;
  FaultCounts counts;
};

/// Runs a cell under faults derived from a seed, then heals all faults and checks that the cell makes
/// progress.
class FaultSchedule {
 public:
  FaultSchedule(std::uint64_t seed, const Defects& defects);
  ScheduleResult run();

 private:
  void form();
  void schedule(Duration shortest, Duration longest, std::function<void()> action);
  void clientStep();
  void faultStep();
  void operatorStep();
  void crash(SimulatedMember& member);
  void crashAll();
  void isolate(SimulatedMember& member);
  void cutOneWay();
  void cutFromLeader(const SimulatedMember& member);
  void pauseOne();
  void loseOneDisk();
  void changeSize();
  void replaceDesired(MemberId old_id, const NodeName& node);
  bool isSettled();
  SimulatedMember* randomRunningMember();
  SimulatedMember* find(MemberId id);
  void retireRemoved(const SimulatedMember& leader);
  void healAndCheck();

  std::uint64_t seed_;
  CellHarness cell_;
  std::set<MemberId> desired_;     ///< target voters; the operator steps change the membership towards them
  std::set<MemberId> lost_disks_;  ///< identities whose disk was lost
  std::set<MemberId> retired_;     ///< removed from the cell; never started again
  std::uint64_t next_id_ = 100;
  std::uint64_t commands_ = 0;
  bool faults_on_ = true;
};

ScheduleResult runSchedule(std::uint64_t seed, const Defects& defects = {});

}  // namespace ferryrock::consensus
