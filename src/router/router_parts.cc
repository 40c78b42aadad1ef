#include "router/router_parts.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

/// Bytes of a waiting request besides its body.
constexpr std::size_t kRequestOverheadBytes = 1024;
constexpr int kDemandRepeatStatusIntervals = 1;

}  // namespace

RouterParts::RouterParts(const RouterSettings& router_settings, const Defects& deliberate_defects,
                         TimePoint now)
    : settings(router_settings),
      defects(deliberate_defects),
      started(now),
      link(settings.node, settings.zone, settings.control_members, settings.incarnation,
           settings.status_interval, now),
      selector(pool, settings.zone, createBalancingPolicy(settings.balancing), Random(settings.seed)),
      queue(QueueLimits{settings.max_waiting, settings.max_waiting_bytes}),
      claims(settings.node, settings.incarnation),
      demand(settings.node, settings.demand_interval, kDemandRepeatStatusIntervals * settings.status_interval,
             now) {
  pool.ignoreLeaving(defects.ignore_leaving);
}

bool RouterParts::hasUsableReplica(const TableRow& row, TimePoint now) const {
  const auto& replicas = row.entry.replicas;
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& endpoint) {
    const Replica* replica = pool.find(endpoint.slot);
    return replica != nullptr && servesName(endpoint, row.entry.settings) && pool.takesNew(*replica, now);
  });
}

std::size_t RouterParts::placesOf(const TableRow& row, TimePoint now) const {
  const auto& replicas = row.entry.replicas;
  const auto serving = std::count_if(replicas.begin(), replicas.end(), [&](const auto& endpoint) {
    const Replica* replica = pool.find(endpoint.slot);
    return replica != nullptr && servesName(endpoint, row.entry.settings) && pool.takesNew(*replica, now);
  });
  return static_cast<std::size_t>(serving) * std::max<std::uint32_t>(1, row.entry.settings.concurrency);
}

QueueItem RouterParts::queueItem(const Request& request) const {
  QueueItem item;
  item.service = request.caller.model;
  item.rank = QueueRank{request.priority, request.deadline, request.number};
  item.bytes = request.caller.body.size() + kRequestOverheadBytes;
  item.sheddable = request.attempts == 0;
  return item;
}

void RouterParts::addWaiting(const Request& request, TimePoint now) {
  queue.readmit(queueItem(request));
  demand.onWaitingChanged(request.caller.model, now);
}

void RouterParts::removeWaiting(const Request& request, TimePoint now) {
  if (!queue.contains(request.number)) {
    return;
  }
  queue.remove(request.number);
  demand.onWaitingChanged(request.caller.model, now);
}

void RouterParts::wantDispatch(SlotId slot) {
  for (const auto& name : pool.namesOf(slot)) {
    dispatch_wanted.insert(name);
  }
}

WallMilliseconds RouterParts::wallTime(TimePoint now) const {
  return settings.wall_time_at_start + toMilliseconds(now - started);
}

}  // namespace ferryrock::router
