#pragma once

#include <map>
#include <set>
#include <vector>

#include "placement/ledger.h"
#include "placement/planner.h"

namespace ferryrock::placement {

/// The planner's last copy of a ledger slot.
struct SlotView {
  wire::Slot slot;
  CheckpointTier tier = CheckpointTier::Remote;  ///< tier from which the load is expected
  TimePoint decided_at{};
};

/// Difference between the ledger's slot and the planner's copy.
struct SlotChange {
  enum class Kind { Nothing, Added, Changed, Freed };
  Kind kind = Kind::Nothing;
  wire::Slot slot;  ///< after the change, or the last copy of a freed slot
  wire::SlotState before = wire::SlotState::Decided;
};

/// The planner's copy of the ledger's slots, used to detect changes. Operations are O(log slots).
class SlotTable {
 public:
  explicit SlotTable(const Ledger& ledger) : ledger_(ledger) {}

  /// Updates the copy from the ledger and returns the difference.
  SlotChange refresh(SlotId id, TimePoint now);
  /// Slots of an engine that are in the table or in the ledger.
  std::vector<SlotId> changedOn(const EngineName& engine) const;
  const SlotView* find(SlotId id) const;
  SlotView* find(SlotId id);
  std::vector<const SlotView*> of(const ModelName& model) const;
  /// Slots in state Decided or Loading whose checkpoint comes from the weight store.
  const std::set<SlotId>& remoteLoads() const { return remote_loads_; }
  void setTier(SlotId id, CheckpointTier tier);

 private:
  void updateRemoteLoads(const SlotView& view);

  const Ledger& ledger_;
  std::map<SlotId, SlotView> views_;
  std::map<ModelName, std::set<SlotId>> by_model_;
  std::map<EngineName, std::set<SlotId>> by_engine_;
  std::set<SlotId> remote_loads_;
};

}  // namespace ferryrock::placement
