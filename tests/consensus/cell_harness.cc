#include "cell_harness.h"

#include <algorithm>
#include <utility>

namespace ferryrock::consensus {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLatencyMin = std::chrono::microseconds(500);
constexpr Duration kLatencyMax = milliseconds(5);
constexpr Duration kLongDelayMax = std::chrono::seconds(1);
constexpr Duration kSyncMin = std::chrono::microseconds(200);

Duration between(Random& random, Duration low, Duration high) {
  return low + Duration(random.below(static_cast<std::uint64_t>((high - low).count()) + 1));
}

/// Snapshot of the simulated state machine: digest, index, and filler so that it takes several chunks.
std::string stateBytes(std::uint64_t digest, LogIndex index) {
  constexpr std::size_t kFillerBytes = 1500;
  return std::to_string(digest) + ":" + std::to_string(index.value) + ":" + std::string(kFillerBytes, 'f');
}

wire::Member describeMember(MemberId id, const NodeName& node, bool voter) {
  return {id, node, node.value + ":1", "http://" + node.value + ":2", voter, DiskId{}};
}

}  // namespace

CellHarness::CellHarness(const HarnessSettings& settings) : settings_(settings), random_(settings.seed) {
  for (std::size_t number = 1; number <= settings.members; ++number) {
    const MemberId id{number};
    const NodeName node{"control-" + std::to_string(number)};
    initial_.members.push_back(describeMember(id, node, true));
    addProcess(id, node).bootstrap = true;
  }
  for (auto& member : members_) {
    start(*member);
  }
}

SimulatedMember& CellHarness::addProcess(MemberId id, const NodeName& node) {
  auto member = std::make_unique<SimulatedMember>();
  member->id = id;
  member->node = node;
  member->bootstrap = false;
  member->disk = std::make_unique<storage::MemoryDisk>(random_.next());
  member->clock_rate = 1 + settings_.clock_drift * (2 * random_.unit() - 1);
  member->clock_offset = between(random_, Duration{}, std::chrono::hours(1));
  members_.push_back(std::move(member));
  return *members_.back();
}

void CellHarness::start(SimulatedMember& member) {
  QuorumLogSettings log_settings;
  log_settings.id = member.id;
  log_settings.node = member.node;
  log_settings.initial_membership = initial_;
  log_settings.bootstrap = member.bootstrap;
  log_settings.max_batch_bytes = settings_.max_batch_bytes;
  log_settings.max_inflight_batches = 4;
  log_settings.snapshot_chunk_bytes = 600;
  log_settings.snapshot_after_entries = settings_.snapshot_after_entries;
  log_settings.retained_entries = settings_.retained_entries;
  log_settings.defects = settings_.defects;
  member.storage = storage::createLogStorage(member.disk->open(), member.id, settings_.segment_bytes);
  RecoveredState recovered = member.storage->recover();
  member.applied = LogIndex{};
  member.digest = 0;
  member.log = createQuorumLog(log_settings, std::move(recovered), Random(random_.next()), localTime(member));
  ++member.incarnation;
  scheduleTick(member);
}

void CellHarness::stop(SimulatedMember& member, bool lose_unsynced) {
  if (!member.log) {
    return;
  }
  if (lose_unsynced && !member.unsynced.empty()) {
    // The process crashes in the middle of a write.
    constexpr std::uint64_t kMaxOperations = 8;
    const bool during_sync = random_.chance(0.5);
    member.disk->crashAfter(during_sync ? 1 : random_.below(kMaxOperations));
    try {
      member.storage->persist(member.unsynced);
    } catch (const storage::DiskCrashed&) {
      ++counts_.interrupted_writes;
    }
  }
  member.log.reset();
  member.storage.reset();
  member.unsynced.clear();
  member.sync_running = false;
  member.paused = false;
  member.deferred_actions.clear();
  ++member.incarnation;
  const std::uint64_t torn_before = member.disk->tornWrites();
  member.disk->crash();
  counts_.torn_writes += member.disk->tornWrites() - torn_before;
  ++counts_.crashes;
}

void CellHarness::loseDisk(SimulatedMember& member) {
  stop(member);
  member.disk->wipe();
  ++counts_.lost_disks;
}

void CellHarness::pause(SimulatedMember& member) {
  member.paused = true;
  ++counts_.pauses;
}

