#include "router/router_node_impl.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace ferryrock::router {
namespace {

/// Waiting requests are offered to replicas again this often: ejections end and slow starts proceed by
/// themselves.
constexpr Duration kDispatchRetry = std::chrono::milliseconds(20);
/// With many names less often, so that they cost a bounded share of the processor.
constexpr Duration kDispatchRetryPerName = std::chrono::microseconds(250);
/// Names that weren't asked for in this time leave the table; the longest usual keep-alive, so that what is
/// loaded for a name outlives its row only by a setting of the operator.
constexpr Duration kNameLife = std::chrono::hours(1);
/// Names are looked through this often.
constexpr Duration kUnusedCheck = std::chrono::minutes(1);
/// Streams are moved away from an engine that goes within this time.
constexpr Duration kMoveBefore = std::chrono::seconds(3);

}  // namespace

RouterNodeImpl::RouterNodeImpl(const RouterSettings& settings, const Defects& defects, TimePoint now)
    : parts_(settings, defects, now),
      timers_(parts_),
      completion_(parts_),
      admission_(parts_, timers_, completion_),
      dispatcher_(parts_, timers_),
      attempts_(parts_, timers_, admission_, completion_),
      next_unused_check_(now + kUnusedCheck),
      last_input_(now) {}

Effects RouterNodeImpl::onRequest(CallerRequest request, TimePoint now) {
  Effects effects;
  admission_.accept(std::move(request), draining_, now, effects);
  settle(now, effects);
  return effects;
}

Effects RouterNodeImpl::onCallerGone(const RequestId& id, TimePoint now) {
  Effects effects;
  Request* request = parts_.requests.find(id);
  if (request != nullptr) {
    completion_.abandon(*request, now, effects);
  }
  settle(now, effects);
  return effects;
}

Effects RouterNodeImpl::onCallerBuffer(const RequestId& id, std::size_t bytes, TimePoint now) {
  Effects effects;
  Request* request = parts_.requests.find(id);
  if (request != nullptr) {
    attempts_.onCallerBuffer(*request, bytes, now, effects);
  }
  return effects;
}

Effects RouterNodeImpl::onAdmitted(const AttemptId& attempt, TimePoint now) {
  attempts_.onAdmitted(attempt, now);
  return {};
}

Effects RouterNodeImpl::onChunk(const AttemptId& attempt, const StreamChunk& chunk, TimePoint now) {
  Effects effects;
  attempts_.onChunk(attempt, chunk, now, effects);
  settle(now, effects);
  return effects;
}

Effects RouterNodeImpl::onEnd(const AttemptId& attempt, const StreamEnd& end, TimePoint now) {
  Effects effects;
  attempts_.onEnd(attempt, end, now, effects);
  settle(now, effects);
  return effects;
}

Effects RouterNodeImpl::onFailure(const AttemptId& attempt, AttemptFailure failure, const std::string& reason,
                                  TimePoint now) {
  Effects effects;
  attempts_.onFailure(attempt, failure, reason, now, effects);
  settle(now, effects);
  return effects;
}

void RouterNodeImpl::onReportedLoad(const EngineName& engine, std::uint32_t running, std::uint32_t waiting,
                                    TimePoint now) {
  parts_.pool.onReportedLoad(engine, running, waiting, now);
}

Effects RouterNodeImpl::receive(const wire::Envelope& envelope, TimePoint now) {
  Effects effects;
  if (const auto* update = std::get_if<wire::TableUpdate>(&envelope.message)) {
    onTableUpdate(envelope.from, *update, now, effects);
  } else if (const auto* replies = std::get_if<wire::CommandReplies>(&envelope.message)) {
    onCommandReplies(envelope.from, *replies, now, effects);
  }
  settle(now, effects);
  return effects;
}

void RouterNodeImpl::onTableUpdate(const NodeName& from, const wire::TableUpdate& update, TimePoint now,
                                   Effects& effects) {
  const TableChange change = parts_.table.apply(update, now);
  parts_.link.onUpdate(from, update, change, now);
  for (const auto& name : change.changed) {
    admission_.onRowChanged(name, now, effects);
  }
}

void RouterNodeImpl::onCommandReplies(const NodeName& from, const wire::CommandReplies& replies,
                                      TimePoint now, Effects& effects) {
  const auto answers = parts_.claims.onReplies(replies, now);
  if (!answers.empty()) {
    parts_.link.onAnswer(from, now);
  }
  for (const auto& answer : answers) {
    admission_.onClaimAnswer(answer, now, effects);
  }
}

Effects RouterNodeImpl::onLeavingEngines(const std::vector<LeavingEngine>& engines, TimePoint now) {
  Effects effects;
  std::set<EngineName> names;
  leaves_at_.clear();
  for (const auto& leaving : engines) {
    names.insert(leaving.engine);
    if (leaving.leaves_in) {
      leaves_at_[leaving.engine] = now + *leaving.leaves_in;
    }
  }
  parts_.pool.setLeaving(std::move(names));
  moveFromLeaving(now, effects);
  settle(now, effects);
  return effects;
}

