#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "load/audit_parts.h"
#include "load/holds.h"

/// Checks of the replicas that engines held against those that control decided.
namespace ferryrock::load {

namespace {

void add(AuditReport& report, const Hold& hold, const std::string& detail) {
  report.offenders.push_back({Offence::HeldUndecided,
                              "slot " + std::to_string(hold.slot) + " of " + hold.model + " on " +
                                  hold.engine + "." + std::to_string(hold.incarnation),
                              detail + " (" + hold.place + ")"});
}

/// A slot is one replica on one engine incarnation; held again or elsewhere, it is a replica that nobody
/// decided.
void checkUniqueSlots(const std::vector<Hold>& holds, AuditReport& report) {
  std::map<std::uint64_t, const Hold*> first;
  for (const Hold& hold : holds) {
    const auto [seen, inserted] = first.emplace(hold.slot, &hold);
    if (!inserted) {
      add(report, hold, "the slot was held before, at " + seen->second->place);
    }
  }
}

void checkDecided(const std::vector<Hold>& holds, const std::vector<SlotDecision>& decisions,
                  AuditReport& report) {
  std::map<std::uint64_t, const SlotDecision*> by_slot;
  for (const SlotDecision& decision : decisions) {
    by_slot.emplace(decision.slot, &decision);
  }
  for (const Hold& hold : holds) {
    const auto found = by_slot.find(hold.slot);
    if (found == by_slot.end()) {
      add(report, hold, "no decision names the slot");
      continue;
    }
    const SlotDecision& decision = *found->second;
    if (decision.model != hold.model || decision.engine != hold.engine ||
        decision.incarnation != hold.incarnation) {
      add(report, hold,
          "it was decided for " + decision.model + " on " + decision.engine + "." +
              std::to_string(decision.incarnation));
    } else if (decision.wall_ms > hold.begin_ms) {
      add(report, hold,
          "it was held " + std::to_string(decision.wall_ms - hold.begin_ms) + " ms before its decision");
    }
  }
}

/// Longest time between a decision and the moment its engine holds the replica; a limit that was lowered in
/// between doesn't make the replica wrong.
constexpr WallMilliseconds kDecisionToHoldMs = 30'000;

/// The highest limit in force within [from, to].
std::uint32_t limitWithin(const std::vector<ReplicaLimit>& limits, WallMilliseconds from,
                          WallMilliseconds to) {
  std::uint32_t highest = 0;
  std::uint32_t in_force = 0;
  for (const ReplicaLimit& limit : limits) {
    if (limit.wall_ms <= from) {
      in_force = limit.max_replicas;
    } else if (limit.wall_ms <= to) {
      highest = std::max(highest, limit.max_replicas);
    }
  }
  return std::max(highest, in_force);
}

void checkModelLimit(const std::vector<const Hold*>& holds, const std::vector<ReplicaLimit>& limits,
                     AuditReport& report) {
  for (const Hold* hold : holds) {
    const auto held = std::count_if(holds.begin(), holds.end(), [hold](const Hold* other) {
      return other->begin_ms <= hold->begin_ms && other->end_ms > hold->begin_ms;
    });
    const std::uint32_t limit = limitWithin(limits, hold->begin_ms - kDecisionToHoldMs, hold->begin_ms);
    if (static_cast<std::uint64_t>(held) > limit) {
      add(report, *hold,
          std::to_string(held) + " replicas held at once, the limit is " + std::to_string(limit));
    }
  }
}

void checkLimits(const std::vector<Hold>& holds, const std::vector<ReplicaLimit>& limits,
                 AuditReport& report) {
  std::map<std::string, std::vector<const Hold*>> holds_of;
  for (const Hold& hold : holds) {
    holds_of[hold.model].push_back(&hold);
  }
  std::map<std::string, std::vector<ReplicaLimit>> limits_of;
  for (const ReplicaLimit& limit : limits) {
    limits_of[limit.model].push_back(limit);
  }
  for (const auto& [model, held] : holds_of) {
    checkModelLimit(held, limits_of[model], report);
  }
}

}  // namespace

void auditReplicas(const AuditInput& input, AuditReport& report) {
  std::vector<Hold> holds;
  for (const EngineJournal& journal : input.journals) {
    const std::vector<Hold> found = holdsOf(journal, input.faults);
    holds.insert(holds.end(), found.begin(), found.end());
  }
  std::stable_sort(holds.begin(), holds.end(),
                   [](const Hold& left, const Hold& right) { return left.begin_ms < right.begin_ms; });
  report.counts.replicas_held = holds.size();
  checkUniqueSlots(holds, report);
  if (!input.decisions) {
    return;
  }
  report.counts.slots_decided = input.decisions->slots.size();
  if (!input.decisions->slots.empty()) {
    checkDecided(holds, input.decisions->slots, report);
  }
  if (!input.decisions->limits.empty()) {
    checkLimits(holds, input.decisions->limits, report);
  }
}

}  // namespace ferryrock::load
