#include "router/dispatcher.h"

#include <set>
#include <string>
#include <utility>

namespace ferryrock::router {

void Dispatcher::run(TimePoint now, Effects& effects) {
  std::set<std::pair<QueueRank, ModelName>> heads;
  const std::set<ModelName> names = std::exchange(parts_.dispatch_wanted, {});
  for (const auto& name : names) {
    if (const auto head = parts_.queue.head(name)) {
      heads.insert({*head, name});
    }
  }
  while (!heads.empty()) {
    const ModelName name = heads.begin()->second;
    heads.erase(heads.begin());
    if (!dispatchHead(name, now, effects)) {
      continue;
    }
    if (const auto head = parts_.queue.head(name)) {
      heads.insert({*head, name});
    }
  }
}

bool Dispatcher::dispatchHead(const ModelName& name, TimePoint now, Effects& effects) {
  const auto head = parts_.queue.head(name);
  const TableRow* row = parts_.table.find(name);
  if (!head || row == nullptr) {
    return false;
  }
  if (parts_.windows.of(name).full(parts_.placesOf(*row, now))) {
    return false;
  }
  Request& request = *parts_.requests.find(head->number);
  const auto slot = parts_.selector.select(row->entry, request.selection, now);
  if (!slot) {
    return false;
  }
  dispatch(request, *row, *slot, now, effects);
  return true;
}

void Dispatcher::dispatch(Request& request, const TableRow& row, SlotId slot, TimePoint now,
                          Effects& effects) {
  const wire::ResolvedModel& settings = row.entry.settings;
  parts_.removeWaiting(request, now);
  parts_.selector.onDispatched(request.selection, slot);
  parts_.pool.onDispatched(slot, now);
  parts_.windows.of(settings.name).onDispatched();
  parts_.demand.onRunning(settings.name, 1, now);
  Attempt attempt;
  attempt.id = nextAttemptId();
  attempt.replica = parts_.pool.find(slot)->endpoint;
  attempt.sent = now;
  attempt.last_progress = now;

  DispatchEffect effect;
  effect.attempt = attempt.id;
  effect.request = request.caller.id;
  effect.replica = attempt.replica;
  effect.model = settings.served.empty() ? settings.name : settings.served;
  effect.path = request.caller.path;
  effect.body = request.caller.body;
  effect.priority = request.priority;
  effect.deadline_left = timers_.latestAnswer(request) - now;
  effect.from_chunk = request.answer.nextChunk();
  effect.text_so_far = request.answer.text();
  effect.fresh_connection = !request.repeatable;
  effect.key = request.caller.key;
  effect.cache_source = std::exchange(request.cache_source, std::nullopt);

  request.phase = RequestPhase::Running;
  request.phase_since = now;
  ++request.attempts;
  parts_.requests.startAttempt(request, std::move(attempt));
  effects.emplace_back(std::move(effect));
  if (request.caller_slow) {
    effects.emplace_back(PauseEffect{request.attempt->id, true});
  }
  timers_.schedule(request, now);
}

AttemptId Dispatcher::nextAttemptId() {
  const std::string start = std::to_string(parts_.settings.incarnation);
  return AttemptId(parts_.settings.node.value + "-" + start + "-" + std::to_string(++attempts_made_));
}

}  // namespace ferryrock::router
