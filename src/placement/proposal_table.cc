#include "placement/proposal_table.h"

#include <algorithm>

namespace ferryrock::placement {
namespace {

bool sameDecision(const wire::Slot& left, const wire::Slot& right) {
  return left.model == right.model && left.version == right.version && left.engine == right.engine &&
         left.incarnation == right.incarnation && left.accelerators == right.accelerators;
}

std::uint32_t remoteCount(const PendingSlot& pending) {
  return pending.tier == CheckpointTier::Remote ? 1 : 0;
}

}  // namespace

void ProposalTable::addSlot(PendingSlot pending) {
  remote_slots_ += remoteCount(pending);
  slots_.push_back(std::move(pending));
}

std::optional<PendingSlot> ProposalTable::removeSlot(const wire::Slot& slot) {
  const auto entry = std::find_if(slots_.begin(), slots_.end(), [&](const PendingSlot& pending) {
    return sameDecision(pending.slot, slot);
  });
  if (entry == slots_.end()) {
    return std::nullopt;
  }
  PendingSlot taken = *entry;
  remote_slots_ -= remoteCount(taken);
  slots_.erase(entry);
  return taken;
}

std::uint32_t ProposalTable::slotsOf(const ModelName& model) const {
  return static_cast<std::uint32_t>(std::count_if(
      slots_.begin(), slots_.end(), [&](const PendingSlot& pending) { return pending.slot.model == model; }));
}

std::vector<PendingSlot> ProposalTable::openSlots(const ModelName& model) const {
  std::vector<PendingSlot> result;
  std::copy_if(slots_.begin(), slots_.end(), std::back_inserter(result),
               [&](const PendingSlot& pending) { return pending.slot.model == model; });
  return result;
}

bool ProposalTable::addState(SlotId slot, wire::SlotState state, TimePoint now) {
  const auto entry = states_.find(slot);
  if (entry != states_.end() && entry->second.state >= state) {
    return false;
  }
  states_[slot] = {state, now + kProposalLifetime};
  return true;
}

bool ProposalTable::addAdapter(SlotId slot, const ModelName& adapter, TimePoint now) {
  return adapters_.emplace(std::pair{slot, adapter}, now + kProposalLifetime).second;
}

ProposalTable::Expired ProposalTable::expire(TimePoint now) {
  Expired expired;
  const auto is_open = [now](const PendingSlot& pending) { return pending.expiry > now; };
  const auto first_expired = std::stable_partition(slots_.begin(), slots_.end(), is_open);
  expired.decisions.assign(first_expired, slots_.end());
  slots_.erase(first_expired, slots_.end());
  for (const PendingSlot& pending : expired.decisions) {
    remote_slots_ -= remoteCount(pending);
  }
  std::erase_if(states_, [&](const auto& entry) {
    const bool is_expired = entry.second.expiry <= now;
    if (is_expired) {
      expired.affected_slots.push_back(entry.first);
    }
    return is_expired;
  });
  std::erase_if(adapters_, [&](const auto& entry) {
    const bool is_expired = entry.second <= now;
    if (is_expired) {
      expired.affected_slots.push_back(entry.first.first);
    }
    return is_expired;
  });
  return expired;
}

std::optional<TimePoint> ProposalTable::nextExpiry() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
  for (const PendingSlot& pending : slots_) {
    consider(pending.expiry);
  }
  for (const auto& [slot, pending] : states_) {
    consider(pending.expiry);
  }
  for (const auto& [key, expiry] : adapters_) {
    consider(expiry);
  }
  return next;
}

}  // namespace ferryrock::placement
