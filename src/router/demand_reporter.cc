#include "router/demand_reporter.h"

#include <algorithm>
#include <utility>

namespace ferryrock::router {
namespace {

/// Figures that fell to zero are told so often again, in case a message is lost.
constexpr std::uint32_t kRepeatsOfZero = 2;
/// News of running requests alone is told so many times less often than of waiting ones: placement counts
/// replicas by it, and those change in seconds.
constexpr int kCalmIntervals = 10;

}  // namespace

DemandReporter::DemandReporter(NodeName node, Duration interval, Duration repeat_interval, TimePoint now)
    : node_(std::move(node)),
      interval_(interval),
      repeat_interval_(repeat_interval),
      next_report_(now),
      next_calm_report_(now),
      next_repeat_(now + repeat_interval) {}

DemandReporter::Figures& DemandReporter::touch(const ModelName& name, TimePoint now) {
  if (!any_changed_) {
    any_changed_ = true;
    next_report_ = std::max(next_report_, now);
    next_calm_report_ = std::max(next_calm_report_, now);
  }
  touched_.insert(name);
  Figures& figures = figures_[name];
  figures.changed = true;
  return figures;
}

void DemandReporter::onArrival(const ModelName& name, TimePoint now) {
  ++touch(name, now).arrivals;
}

void DemandReporter::onRunning(const ModelName& name, int change, TimePoint now) {
  Figures& figures = touch(name, now);
  figures.running = static_cast<std::uint32_t>(std::max(0, static_cast<int>(figures.running) + change));
  figures.dispatched = figures.dispatched || change > 0;
}

void DemandReporter::onWaitingChanged(const ModelName& name, TimePoint now) {
  touch(name, now);
}

bool DemandReporter::isRunning(const ModelName& name) const {
  const auto found = figures_.find(name);
  return found != figures_.end() && found->second.running > 0;
}

TimePoint DemandReporter::nextDeadline() const {
  if (!any_changed_) {
    return next_repeat_;
  }
  return std::min(urgent_ ? next_report_ : next_calm_report_, next_repeat_);
}

void DemandReporter::lookForUrgency(const WaitingLookup& waiting) {
  for (const ModelName& name : touched_) {
    const Figures& figures = figures_.at(name);
    const std::size_t count = waiting(name).count;
    const bool served = figures.running > 0 || figures.dispatched;
    const bool asked_in_vain = count == 0 && !served && figures.arrivals > 0;
    urgent_ = urgent_ || count != figures.reported_waiting || asked_in_vain;
  }
  touched_.clear();
}

std::vector<wire::SendEffect> DemandReporter::tick(const ControlLink& link, const WaitingLookup& waiting,
                                                   TimePoint now) {
  lookForUrgency(waiting);
  const bool new_leader = link.leader() != last_leader_;
  const bool repeat = now >= next_repeat_ || new_leader;
  const bool due = any_changed_ && now >= (urgent_ ? next_report_ : next_calm_report_);
  if (!repeat && !due) {
    return {};
  }
  last_leader_ = link.leader();
  const wire::DemandReport report = makeReport(waiting, repeat, now);
  any_changed_ = false;
  urgent_ = false;
  if (repeat) {
    next_repeat_ = now + repeat_interval_;
  }
  if (report.demand.empty()) {
    return {};
  }
  next_report_ = now + interval_;
  next_calm_report_ = now + kCalmIntervals * interval_;
  std::vector<wire::SendEffect> effects;
  if (link.leader() && link.available(now)) {
    effects.push_back(wire::SendEffect{*link.leader(), report});
    return effects;
  }
  for (const auto& member : link.members()) {
    effects.push_back(wire::SendEffect{member, report});
  }
  return effects;
}

wire::DemandReport DemandReporter::makeReport(const WaitingLookup& waiting, bool repeat, TimePoint now) {
  wire::DemandReport report;
  report.router = node_;
  report.sequence = ++sequence_;
  for (auto position = figures_.begin(); position != figures_.end();) {
    Figures& figures = position->second;
    if (!figures.changed && !(repeat && figures.repeats_left > 0)) {
      ++position;
      continue;
    }
    const Waiting queue = waiting(position->first);
    wire::ModelDemand demand;
    demand.model = position->first;
    demand.waiting = static_cast<std::uint32_t>(queue.count);
    demand.running = figures.running;
    demand.arrivals = figures.arrivals;
    if (queue.earliest_deadline) {
      demand.earliest_deadline_ms = std::max<std::int64_t>(1, toMilliseconds(*queue.earliest_deadline - now));
    }
    figures.arrivals = 0;
    figures.changed = false;
    figures.dispatched = false;
    figures.reported_waiting = demand.waiting;
    report.demand.push_back(std::move(demand));
    const bool zero = queue.count == 0 && figures.running == 0;
    const bool forget = zero && figures.repeats_left == 0;
    if (!zero) {
      figures.repeats_left = kRepeatsOfZero;
    } else if (!forget) {
      --figures.repeats_left;
    }
    position = forget ? figures_.erase(position) : std::next(position);
  }
  return report;
}

}  // namespace ferryrock::router
