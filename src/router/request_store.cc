#include "router/request_store.h"

#include <algorithm>
#include <utility>

#include "common/error.h"

namespace ferryrock::router {

Request& RequestStore::add(CallerRequest caller, TimePoint now) {
  if (by_id_.contains(caller.id)) {
    throw Error(ResultCode::Internal, "the request identifier '" + caller.id.value + "' is in use");
  }
  const RequestNumber number = next_number_++;
  auto request = std::make_unique<Request>();
  request->number = number;
  request->caller = std::move(caller);
  request->arrived = now;
  request->phase_since = now;
  by_id_[request->caller.id] = number;
  Held& held = requests_[number];
  held.request = std::move(request);
  return *held.request;
}

Request* RequestStore::find(RequestNumber number) {
  const auto position = requests_.find(number);
  return position == requests_.end() ? nullptr : position->second.request.get();
}

Request* RequestStore::find(const RequestId& id) {
  const auto position = by_id_.find(id);
  return position == by_id_.end() ? nullptr : find(position->second);
}

Request* RequestStore::findByAttempt(const AttemptId& attempt) {
  const auto position = attempts_.find(attempt);
  return position == attempts_.end() ? nullptr : find(position->second);
}

void RequestStore::startAttempt(Request& request, Attempt attempt) {
  attempts_[attempt.id] = request.number;
  request.attempt = std::move(attempt);
}

void RequestStore::endAttempt(Request& request, bool forget) {
  if (forget) {
    attempts_.erase(request.attempt->id);
  }
  request.attempt.reset();
}

void RequestStore::remove(RequestNumber number) {
  const auto position = requests_.find(number);
  if (position == requests_.end()) {
    return;
  }
  wakes_.erase({position->second.wake_at, number});
  by_id_.erase(position->second.request->caller.id);
  if (position->second.request->attempt) {
    attempts_.erase(position->second.request->attempt->id);
  }
  requests_.erase(position);
}

void RequestStore::wakeAt(RequestNumber number, TimePoint time) {
  const auto position = requests_.find(number);
  if (position == requests_.end() || position->second.wake_at == time) {
    return;
  }
  wakes_.erase({position->second.wake_at, number});
  position->second.wake_at = time;
  if (time != TimePoint::max()) {
    wakes_.insert({time, number});
  }
}

std::vector<RequestNumber> RequestStore::due(TimePoint now) {
  std::vector<RequestNumber> numbers;
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    const RequestNumber number = wakes_.begin()->second;
    wakes_.erase(wakes_.begin());
    requests_.at(number).wake_at = TimePoint::max();
    numbers.push_back(number);
  }
  return numbers;
}

TimePoint RequestStore::nextWake() const {
  return wakes_.empty() ? TimePoint::max() : wakes_.begin()->first;
}

std::vector<RequestNumber> RequestStore::numbers() const {
  std::vector<RequestNumber> result;
  result.reserve(requests_.size());
  for (const auto& [number, held] : requests_) {
    result.push_back(number);
  }
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace ferryrock::router
