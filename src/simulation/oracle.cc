#include "simulation/oracle.h"

#include <algorithm>
#include <utility>

namespace ferryrock::simulation {

Oracle::Oracle(EventQueue& events, Trace& trace)
    : events_(events), trace_(trace), requests_([this](const std::string& violation) { fail(violation); }) {}

void Oracle::fail(const std::string& violation) {
  if (violation_.empty()) {
    violation_ = violation;
    write("VIOLATION " + violation);
  }
}

void Oracle::write(const std::string& what) {
  trace_.write(events_.now(), "oracle", what);
}

void Oracle::LogCopy::apply(const consensus::PersistEffect& write) {
  if (write.snapshot) {
    compacted = std::max(compacted, write.snapshot->last_index);
    entries.erase(entries.begin(), entries.upper_bound(compacted));
  }
  if (write.truncate_from) {
    entries.erase(entries.lower_bound(*write.truncate_from), entries.end());
  }
  for (const wire::LogEntry& entry : write.entries) {
    entries[entry.index] = entry;
  }
}

void Oracle::onRecovered(MemberId member, const consensus::RecoveredState& recovered) {
  MemberLog& log = logs_[member];
  log.memory = {};
  log.memory.compacted = recovered.snapshot ? recovered.snapshot->last_index : LogIndex{};
  for (const wire::LogEntry& entry : recovered.entries) {
    // A write that died after its sync is on the disk though nobody was told.
    synced_[{entry.index, entry.term}].insert(member);
    log.memory.entries[entry.index] = entry;
  }
  log.compacted_on_disk = log.memory.compacted;
  log.committed = log.memory.compacted;
  log.version = {};
}

void Oracle::onAppended(MemberId member, const consensus::PersistEffect& write) {
  // A member that compacts what it has committed keeps its entries here, so that they are still compared.
  LogCopy& memory = logs_[member].memory;
  consensus::PersistEffect without_own_snapshot = write;
  if (write.snapshot && memory.entries.contains(write.snapshot->last_index) &&
      memory.entries[write.snapshot->last_index].term == write.snapshot->last_term) {
    memory.compacted = std::max(memory.compacted, write.snapshot->last_index);
    without_own_snapshot.snapshot.reset();
  }
  memory.apply(without_own_snapshot);
}

void Oracle::onPersisted(MemberId member, const consensus::PersistEffect& write) {
  if (write.snapshot) {
    LogIndex& compacted = logs_[member].compacted_on_disk;
    compacted = std::max(compacted, write.snapshot->last_index);
  }
  for (const wire::LogEntry& entry : write.entries) {
    synced_[{entry.index, entry.term}].insert(member);
  }
}

void Oracle::onCommitted(MemberId member, LogIndex committed) {
  MemberLog& log = logs_[member];
  while (log.committed < committed && !failed()) {
    const LogIndex index = log.committed.next();
    log.committed = index;
    const std::string name =
        "member " + std::to_string(member.value) + " commits entry " + std::to_string(index.value);
    const auto found = log.memory.entries.find(index);
    if (found == log.memory.entries.end() && index <= log.memory.compacted) {
      continue;
    }
    if (found == log.memory.entries.end()) {
      fail(name + " without holding it");
      return;
    }
    const auto known = committed_.entryAt(index);
    if (known && *known != CommittedState::identityOf(found->second)) {
      fail(name + " otherwise than another member");
    } else if (!known && index == committed_.lastIndex().next()) {
      commit(found->second);
    } else if (!known) {
      fail(name + " before an entry in front of it");
    }
  }
}

void Oracle::checkDurable(const wire::LogEntry& entry) {
  constexpr std::size_t kMajority = 2;  // of three members; a fourth one while one is replaced needs more
  const std::set<MemberId>& synced = synced_[{entry.index, entry.term}];
  const auto disks =
      static_cast<std::size_t>(std::count_if(logs_.begin(), logs_.end(), [&synced, &entry](const auto& item) {
        return synced.contains(item.first) || item.second.compacted_on_disk >= entry.index;
      }));
  if (disks < kMajority) {
    fail("entry " + std::to_string(entry.index.value) + " is committed on " + std::to_string(disks) +
         " disks");
  }
}

void Oracle::commit(const wire::LogEntry& entry) {
  checkDurable(entry);
  const TreeVersion before = committed_.treeVersion();
  if (const auto violation = committed_.commit(entry)) {
    fail(*violation);
    return;
  }
  write("committed " + std::to_string(entry.index.value) + " of term " + std::to_string(entry.term.value));
  for (const SlotId freed : committed_.lastFreed()) {
    if (held_.contains(freed)) {
      fail("slot " + std::to_string(freed.value) + " was freed while " + held_[freed].engine.value +
           " holds it");
    }
  }
  if (committed_.treeVersion() != before && new_version_) {
    new_version_(committed_.treeVersion());
  }
}

void Oracle::onControlVersion(MemberId member, TreeVersion version) {
  MemberLog& log = logs_[member];
  if (version < log.version) {
    fail("member " + std::to_string(member.value) + " went back from tree version " +
         std::to_string(log.version.value) + " to " + std::to_string(version.value));
  }
  log.version = version;
}

void Oracle::onRouterVersion(const NodeName& router, TreeVersion version) {
  TreeVersion& known = router_versions_[router];
  if (version < known) {
    fail("router " + router.value + " went back from tree version " + std::to_string(known.value) + " to " +
         std::to_string(version.value));
  }
  if (version > committed_.treeVersion()) {
    fail("router " + router.value + " has tree version " + std::to_string(version.value) +
         ", which isn't committed");
  }
  known = version;
  newest_router_version_ = std::max(newest_router_version_, version);
}

void Oracle::onChangeAnswered(const ChangeId& change, const wire::CommandResult& result) {
  if (result.code == ResultCode::NotLeader || result.code == ResultCode::NoQuorum) {
    return;
  }
  const auto [known, first] = told_.try_emplace(change, result);
  if (!first && (known->second.code != result.code || known->second.tree_version != result.tree_version)) {
    fail("change " + change.value + " had two outcomes");
  }
  const auto outcome = committed_.changeOutcome(change);
  if (!outcome) {
    fail("change " + change.value + " was answered but isn't committed");
  } else if (outcome->code != result.code || outcome->version != result.tree_version) {
    fail("change " + change.value + " was answered with " + std::to_string(static_cast<int>(result.code)) +
         " but came to " + std::to_string(static_cast<int>(outcome->code)));
  }
}

void Oracle::onEngineStarted(const emulator::EngineSettings& settings, Incarnation incarnation) {
  engines_[settings.name] = settings;
  write(settings.name.value + " starts with incarnation " + std::to_string(incarnation.value));
}

void Oracle::onEngineDied(const EngineName& engine) {
  std::erase_if(held_, [&engine](const auto& item) { return item.second.engine == engine; });
}

void Oracle::onOrder(const EngineName& engine, const control::EngineOrder& order) {
  write(engine.value + " gets order " + std::to_string(static_cast<int>(order.kind)) + " for slot " +
        std::to_string(order.slot.value) + " with fence " + std::to_string(order.fence.term.value) + "/" +
        std::to_string(order.fence.sequence));
}

void Oracle::onJournal(const EngineName& engine, Incarnation incarnation,
                       const emulator::JournalRecord& record) {
  if (const auto* begin = std::get_if<emulator::HoldBeginRecord>(&record)) {
    onHoldBegin(engine, incarnation, *begin);
  } else if (const auto* end = std::get_if<emulator::HoldEndRecord>(&record)) {
    held_.erase(end->slot);
  } else if (const auto* adapter = std::get_if<emulator::AdapterBeginRecord>(&record)) {
    held_[adapter->slot].adapters[adapter->adapter] = adapter->bytes;
    checkMemory(engine);
  } else if (const auto* adapter_end = std::get_if<emulator::AdapterEndRecord>(&record)) {
    const auto found = held_.find(adapter_end->slot);
    if (found != held_.end()) {
      found->second.adapters.erase(adapter_end->adapter);
    }
  } else if (const auto* run = std::get_if<emulator::RunBeginRecord>(&record)) {
    requests_.onRunBegin(engine, *run);
  }
}

void Oracle::onHoldBegin(const EngineName& engine, Incarnation incarnation,
                         const emulator::HoldBeginRecord& record) {
  const HeldReplica held{engine, incarnation, record.model, record, {}};
  if (held_.contains(record.slot)) {
    fail("slot " + std::to_string(record.slot.value) + " is held twice");
  }
  held_[record.slot] = held;
  checkHeldAgainstDecided(held);
  checkMemory(engine);
}

void Oracle::checkHeldAgainstDecided(const HeldReplica& held) {
  const std::string name = "slot " + std::to_string(held.hold.slot.value) + " on " + held.engine.value;
  const auto decided = committed_.ledger().slots().find(held.hold.slot);
  if (decided == committed_.ledger().slots().end() || decided->second.state == wire::SlotState::Freed) {
    fail(name + " is loaded but not decided");
    return;
  }
  const wire::Slot& slot = decided->second;
  if (slot.engine != held.engine || slot.incarnation != held.incarnation || slot.model != held.model ||
      slot.bytes_per_accelerator < held.hold.bytes_per_accelerator) {
    fail(name + " is loaded otherwise than decided");
  }
}

void Oracle::checkMemory(const EngineName& engine) {
  const emulator::EngineSettings& settings = engines_[engine];
  std::map<std::uint32_t, std::uint64_t> bytes;
  for (const auto& [slot, held] : held_) {
    if (held.engine != engine) {
      continue;
    }
    std::uint64_t each = held.hold.bytes_per_accelerator;
    for (const auto& [adapter, adapter_bytes] : held.adapters) {
      each += adapter_bytes;
    }
    for (const std::uint32_t accelerator : held.hold.accelerators) {
      bytes[accelerator] += each;
    }
  }
  for (const auto& [accelerator, held_bytes] : bytes) {
    if (held_bytes > settings.bytes_per_accelerator) {
      fail(engine.value + " overcommits accelerator " + std::to_string(accelerator));
    }
  }
}

}  // namespace ferryrock::simulation
