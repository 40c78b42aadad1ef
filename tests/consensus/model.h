#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cell_oracle.h"
#include "consensus/quorum_log_impl.h"

/// Exhaustive exploration of the steps of a formed cell of three members. Time is not modelled: a step can
/// start an election in any state, and no member relies on leader contact or leases. A message that is never
/// delivered is equivalent to a lost one. Steps that cannot change the outcome are not explored: writes are
/// synced immediately once the crash budget is used up, obsolete responses are dropped, and heartbeats count
/// as lost if the heartbeat budget is zero.
namespace ferryrock::consensus {

inline constexpr std::size_t kModelMembers = 3;

/// Maximum number of steps of each kind on one path.
struct Budget {
  std::uint8_t elections = 0;
  std::uint8_t crashes = 0;
  std::uint8_t proposals = 0;
  std::uint8_t heartbeats = 0;
  std::uint8_t duplicates = 0;
};

struct ModelSettings {
  /// Terms of the entries of each member, from entry 2 on; entry 1 formed the cell in term 1.
  std::array<std::vector<std::uint64_t>, kModelMembers> logs;
  /// Initial term of each member.
  std::array<std::uint64_t, kModelMembers> terms{1, 1, 1};
  Budget budget;
  Defects defects;
  /// The first election may be started only by the first first_candidate_count members: if the members are
  /// interchangeable, the other candidates lead to equivalent states.
  std::size_t first_candidate_count = kModelMembers;
};

/// One member and its disk; shared between states.
struct ModelMember {
  std::shared_ptr<const QuorumLogImpl> log;
  std::vector<PersistEffect> unsynced;
  RecoveredState disk;
  std::string fingerprint;
};

/// A message in flight.
struct Packet {
  std::size_t to = 0;  ///< position of the receiver
  NodeName from;
  wire::Message message;
  std::string key;
};

enum class StepKind : std::uint8_t {
  Deliver,
  DeliverCopy,  ///< deliver, and keep the message in flight
  Sync,
  Crash,            ///< crash and restart; unsynced writes are lost
  CrashAfterWrite,  ///< crash and restart; unsynced writes have reached the disk
  StartElection,
  Propose,
  Heartbeat,
};

struct Step {
  StepKind kind = StepKind::Deliver;
  std::size_t position = 0;  ///< of the member in members_, or of the message in packets_
};

/// One state of the cell. Copies share unchanged members, messages and history.
class ModelState {
 public:
  explicit ModelState(std::shared_ptr<const ModelSettings> settings);

  /// Steps that are possible in this state.
  std::vector<Step> steps() const;
  /// The state after a step. Throws InvariantViolation if the step violates an invariant.
  ModelState after(const Step& step) const;
  /// Equal for states that have equivalent successors.
  std::string fingerprint() const;
  std::string describe(const Step& step) const;

 private:
  QuorumLogSettings memberSettings(std::size_t position) const;
  void start(std::size_t position, RecoveredState disk);
  /// Runs the action on a copy of the member and applies its effects.
  template <class Action>
  void act(std::size_t position, const Action& action);
  void applyEffects(std::size_t position, Effects effects, ModelMember& member);
  void sync(std::size_t position);
  void crash(std::size_t position, bool after_write);
  void deliver(std::size_t packet, bool keep);
  void applyForcedSteps();
  void dropObsoletePackets();
  bool isObsolete(const Packet& packet) const;
  void checkLogsMatch() const;

  std::shared_ptr<const ModelSettings> settings_;
  std::array<std::shared_ptr<const ModelMember>, kModelMembers> members_;
  std::vector<std::shared_ptr<const Packet>> packets_;  ///< sorted by key
  std::shared_ptr<const CellOracle> oracle_;
  std::map<std::uint64_t, std::size_t> leaders_;  ///< by term
  Budget remaining_;
};

struct Exploration {
  std::uint64_t states = 0;
  std::uint64_t steps = 0;
  std::size_t depth = 0;           ///< all paths of this many steps were explored
  bool complete = false;           ///< all states within the budget were explored
  std::string violation;           ///< the violated invariant; empty: none
  std::vector<std::string> trace;  ///< shortest sequence of steps to the violation
};

/// Explores breadth-first until an invariant is violated, no new state is found, or max_states states are
/// known.
Exploration explore(const ModelSettings& settings, std::uint64_t max_states);

}  // namespace ferryrock::consensus
