#include "fault_schedule.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "consensus/membership.h"

namespace ferryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRun = seconds(20);

HarnessSettings drawSettings(std::uint64_t seed, const Defects& defects) {
  Random random(seed);
  HarnessSettings settings;
  settings.seed = random.next();
  settings.members = random.chance(0.8) ? 3 : 5;
  settings.defects = defects;
  settings.snapshot_after_entries = 10 + random.below(100);
  settings.retained_entries = random.below(20);
  settings.segment_bytes = 500 + random.below(8000);
  settings.max_batch_bytes = random.chance(0.5) ? 2000 : 1 + random.below(60);
  settings.max_sync_delay = milliseconds(random.chance(0.7) ? 20 : 300);
  return settings;
}

}  // namespace

FaultSchedule::FaultSchedule(std::uint64_t seed, const Defects& defects)
    : seed_(seed), cell_(drawSettings(seed, defects)) {}

ScheduleResult FaultSchedule::run() {
  ScheduleResult result;
  result.seed = seed_;
  try {
    form();
    Random& random = cell_.random();
    cell_.network().loss = random.chance(0.5) ? 0.1 * random.unit() : 0;
    cell_.network().duplication = 0.1 * random.unit();
    cell_.network().long_delay = random.chance(0.5) ? 0.05 * random.unit() : 0;
    schedule(milliseconds(5), milliseconds(60), [this] { clientStep(); });
    const Duration longest_quiet = milliseconds(random.chance(0.5) ? 900 : 300);
    schedule(milliseconds(50), longest_quiet, [this] { faultStep(); });
    schedule(milliseconds(50), milliseconds(300), [this] { operatorStep(); });
    cell_.runFor(kRun);
    healAndCheck();
  } catch (const InvariantViolation& violation) {
    result.violation = violation.what() + cell_.describe();
  } catch (const Error& error) {
    result.violation = error.what() + cell_.describe();
  }
  result.committed = cell_.oracle().committed().value;
  result.counts = cell_.counts();
  return result;
}

void FaultSchedule::form() {
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    desired_.insert(cell_.member(number).id);
  }
  const bool formed = cell_.runUntil([this] { return cell_.oracle().committed() > LogIndex{}; }, seconds(30));
  if (!formed) {
    throw InvariantViolation("progress: the cell did not form within 30 s");
  }
}

void FaultSchedule::schedule(Duration shortest, Duration longest, std::function<void()> action) {
  const auto spread = static_cast<std::uint64_t>((longest - shortest).count());
  const Duration delay = shortest + Duration(cell_.random().below(spread));
  cell_.at(delay, [this, shortest, longest, action = std::move(action)] {
    if (faults_on_) {
      action();
      schedule(shortest, longest, action);
    }
  });
}

SimulatedMember* FaultSchedule::randomRunningMember() {
  std::vector<SimulatedMember*> running;
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    SimulatedMember& member = cell_.member(number);
    if (member.log && !member.paused) {
      running.push_back(&member);
    }
  }
  return running.empty() ? nullptr : running[cell_.random().below(running.size())];
}

SimulatedMember* FaultSchedule::find(MemberId id) {
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    if (cell_.member(number).id == id) {
      return &cell_.member(number);
    }
  }
  return nullptr;
}

void FaultSchedule::clientStep() {
  constexpr double kReadShare = 0.3;
  // Clients use every member that considers itself the leader, including one that is partitioned off.
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    SimulatedMember& member = cell_.member(number);
    if (!member.log || member.paused || member.log->role() != Role::Leader) {
      continue;
    }
    if (cell_.random().chance(kReadShare)) {
      cell_.confirmRead(member);
      continue;
    }
    const std::uint64_t burst = 1 + cell_.random().below(5);
    for (std::uint64_t i = 0; i < burst; ++i) {
      cell_.propose(member, "command " + std::to_string(++commands_));
    }
  }
}

