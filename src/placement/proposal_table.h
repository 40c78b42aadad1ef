#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "common/time.h"
#include "placement/planner.h"

namespace ferryrock::placement {

/// A proposed DecideSlot that is not known to be committed or rejected.
struct PendingSlot {
  wire::Slot slot;
  CheckpointTier tier = CheckpointTier::Remote;
  TimePoint expiry{};
};

/// Lifetime of a proposal in flight. The same proposal is not repeated while it is open; without an outcome
/// it expires after this time, and the ledger's own checks reject a late commit that would violate an
/// invariant.
inline constexpr Duration kProposalLifetime = std::chrono::seconds(5);

class ProposalTable {
 public:
  void addSlot(PendingSlot pending);
  /// Removes and returns the proposal of this slot, which has been committed or rejected.
  std::optional<PendingSlot> removeSlot(const wire::Slot& slot);
  std::uint32_t slotsOf(const ModelName& model) const;
  std::uint32_t remoteSlots() const { return remote_slots_; }
  /// All open slot proposals of a model.
  std::vector<PendingSlot> openSlots(const ModelName& model) const;

  /// Returns false if a proposal of the same or a later state is already open.
  bool addState(SlotId slot, wire::SlotState state, TimePoint now);
  bool hasPendingState(SlotId slot) const { return states_.contains(slot); }
  void clearState(SlotId slot) { states_.erase(slot); }

  bool addAdapter(SlotId slot, const ModelName& adapter, TimePoint now);
  void clearAdapter(SlotId slot, const ModelName& adapter) { adapters_.erase({slot, adapter}); }
  bool hasAdapter(SlotId slot, const ModelName& adapter) const { return adapters_.contains({slot, adapter}); }

  /// Proposals that expire() removed.
  struct Expired {
    std::vector<PendingSlot> decisions;
    std::vector<SlotId> affected_slots;  ///< slots with an expired change of state or adapters
  };
  Expired expire(TimePoint now);
  std::optional<TimePoint> nextExpiry() const;

 private:
  struct PendingState {
    wire::SlotState state = wire::SlotState::Decided;
    TimePoint expiry{};
  };

  std::vector<PendingSlot> slots_;  ///< as many as loads begin within kProposalLifetime: tens
  std::map<SlotId, PendingState> states_;
  std::map<std::pair<SlotId, ModelName>, TimePoint> adapters_;
  std::uint32_t remote_slots_ = 0;
};

}  // namespace ferryrock::placement
