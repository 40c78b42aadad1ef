#include "calls/retry_budget.h"

namespace ferryrock::calls {
namespace {

/// Safety factor: the windows of different routers, and of observers that count retries, don't start at the
/// same time.
constexpr double kSafetyFactor = 0.7;

}  // namespace

void RetryBudget::drop(std::deque<TimePoint>& times, TimePoint now) const {
  while (!times.empty() && now - times.front() > settings_.window) {
    times.pop_front();
  }
}

RetryBudget::Window& RetryBudget::current(const ServiceName& service, TimePoint now) {
  Window& window = windows_[service];
  drop(window.calls, now);
  drop(window.retries, now);
  return window;
}

void RetryBudget::onCall(const ServiceName& service, TimePoint now) {
  current(service, now).calls.push_back(now);
}

bool RetryBudget::hasRoom(const Window& window) const {
  return static_cast<double>(window.retries.size()) + 1 <= allowed(window);
}

bool RetryBudget::allows(const ServiceName& service, TimePoint now) {
  return hasRoom(current(service, now));
}

bool RetryBudget::spend(const ServiceName& service, TimePoint now) {
  Window& window = current(service, now);
  if (!hasRoom(window)) {
    return false;
  }
  window.retries.push_back(now);
  return true;
}

void RetryBudget::refund(const ServiceName& service) {
  std::deque<TimePoint>& retries = windows_[service].retries;
  if (!retries.empty()) {
    retries.pop_back();
  }
}

double RetryBudget::allowed(const Window& window) const {
  const double own_share = settings_.share * static_cast<double>(window.calls.size());
  return kSafetyFactor * (own_share + settings_.slack / routers_);
}

RetryUsage RetryBudget::usage(const ServiceName& service, TimePoint now) {
  const Window& window = current(service, now);
  return {window.calls.size(), window.retries.size(), allowed(window), routers_};
}

}  // namespace ferryrock::calls
