#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/time.h"
#include "control/engine_orders.h"
#include "control/replicated_state.h"
#include "placement/planner.h"

namespace ferryrock::control {

/// What comparing an engine's state with the ledger asks for.
struct SlotNews {
  std::vector<wire::Command> commands;
  std::vector<placement::LoadObservation> loads;
};

/// Compares the slots committed on one engine with those that it holds: commands for what its state proves,
/// and the next order that brings it nearer to the ledger. Remembers what was ordered in this term, to repeat
/// it in time and to know which state proves an unload. Belongs to one incarnation of the engine.
class SlotOrders {
 public:
  /// Call with each new state of the engine read under this term's fence.
  SlotNews compare(const EngineName& engine, const EngineState& held, const ReplicatedState& state,
                   TimePoint now);
  /// The next order, without fence; nullopt: nothing to order now.
  std::optional<EngineOrder> next(const EngineName& engine, const EngineState& held,
                                  const ReplicatedState& state, TimePoint now) const;
  /// The order left with this fence.
  void sent(const EngineOrder& order, TimePoint now);
  /// The engine said that it doesn't know the slot of the unload ordered last.
  void unloadFoundNothing(wire::Fence fence);
  /// True while a state under a fence as high as fenceNeeded() would prove an unload.
  bool needsProof(const EngineState& held) const;
  void wantAdapterUnloaded(SlotId slot, const ModelName& adapter);
  /// When an order that was sent is to be repeated; nullopt: none.
  std::optional<TimePoint> repeatAt(TimePoint now) const;

 private:
  struct SentOrder {
    wire::Fence fence;
    TimePoint sent;
  };
  struct OrderKey {
    SlotId slot;
    OrderKind kind = OrderKind::Load;
    ModelName adapter;
    friend auto operator<=>(const OrderKey&, const OrderKey&) = default;  // NOLINT(modernize-use-nullptr)
  };

  void compareSlot(const wire::Slot& slot, const HeldSlot* held, const EngineState& state,
                   const ReplicatedState& replicated, TimePoint now, SlotNews& news);
  void compareAdapters(const wire::Slot& slot, const HeldSlot* held, const EngineState& state, TimePoint now,
                       SlotNews& news);
  void observeLoad(const wire::Slot& slot, const HeldSlot& held, const EngineState& state,
                   const ReplicatedState& replicated, SlotNews& news);
  void proposeState(const wire::Slot& slot, wire::SlotState wanted, wire::FreeProof proof, TimePoint now,
                    SlotNews& news);
  std::optional<EngineOrder> orderFor(const wire::Slot& slot, const HeldSlot* held,
                                      const ReplicatedState& state, TimePoint now) const;
  std::optional<EngineOrder> adapterOrder(const wire::Slot& slot, const HeldSlot& held,
                                          const ReplicatedState& state, TimePoint now) const;
  bool due(const OrderKey& key, TimePoint now) const;
  bool unloadProven(const OrderKey& key, const EngineState& held) const;
  void forgetFreedSlots(const EngineState& held, const ReplicatedState& state);

  std::map<OrderKey, SentOrder> sent_;
  std::map<std::pair<SlotId, wire::SlotState>, TimePoint> proposed_;
  std::map<std::pair<SlotId, ModelName>, TimePoint> adapter_removals_;  ///< value: last proposed
  std::set<SlotId> observed_;
  std::optional<wire::Fence> unproven_unload_;
};

}  // namespace ferryrock::control