void FaultSchedule::faultStep() {
  SimulatedMember* member = randomRunningMember();
  if (member == nullptr) {
    return;
  }
  switch (cell_.random().below(13)) {
    case 0:
    case 1:
    case 2:
      crash(*member);
      break;
    case 3:
      if (cell_.leader() != nullptr) {
        crash(*cell_.leader());
      }
      break;
    case 4:
      crashAll();
      break;
    case 5:
      isolate(*member);
      break;
    case 6:
      if (cell_.leader() != nullptr) {
        isolate(*cell_.leader());
      }
      break;
    case 7:
      cutOneWay();
      break;
    case 8:
      pauseOne();
      break;
    case 12:
      cutFromLeader(*member);
      break;
    case 9:
      cell_.handle(*member, member->log->transferLeadership(cell_.localTime(*member)));
      ++cell_.counts().transfers;
      break;
    case 10:
      loseOneDisk();
      break;
    default:
      changeSize();
      break;
  }
}

void FaultSchedule::crash(SimulatedMember& member) {
  cell_.stop(member);
  const Duration downtime = milliseconds(20 + cell_.random().below(2000));
  cell_.at(downtime, [this, &member] {
    if (!member.log && !retired_.contains(member.id)) {
      cell_.start(member);
    }
  });
}

void FaultSchedule::crashAll() {
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    if (cell_.member(number).log) {
      crash(cell_.member(number));
    }
  }
}

void FaultSchedule::isolate(SimulatedMember& member) {
  const Duration duration = milliseconds(100 + cell_.random().below(4000));
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    cell_.cut(member.node, cell_.member(number).node, duration);
    cell_.cut(cell_.member(number).node, member.node, duration);
  }
}

void FaultSchedule::cutOneWay() {
  const SimulatedMember* from = randomRunningMember();
  const SimulatedMember* to = randomRunningMember();
  cell_.cut(from->node, to->node, milliseconds(100 + cell_.random().below(4000)));
}

/// Cuts the link between the member and the leader; both still reach the other members.
void FaultSchedule::cutFromLeader(const SimulatedMember& member) {
  const SimulatedMember* leader = cell_.leader();
  if (leader == nullptr) {
    return;
  }
  const Duration duration = milliseconds(100 + cell_.random().below(4000));
  cell_.cut(leader->node, member.node, duration);
  cell_.cut(member.node, leader->node, duration);
}

void FaultSchedule::pauseOne() {
  SimulatedMember& member = cell_.leader() != nullptr ? *cell_.leader() : *randomRunningMember();
  const std::uint64_t incarnation = member.incarnation;
  cell_.pause(member);
  cell_.at(milliseconds(50 + cell_.random().below(5000)), [this, &member, incarnation] {
    if (member.incarnation == incarnation && member.paused) {
      cell_.resume(member);
    }
  });
}

/// True if the voters are exactly the desired members, no member's disk is lost, and nothing is uncommitted.
bool FaultSchedule::isSettled() {
  const SimulatedMember* leader = cell_.leader();
  if (leader == nullptr || leader->log->committed() != leader->log->lastIndex() || !lost_disks_.empty()) {
    return false;
  }
  std::set<MemberId> voters;
  for (const wire::Member& member : leader->log->membership().members) {
    if (!member.voter) {
      return false;
    }
    voters.insert(member.id);
  }
  return voters == desired_;
}

/// Restarts a process on an empty disk under its old identity, which models a faulty repair; the operator
/// later replaces the identity.
void FaultSchedule::loseOneDisk() {
  SimulatedMember* member = randomRunningMember();
  if (!isSettled() || !desired_.contains(member->id)) {
    return;
  }
  cell_.loseDisk(*member);
  lost_disks_.insert(member->id);
  member->bootstrap = cell_.random().chance(0.5);
  cell_.start(*member);
  const MemberId lost = member->id;
  const NodeName node = member->node;
  cell_.at(milliseconds(100 + cell_.random().below(3000)),
           [this, lost, node] { replaceDesired(lost, node); });
}

void FaultSchedule::replaceDesired(MemberId old_id, const NodeName& node) {
  desired_.erase(old_id);
  const MemberId id{++next_id_};
  SimulatedMember& fresh =
      cell_.addProcess(id, cell_.random().chance(0.5) ? node : NodeName{node.value + "'"});
  fresh.bootstrap = cell_.random().chance(0.5);
  cell_.start(fresh);
  desired_.insert(id);
}

