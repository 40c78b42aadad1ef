#include <algorithm>

#include "placement/load_policies.h"
#include "placement/planner_impl.h"

namespace ferryrock::placement {
namespace {

/// The remaining time of an overdue load is estimated as its elapsed time divided by this.
constexpr int kOverdueDivisor = 4;
/// Expected time until a released replica has freed its memory.
constexpr Duration kExpectedUnload = std::chrono::seconds(1);
/// Expected load time of an adapter; no estimate is kept for adapters.
constexpr Duration kExpectedAdapterLoad = std::chrono::milliseconds(500);

std::string inSeconds(Duration duration) {
  const auto tenths = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + " s";
}

std::string stateName(wire::SlotState state) {
  constexpr const char* kNames[] = {"decided", "loading", "ready", "draining", "unloading", "freed"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string tierName(CheckpointTier tier) {
  constexpr const char* kNames[] = {"host memory", "the local disk", "a peer", "the weight store"};
  return kNames[static_cast<std::size_t>(tier)];
}

}  // namespace

std::optional<Duration> PlannerImpl::expectedLoad(const ModelName& name, TimePoint now) const {
  const wire::ResolvedModel* settings = settingsOf(name);
  if (settings == nullptr) {
    return std::nullopt;
  }
  const bool is_adapter = settings->is_adapter;
  const ModelName base = settings->base;
  const ModelState* state = findState(base);
  std::optional<Duration> soonest;
  const auto consider = [&soonest](Duration duration) {
    soonest = soonest ? std::min(*soonest, duration) : duration;
  };
  for (const SlotView* view : slots_.of(base)) {
    if (!isUsable(*view) || view->slot.state > wire::SlotState::Ready) {
      continue;
    }
    const auto& adapters = view->slot.adapters;
    const bool has_adapter =
        !is_adapter || std::find(adapters.begin(), adapters.end(), name) != adapters.end();
    const Duration adapter_load = has_adapter ? Duration::zero() : kExpectedAdapterLoad;
    if (view->slot.state == wire::SlotState::Ready) {
      consider(adapter_load);
      continue;
    }
    const wire::ResolvedModel* base_settings = settingsOf(base);
    const std::uint64_t bytes =
        base_settings == nullptr ? 0 : base_settings->weight_bytes * base_settings->accelerators;
    const Duration elapsed = now - view->decided_at;
    const Duration left = expectedLoadFrom(view->tier, bytes, now) - elapsed;
    consider(std::max(left, elapsed / kOverdueDivisor) + adapter_load);
  }
  if (soonest) {
    return soonest;
  }
  if (state != nullptr && state->settings) {
    const ReplicaCounts counts = countReplicas(*state);
    const bool none_free = counts.total + counts.pending >= maximumOf(*state) && counts.pending == 0;
    const bool at_maximum = none_free && counts.being_removed == 0;
    const bool no_room = state->blocked_epoch == memory_epoch_ && !isRoomBeingMade(*state, now);
    if (at_maximum || no_room) {
      return std::nullopt;
    }
    const Duration until_free = none_free ? kExpectedUnload : Duration::zero();
    const Duration until_retry =
        state->retry_at ? std::max(*state->retry_at - now, Duration::zero()) : Duration::zero();
    const Duration wait = std::max(until_free, until_retry);
    const auto queue = static_cast<double>(load_queue_.size());
    const Duration queue_delay = fromSeconds(queue / store_.rate());
    const Duration load = expectedLoadOf(*state);
    const bool on_local_tier = engines_.hasCheckpoint(base, CheckpointTier::Memory) ||
                               engines_.hasCheckpoint(base, CheckpointTier::Disk);
    return wait + (on_local_tier ? load : load + queue_delay);
  }
  const wire::ResolvedModel* base_settings = settingsOf(base);
  if (base_settings == nullptr || base_settings->max_replicas == 0) {
    return std::nullopt;
  }
  return expectedLoadFrom(CheckpointTier::Remote, base_settings->weight_bytes * base_settings->accelerators,
                          now);
}

Explanation PlannerImpl::explain(const ModelName& name, TimePoint now) const {
  Explanation explanation;
  const wire::ResolvedModel* settings = settingsOf(name);
  explanation.model = settings == nullptr ? name : settings->base;
  const ModelState* state = findState(explanation.model);
  if (state == nullptr) {
    explanation.reasons.push_back(settings == nullptr
                                      ? "The settings tree does not contain this name."
                                      : "No request for this model has arrived since this leader started.");
    return explanation;
  }
  const ReplicaCounts counts = countReplicas(*state);
  const DemandFigures demand = demand_.ofBase(state->name);
  explanation.decided = counts.total;
  auto& reasons = explanation.reasons;
  if (state->settings) {
    explanation.wanted =
        std::max({state->active ? policies_.replica_count->wanted(demand, *state->settings) : 0U,
                  state->settings->min_replicas, idleReplicas(*state, now)});
    explanation.wanted = std::min(explanation.wanted, maximumOf(*state));
    reasons.push_back("Between " + std::to_string(state->settings->min_replicas) + " and " +
                      std::to_string(state->settings->max_replicas) + " replicas are allowed; " +
                      std::to_string(demand.waiting) + " requests are waiting and " +
                      std::to_string(demand.running) + " are running, with a limit of " +
                      std::to_string(state->settings->concurrency) + " concurrent requests per replica.");
  } else {
    reasons.push_back("The settings tree no longer contains this model; its replicas are released.");
  }
  if (state->idle_since) {
    const Duration idle = now - *state->idle_since;
    std::string sentence = "The model has been idle for " + inSeconds(idle) + " and is kept for " +
                           inSeconds(state->idle_decision.keep) +
                           " according to its idle gaps and cold_start_weight";
    if (state->idle_decision.prewarm) {
      sentence +=
          "; it is prewarmed " + inSeconds(state->idle_decision.prewarm->begin) + " after its last use";
    }
    reasons.push_back(sentence + ".");
  }
  for (const SlotView* view : slots_.of(state->name)) {
    const EngineView* engine = engines_.find(view->slot.engine);
    std::string sentence = "Slot " + std::to_string(view->slot.id.value) + " (version " +
                           view->slot.version.value + ") on " + view->slot.engine.value + " is " +
                           stateName(view->slot.state);
    if (view->slot.state <= wire::SlotState::Loading) {
      sentence += ", from " + tierName(view->tier) + ", for " + inSeconds(now - view->decided_at);
    }
    if (engine == nullptr || !engine->reachable) {
      sentence += "; the engine is unreachable, so the slot stays held until it is proven to be free";
    } else if (!engine->usable()) {
      sentence += "; the engine is draining or its machine is leaving";
    }
    reasons.push_back(sentence + ".");
  }
  if (load_queue_.contains(state->name)) {
    const LoadCandidate& candidate = load_queue_.at(state->name);
    reasons.push_back("A load has waited for " + inSeconds(now - candidate.requested_since) + ", with " +
                      std::to_string(load_queue_.size()) + " models in the queue.");
    if (isLate(candidate, now)) {
      reasons.push_back("The load cannot end before the earliest deadline of the waiting requests.");
    }
  }
  if (!state->obstacle.empty()) {
    reasons.push_back("No further load begins: " + state->obstacle + ".");
  }
  if (state->rejected_version) {
    reasons.push_back("Version " + state->rejected_version->value +
                      " was rolled back because its loads failed; change the settings to try again.");
  }
  if (store_.isSlow()) {
    reasons.push_back("The weight store is currently slow.");
  }
  return explanation;
}

}  // namespace ferryrock::placement