void RouterNodeImpl::moveFromLeaving(TimePoint now, Effects& effects) {
  std::set<EngineName> due;
  for (const auto& [engine, leaves_at] : leaves_at_) {
    if (now + kMoveBefore >= leaves_at) {
      due.insert(engine);
    }
  }
  if (due.empty()) {
    return;
  }
  for (const RequestNumber number : parts_.requests.numbers()) {
    Request* request = parts_.requests.find(number);
    if (request->attempt && due.contains(request->attempt->replica.engine)) {
      attempts_.moveAway(*request, now, effects);
    }
  }
  for (const auto& engine : due) {
    leaves_at_.erase(engine);
  }
}

Effects RouterNodeImpl::tick(TimePoint now) {
  Effects effects;
  wakeRequests(now, effects);
  watchControl(now, effects);
  moveFromLeaving(now, effects);
  forgetUnusedNames(now);
  if (now >= next_dispatch_retry_) {
    for (const auto& name : parts_.queue.services()) {
      parts_.dispatch_wanted.insert(name);
    }
  }
  settle(now, effects);
  return effects;
}

void RouterNodeImpl::forgetUnusedNames(TimePoint now) {
  // Without control nothing could bring a row back.
  if (now < next_unused_check_ || !parts_.link.available(now)) {
    return;
  }
  next_unused_check_ = now + kUnusedCheck;
  for (const auto& name : parts_.link.unusedSince(now - kNameLife)) {
    if (parts_.demand.isRunning(name) || parts_.queue.count(name) > 0) {
      continue;
    }
    parts_.table.forget(name);
    parts_.pool.setReplicas(name, {}, now);
    parts_.link.removeInterest(name, now);
  }
}

void RouterNodeImpl::wakeRequests(TimePoint now, Effects& effects) {
  for (const RequestNumber number : parts_.requests.due(now)) {
    Request* request = parts_.requests.find(number);
    if (request == nullptr) {
      continue;
    }
    if (request->attempt) {
      attempts_.onWake(*request, now, effects);
    } else {
      admission_.onWake(*request, now, effects);
    }
  }
}

void RouterNodeImpl::watchControl(TimePoint now, Effects& effects) {
  const bool available = parts_.link.available(now);
  if (control_was_available_ && !available) {
    admission_.onControlLost(now, effects);
  }
  control_was_available_ = available;
}

void RouterNodeImpl::settle(TimePoint now, Effects& effects) {
  last_input_ = now;
  dispatcher_.run(now, effects);
  for (auto& message : parts_.claims.tick(parts_.link, now)) {
    effects.emplace_back(std::move(message));
  }
  for (auto& message : parts_.link.tick(parts_.table, now)) {
    effects.emplace_back(std::move(message));
  }
  const auto waiting = [this](const ModelName& name) {
    return DemandReporter::Waiting{parts_.queue.count(name), parts_.queue.earliestDeadline(name)};
  };
  for (auto& message : parts_.demand.tick(parts_.link, waiting, now)) {
    effects.emplace_back(std::move(message));
  }
  scheduleDispatchRetry(now);
}

void RouterNodeImpl::scheduleDispatchRetry(TimePoint now) {
  if (parts_.queue.empty()) {
    next_dispatch_retry_ = TimePoint::max();
    return;
  }
  // Further inputs must not push back what is scheduled, or a busy router never comes to it.
  const bool scheduled = next_dispatch_retry_ != TimePoint::max() && next_dispatch_retry_ > now;
  if (!scheduled) {
    const auto names = static_cast<Duration::rep>(parts_.queue.serviceCount());
    next_dispatch_retry_ = now + std::max(kDispatchRetry, kDispatchRetryPerName * names);
  }
}

TimePoint RouterNodeImpl::nextDeadline() const {
  TimePoint next = std::min(parts_.requests.nextWake(), next_dispatch_retry_);
  next = std::min(
      {next, parts_.link.nextDeadline(), parts_.demand.nextDeadline(), parts_.claims.nextDeadline()});
  if (control_was_available_) {
    next = std::min(next, parts_.link.unavailableAt());
  }
  for (const auto& [engine, leaves_at] : leaves_at_) {
    next = std::min(next, leaves_at - kMoveBefore);
  }
  return next;
}

Effects RouterNodeImpl::beginDrain(TimePoint now) {
  Effects effects;
  draining_ = true;
  settle(now, effects);
  return effects;
}

bool RouterNodeImpl::drained() const {
  // Without the control cell the outcomes can't be recorded; their claims stay open and are answered as
  // unknown.
  const bool recorded = parts_.claims.pending() == 0 || !parts_.link.available(last_input_);
  return draining_ && parts_.requests.size() == 0 && recorded;
}

RouterCounts RouterNodeImpl::counts() const {
  RouterCounts counts = parts_.counts;
  counts.waiting = parts_.queue.count();
  counts.running = parts_.requests.running();
  return counts;
}

void RouterNodeImpl::restoreTable(std::string_view bytes) {
  parts_.table.restore(bytes);
  for (const auto& name : parts_.table.names()) {
    parts_.pool.setReplicas(name, parts_.table.find(name)->entry.replicas, last_input_);
    parts_.link.addInterest(name, last_input_);
  }
}

std::unique_ptr<RouterNode> createRouterNode(const RouterSettings& settings, TimePoint now) {
  return std::make_unique<RouterNodeImpl>(settings, Defects{}, now);
}

std::unique_ptr<RouterNode> createDefectiveRouterNode(const RouterSettings& settings, const Defects& defects,
                                                      TimePoint now) {
  return std::make_unique<RouterNodeImpl>(settings, defects, now);
}

}  // namespace ferryrock::router