void FaultSchedule::changeSize() {
  if (!isSettled()) {
    return;
  }
  constexpr std::size_t kMinMembers = 3;
  constexpr std::size_t kMaxMembers = 5;
  const bool grow =
      desired_.size() < kMaxMembers && (desired_.size() == kMinMembers || cell_.random().chance(0.5));
  if (grow) {
    const MemberId id{++next_id_};
    cell_.start(cell_.addProcess(id, NodeName{"extra-" + std::to_string(id.value)}));
    desired_.insert(id);
  } else {
    auto victim = desired_.begin();
    std::advance(victim, static_cast<std::ptrdiff_t>(cell_.random().below(desired_.size())));
    desired_.erase(victim);
  }
}

void FaultSchedule::operatorStep() {
  SimulatedMember* leader = cell_.leader();
  if (leader == nullptr) {
    return;
  }
  const TimePoint now = cell_.localTime(*leader);
  const wire::Membership membership = leader->log->membership();
  Proposal proposal;
  for (const wire::Member& member : membership.members) {
    if (!desired_.contains(member.id)) {
      proposal = leader->log->remove(member.id, now);
      cell_.handle(*leader, std::move(proposal.effects));
      return;
    }
  }
  retireRemoved(*leader);
  for (const MemberId id : desired_) {
    const wire::Member* known = findMember(membership, id);
    if (known != nullptr && known->voter) {
      continue;
    }
    if (known == nullptr) {
      const NodeName node = find(id)->node;
      proposal = leader->log->addLearner({id, node, node.value + ":1", "", false, DiskId{}}, now);
    } else {
      proposal = leader->log->promote(id, now);
    }
    cell_.counts().membership_changes += proposal.accepted ? 1 : 0;
    cell_.handle(*leader, std::move(proposal.effects));
    return;
  }
}

/// Stops the processes whose removal is committed.
void FaultSchedule::retireRemoved(const SimulatedMember& leader) {
  if (leader.log->committed() != leader.log->lastIndex()) {
    return;
  }
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    SimulatedMember& member = cell_.member(number);
    const bool in_cell = findMember(leader.log->membership(), member.id) != nullptr;
    if (!in_cell && !desired_.contains(member.id) && retired_.insert(member.id).second) {
      cell_.stop(member);
      lost_disks_.erase(member.id);
    }
  }
}

void FaultSchedule::healAndCheck() {
  faults_on_ = false;
  cell_.healNetwork();
  for (std::size_t number = 0; number < cell_.memberCount(); ++number) {
    SimulatedMember& member = cell_.member(number);
    if (member.log && member.paused) {
      cell_.resume(member);
    }
    if (!member.log && !retired_.contains(member.id)) {
      cell_.start(member);
    }
  }
  const LogIndex before = cell_.oracle().committed();
  const bool elected = cell_.runUntil(
      [this] {
        SimulatedMember* leader = cell_.leader();
        return leader != nullptr && cell_.propose(*leader, "after the faults").accepted;
      },
      seconds(30));
  const bool progressed =
      elected && cell_.runUntil([this, before] { return cell_.oracle().committed() > before; }, seconds(30));
  if (!progressed) {
    throw InvariantViolation("progress: nothing was committed within 30 s after all faults were healed");
  }
  const bool complete = cell_.runUntil(
      [this] {
        SimulatedMember* leader = cell_.leader();
        if (leader == nullptr) {
          return false;
        }
        const auto& members = leader->log->membership().members;
        return std::all_of(members.begin(), members.end(), [this](const wire::Member& known) {
          const SimulatedMember* member = find(known.id);
          return lost_disks_.contains(known.id) || member->applied == cell_.oracle().committed();
        });
      },
      seconds(30));
  if (!complete) {
    throw InvariantViolation(
        "progress: not every member applied all committed entries within 30 s after all faults were "
        "healed");
  }
}

ScheduleResult runSchedule(std::uint64_t seed, const Defects& defects) {
  return FaultSchedule(seed, defects).run();
}

}  // namespace ferryrock::consensus