void CellHarness::resume(SimulatedMember& member) {
  member.paused = false;
  const auto deferred_actions = std::exchange(member.deferred_actions, {});
  for (const auto& action : deferred_actions) {
    action();
  }
}

void CellHarness::cut(const NodeName& from, const NodeName& to, Duration duration) {
  cuts_[{from, to}] = now_ + duration;
  ++counts_.cut;
}

void CellHarness::healNetwork() {
  cuts_.clear();
  network_ = NetworkFaults{};
}

TimePoint CellHarness::localTime(const SimulatedMember& member) const {
  const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
  return TimePoint(Duration(static_cast<std::int64_t>(elapsed * member.clock_rate)) + member.clock_offset);
}

void CellHarness::at(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++order_, std::move(action)});
}

void CellHarness::step() {
  const Event event = events_.top();
  events_.pop();
  now_ = std::max(now_, event.time);
  event.action();
  checkLeases();
}

void CellHarness::runFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().time <= end) {
    step();
  }
  now_ = end;
}

bool CellHarness::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now_ + limit;
  while (!condition()) {
    if (events_.empty() || events_.top().time > end) {
      return false;
    }
    step();
  }
  return true;
}

void CellHarness::onMember(SimulatedMember& member, std::uint64_t incarnation,
                           const std::function<void()>& action) {
  if (!member.log || member.incarnation != incarnation) {
    return;
  }
  if (member.paused) {
    member.deferred_actions.push_back(
        [this, &member, incarnation, action] { onMember(member, incarnation, action); });
    return;
  }
  action();
}

void CellHarness::scheduleTick(SimulatedMember& member) {
  constexpr Duration kTick = milliseconds(10);
  const std::uint64_t incarnation = member.incarnation;
  at(kTick, [this, &member, incarnation] { tickAt(member, incarnation); });
}

void CellHarness::tickAt(SimulatedMember& member, std::uint64_t incarnation) {
  onMember(member, incarnation, [this, &member] {
    if (localTime(member) >= member.log->nextDeadline()) {
      handle(member, member.log->tick(localTime(member)));
    }
    scheduleTick(member);
  });
}

Proposal CellHarness::propose(SimulatedMember& member, std::string command) {
  Proposal proposal = member.log->propose(std::move(command), localTime(member));
  handle(member, std::exchange(proposal.effects, {}));
  return proposal;
}

void CellHarness::confirmRead(SimulatedMember& member) {
  const std::uint64_t read = ++next_read_;
  reads_[read] = oracle_.committed();
  handle(member, member.log->confirmRead(read, localTime(member)));
}

void CellHarness::handle(SimulatedMember& member, Effects effects) {
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<wire::SendEffect>(&effect)) {
      deliver(member.node, *send);
    } else if (auto* persist = std::get_if<PersistEffect>(&effect)) {
      member.unsynced.push_back(std::move(*persist));
      beginSync(member);
    } else if (auto* applied = std::get_if<ApplyEffect>(&effect)) {
      apply(member, *applied);
    } else if (auto* restored = std::get_if<RestoreEffect>(&effect)) {
      restore(member, *restored);
    } else if (std::holds_alternative<SnapshotRequestEffect>(effect)) {
      const std::uint64_t incarnation = member.incarnation;
      at(milliseconds(1), [this, &member, incarnation] {
        onMember(member, incarnation, [this, &member] {
          handle(member, member.log->compact(member.applied, stateBytes(member.digest, member.applied),
                                             localTime(member)));
        });
      });
    } else if (auto* role = std::get_if<RoleEffect>(&effect)) {
      if (role->role == Role::Leader) {
        oracle_.onLeader(member.id, role->term, member.log->lastIndex());
      }
    } else if (auto* read = std::get_if<ReadReadyEffect>(&effect)) {
      if (read->confirmed) {
        oracle_.onRead(member.id, member.applied, reads_.at(read->read_id));
        ++reads_confirmed_;
        ++counts_.reads;
      }
      reads_.erase(read->read_id);
    }
  }
}

void CellHarness::apply(SimulatedMember& member, const ApplyEffect& effect) {
  for (const wire::LogEntry& entry : effect.entries) {
    if (entry.index != member.applied.next()) {
      throw InvariantViolation("apply order: entry " + std::to_string(entry.index.value) + " follows entry " +
                               std::to_string(member.applied.value));
    }
    member.digest = oracle_.onApply(member.id, member.log->term(), entry, member.digest);
    member.applied = entry.index;
  }
}

