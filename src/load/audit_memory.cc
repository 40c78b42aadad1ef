#include <map>
#include <string>
#include <vector>

#include "load/audit_parts.h"

/// Checks of the memory held on each accelerator.
namespace ferryrock::load {

namespace {

struct HeldSlot {
  std::vector<std::uint32_t> accelerators;
  std::uint64_t replica_bytes = 0;
  std::map<std::string, std::uint64_t> adapter_bytes;

  std::uint64_t bytes() const {
    std::uint64_t sum = replica_bytes;
    for (const auto& [adapter, bytes] : adapter_bytes) {
      sum += bytes;
    }
    return sum;
  }
};

/// What one engine incarnation holds while its journal is followed.
class EngineMemory {
 public:
  EngineMemory(std::string engine, AuditReport& report) : engine_(std::move(engine)), report_(report) {}

  void add(const JournalEvent& event) {
    switch (event.kind) {
      case JournalEventKind::Start:
        slots_.clear();
        capacity_bytes_ = event.capacity_bytes;
        accelerator_count_ = event.accelerator_count;
        break;
      case JournalEventKind::HoldBegin:
        slots_[event.slot] = {event.accelerators, event.bytes, {}};
        check(event);
        break;
      case JournalEventKind::HoldEnd:
        slots_.erase(event.slot);
        break;
      case JournalEventKind::AdapterBegin:
        slots_[event.slot].adapter_bytes[event.adapter] = event.bytes;
        check(event);
        break;
      case JournalEventKind::AdapterEnd:
        slots_[event.slot].adapter_bytes.erase(event.adapter);
        break;
      default:
        break;
    }
  }

 private:
  /// Checks the accelerators of the slot that just grew.
  void check(const JournalEvent& event) {
    for (const std::uint32_t accelerator : slots_[event.slot].accelerators) {
      const std::uint64_t held = heldOn(accelerator);
      if (accelerator >= accelerator_count_) {
        offend(accelerator, "the engine has " + std::to_string(accelerator_count_) + " accelerators", event);
      } else if (held > capacity_bytes_) {
        offend(accelerator, std::to_string(held) + " bytes held of " + std::to_string(capacity_bytes_),
               event);
      }
    }
  }

  std::uint64_t heldOn(std::uint32_t accelerator) const {
    std::uint64_t sum = 0;
    for (const auto& [slot, held] : slots_) {
      for (const std::uint32_t used : held.accelerators) {
        sum += used == accelerator ? held.bytes() : 0;
      }
    }
    return sum;
  }

  void offend(std::uint32_t accelerator, const std::string& detail, const JournalEvent& event) {
    report_.offenders.push_back({Offence::MemoryOvercommitted,
                                 "accelerator " + std::to_string(accelerator) + " of " + engine_,
                                 detail + " at " + std::to_string(event.wall_ms) + " (" + event.place + ")"});
  }

  std::string engine_;
  AuditReport& report_;
  std::uint64_t capacity_bytes_ = 0;
  std::uint32_t accelerator_count_ = 0;
  std::map<std::uint64_t, HeldSlot> slots_;
};

}  // namespace

void auditMemory(const AuditInput& input, AuditReport& report) {
  for (const EngineJournal& journal : input.journals) {
    EngineMemory memory(journal.engine, report);
    for (const JournalEvent& event : journal.events) {
      memory.add(event);
    }
  }
}

}  // namespace ferryrock::load
