#include "router/admission_queue.h"

#include <utility>

namespace ferryrock::router {

AdmissionResult AdmissionQueue::admit(const QueueItem& item, const QueueLimits& service_limits) {
  static const std::set<QueueRank> kNobody;
  const auto service = services_.find(item.service);
  const bool service_waits = service != services_.end();
  const std::set<QueueRank>& same_service = service_waits ? service->second.all : kNobody;
  const Room service_room = service_waits ? Room{same_service.size(), service->second.bytes} : Room{};
  Victims victims;
  if (!makeRoom(item, same_service, service_room, service_limits, victims)) {
    return {};
  }
  Room total_room{items_.size(), bytes_};
  for (const RequestNumber number : victims) {
    --total_room.count;
    total_room.bytes -= items_.at(number).item.bytes;
  }
  if (!makeRoom(item, sheddable_, total_room, total_limits_, victims)) {
    return {};
  }
  for (const RequestNumber number : victims) {
    remove(number);
  }
  insert(item);
  return {true, {victims.begin(), victims.end()}};
}

bool AdmissionQueue::makeRoom(const QueueItem& item, const std::set<QueueRank>& candidates, Room used,
                              const QueueLimits& limits, Victims& victims) const {
  auto candidate = candidates.rbegin();
  while (used.count + 1 > limits.count || used.bytes + item.bytes > limits.bytes) {
    if (candidate == candidates.rend() || candidate->priority >= item.rank.priority) {
      return false;
    }
    const QueueItem& other = items_.at(candidate->number).item;
    if (other.sheddable && victims.insert(candidate->number).second) {
      --used.count;
      used.bytes -= other.bytes;
    }
    ++candidate;
  }
  return true;
}

void AdmissionQueue::readmit(const QueueItem& item) {
  insert(item);
}

void AdmissionQueue::insert(const QueueItem& item) {
  ServiceQueue& service = services_[item.service];
  service.all.insert(item.rank);
  service.deadlines.insert(item.rank.deadline);
  service.bytes += item.bytes;
  bytes_ += item.bytes;
  if (item.sheddable) {
    sheddable_.insert(item.rank);
  }
  items_[item.rank.number] = HeldItem{item, false};
}

void AdmissionQueue::setReady(RequestNumber number, bool ready) {
  const auto held = items_.find(number);
  if (held == items_.end()) {
    return;
  }
  held->second.ready = ready;
  ServiceQueue& service = services_.at(held->second.item.service);
  if (ready) {
    service.ready.insert(held->second.item.rank);
  } else {
    service.ready.erase(held->second.item.rank);
  }
}

void AdmissionQueue::remove(RequestNumber number) {
  const auto held = items_.find(number);
  if (held == items_.end()) {
    return;
  }
  const QueueItem& item = held->second.item;
  const auto service = services_.find(item.service);
  service->second.all.erase(item.rank);
  service->second.ready.erase(item.rank);
  service->second.deadlines.erase(service->second.deadlines.find(item.rank.deadline));
  service->second.bytes -= item.bytes;
  bytes_ -= item.bytes;
  sheddable_.erase(item.rank);
  if (service->second.all.empty()) {
    services_.erase(service);
  }
  items_.erase(held);
}

std::optional<QueueRank> AdmissionQueue::head(const ModelName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.ready.empty()) {
    return std::nullopt;
  }
  return *found->second.ready.begin();
}

std::size_t AdmissionQueue::countBefore(const ModelName& service, const QueueRank& rank,
                                        std::size_t at_most) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  std::size_t before = 0;
  for (auto waiting = found->second.all.begin(); waiting != found->second.all.end() && before < at_most;
       ++waiting) {
    if (!(*waiting < rank)) {
      break;
    }
    ++before;
  }
  return before;
}

std::vector<RequestNumber> AdmissionQueue::waitingOf(const ModelName& service) const {
  std::vector<RequestNumber> result;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return result;
  }
  for (const auto& rank : found->second.all) {
    result.push_back(rank.number);
  }
  return result;
}

std::vector<ModelName> AdmissionQueue::services() const {
  std::vector<ModelName> result;
  for (const auto& [name, queue] : services_) {
    result.push_back(name);
  }
  return result;
}

std::size_t AdmissionQueue::count(const ModelName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.all.size();
}

std::optional<TimePoint> AdmissionQueue::earliestDeadline(const ModelName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.deadlines.empty()) {
    return std::nullopt;
  }
  return *found->second.deadlines.begin();
}

}  // namespace ferryrock::router