void CellHarness::restore(SimulatedMember& member, const RestoreEffect& effect) {
  const std::string& bytes = effect.snapshot.bytes;
  member.digest = std::stoull(bytes.substr(0, bytes.find(':')));
  member.applied = effect.snapshot.last_index;
  if (bytes != stateBytes(member.digest, member.applied)) {
    throw InvariantViolation("snapshot: the restored bytes differ from those of the snapshot that was taken");
  }
  oracle_.onRestore(member.id, member.applied, member.digest);
  ++counts_.snapshots_installed;
}

void CellHarness::beginSync(SimulatedMember& member) {
  if (member.sync_running) {
    return;
  }
  member.sync_running = true;
  const std::uint64_t incarnation = member.incarnation;
  at(between(random_, kSyncMin, settings_.max_sync_delay),
     [this, &member, incarnation] { endSync(member, incarnation); });
}

void CellHarness::endSync(SimulatedMember& member, std::uint64_t incarnation) {
  onMember(member, incarnation, [this, &member] {
    const std::vector<PersistEffect> writes = std::exchange(member.unsynced, {});
    member.storage->persist(writes);
    member.sync_running = false;
    handle(member, member.log->onPersisted(writes.back().sequence, localTime(member)));
  });
}

void CellHarness::deliver(const NodeName& from, const wire::SendEffect& message) {
  const std::string bytes = wire::encodeEnvelope({from, message.message});
  if (random_.chance(network_.loss)) {
    ++counts_.lost;
    return;
  }
  transmit(from, message.to, bytes);
  if (random_.chance(network_.duplication)) {
    ++counts_.duplicated;
    transmit(from, message.to, bytes);
  }
}

void CellHarness::transmit(const NodeName& from, const NodeName& to, std::string bytes) {
  const Duration longest = random_.chance(network_.long_delay) ? kLongDelayMax : kLatencyMax;
  at(between(random_, kLatencyMin, longest), [this, from, to, bytes = std::move(bytes)] {
    const auto cut_until = cuts_.find({from, to});
    SimulatedMember* receiver = findNode(to);
    if (receiver == nullptr || (cut_until != cuts_.end() && now_ < cut_until->second)) {
      return;
    }
    onMember(*receiver, receiver->incarnation, [this, receiver, bytes] {
      const wire::Envelope envelope = wire::decodeEnvelope(bytes);
      handle(*receiver, receiver->log->receive(envelope.from, envelope.message, localTime(*receiver)));
    });
  });
}

void CellHarness::checkLeases() {
  for (const auto& member : members_) {
    if (member->log && !member->paused && member->log->hasLease(localTime(*member))) {
      oracle_.onLease(member->id, member->log->term());
    }
  }
}

SimulatedMember* CellHarness::leader() {
  SimulatedMember* found = nullptr;
  for (const auto& member : members_) {
    const bool leads = member->log && !member->paused && member->log->role() == Role::Leader;
    if (leads && (found == nullptr || member->log->term() > found->log->term())) {
      found = member.get();
    }
  }
  return found;
}

SimulatedMember* CellHarness::findNode(const NodeName& node) {
  const auto found = std::find_if(members_.rbegin(), members_.rend(),
                                  [&node](const auto& member) { return member->node == node; });
  return found == members_.rend() ? nullptr : found->get();
}

std::string CellHarness::describe() const {
  std::string lines;
  for (const auto& member : members_) {
    lines += "\n  member " + std::to_string(member->id.value) + " on " + member->node.value;
    if (!member->log) {
      lines += ": stopped";
      continue;
    }
    lines += ": role " + std::to_string(static_cast<int>(member->log->role())) + ", term " +
             std::to_string(member->log->term().value) + ", committed " +
             std::to_string(member->log->committed().value) + ", last " +
             std::to_string(member->log->lastIndex().value) + ", members";
    for (const wire::Member& known : member->log->membership().members) {
      lines += " " + std::to_string(known.id.value) + (known.voter ? "v" : "l");
    }
  }
  return lines;
}

}  // namespace ferryrock::consensus
