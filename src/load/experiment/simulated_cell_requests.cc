#include <algorithm>

#include "load/experiment/simulated_cell.h"

namespace ferryrock::load::experiment {

void SimulatedCell::demandChanged(std::uint32_t router) {
  if (!report_scheduled_[router]) {
    report_scheduled_[router] = true;
    schedule(now_ + settings_.report_delay, RouterReports{router});
  }
}

bool SimulatedCell::serves(const Replica& replica, std::size_t model) const {
  return replica.ready && !replica.ending && (replica.base == model || replica.adapters.contains(model));
}

bool SimulatedCell::anyServes(std::size_t model) const {
  const std::set<SlotId>& replicas = replicas_of_[trace_.models[model].base];
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](SlotId slot) { return serves(replicas_.at(slot), model); });
}

void SimulatedCell::arrive(std::size_t request) {
  const TracedRequest& traced = trace_.requests[request];
  const std::size_t model = traced.model;
  const TimePoint deadline = now_ + std::chrono::milliseconds(resolved_[model].deadline_ms);
  demand_[traced.router].onArrival(model, deadline);
  demandChanged(traced.router);
  waiting_[model].push_back(request);
  schedule(deadline, DeadlineOf{request});
  if (!anyServes(model)) {
    cold_[model].push_back(request);
    return;
  }
  if (trace_.models[model].rarely_used) {
    meter_.onServed(now_, Duration::zero());
  }
  dispatchWaiting(trace_.models[model].base);
}

bool SimulatedCell::dispatch(std::size_t request) {
  const TracedRequest& traced = trace_.requests[request];
  Replica* best = nullptr;
  SlotId best_slot;
  for (const SlotId slot : replicas_of_[trace_.models[traced.model].base]) {
    Replica& replica = replicas_.at(slot);
    const bool has_room =
        serves(replica, traced.model) && replica.running < resolved_[replica.base].concurrency;
    if (has_room && (best == nullptr || replica.running < best->running)) {
      best = &replica;
      best_slot = slot;
    }
  }
  if (best == nullptr) {
    return false;
  }
  if (best->running++ == 0) {
    meter_.addBusy(now_, best->share);
  }
  const TimePoint deadline =
      TimePoint(traced.at) + std::chrono::milliseconds(resolved_[traced.model].deadline_ms);
  demand_[traced.router].onWaitEnded(traced.model, deadline);
  demand_[traced.router].onStarted(traced.model);
  demandChanged(traced.router);
  schedule(now_ + traced.service, RequestEnds{best_slot, request});
  return true;
}

void SimulatedCell::dispatchWaiting(std::size_t base) {
  for (const std::size_t model : names_of_[base]) {
    std::deque<std::size_t>& queue = waiting_[model];
    while (!queue.empty() && dispatch(queue.front())) {
      queue.pop_front();
    }
  }
}

void SimulatedCell::onReplicaReady(const Replica& replica) {
  for (const std::size_t model : names_of_[replica.base]) {
    if (serves(replica, model)) {
      endColdStarts(model);
    }
  }
  dispatchWaiting(replica.base);
}

void SimulatedCell::endColdStarts(std::size_t model) {
  for (const std::size_t request : cold_[model]) {
    const TimePoint arrived(trace_.requests[request].at);
    if (trace_.models[model].rarely_used) {
      meter_.onServed(arrived, now_ - arrived);
    }
  }
  cold_[model].clear();
}

void SimulatedCell::handle(const RequestEnds& event) {
  const TracedRequest& traced = trace_.requests[event.request];
  demand_[traced.router].onEnded(traced.model);
  demandChanged(traced.router);
  Replica& replica = replicas_.at(event.slot);
  if (--replica.running == 0) {
    meter_.addBusy(now_, -replica.share);
  }
  unloadIfEmpty(event.slot);
  dispatchWaiting(trace_.models[traced.model].base);
}

void SimulatedCell::handle(const DeadlineOf& event) {
  const TracedRequest& traced = trace_.requests[event.request];
  std::deque<std::size_t>& queue = waiting_[traced.model];
  const auto waiting = std::find(queue.begin(), queue.end(), event.request);
  if (waiting == queue.end()) {
    return;
  }
  queue.erase(waiting);
  demand_[traced.router].onWaitEnded(traced.model, now_);
  demandChanged(traced.router);
  std::vector<std::size_t>& cold = cold_[traced.model];
  const auto entry = std::find(cold.begin(), cold.end(), event.request);
  if (entry == cold.end()) {
    return;
  }
  cold.erase(entry);
  if (trace_.models[traced.model].rarely_used) {
    meter_.onRefused(TimePoint(traced.at), now_ - TimePoint(traced.at));
  }
}

}  // namespace ferryrock::load::experiment
