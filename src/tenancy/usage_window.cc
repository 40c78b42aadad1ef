#include "tenancy/usage_window.h"

#include <algorithm>

namespace ferryrock::tenancy {
namespace {

TimePoint slotEnd(TimePoint at) {
  const auto slots = at.time_since_epoch() / UsageWindow::kSlot;
  return TimePoint((slots + 1) * UsageWindow::kSlot);
}

}  // namespace

void UsageWindow::add(double amount, TimePoint at, TimePoint now) {
  expire(now);
  const TimePoint end = slotEnd(at);
  if (end + window_ <= now) {
    return;
  }
  const auto place = std::lower_bound(slots_.begin(), slots_.end(), end,
                                      [](const Slot& slot, TimePoint time) { return slot.end < time; });
  if (place != slots_.end() && place->end == end) {
    place->amount += amount;
  } else {
    slots_.insert(place, {end, amount});
  }
  sum_ += amount;
}

void UsageWindow::refund(double amount, TimePoint now) {
  expire(now);
  double left = std::min(amount, sum_);
  sum_ -= left;
  while (left > 0 && !slots_.empty()) {
    const double taken = std::min(left, slots_.front().amount);
    slots_.front().amount -= taken;
    left -= taken;
    if (slots_.front().amount <= 0) {
      slots_.pop_front();
    }
  }
}

double UsageWindow::sum(TimePoint now) {
  expire(now);
  return sum_;
}

TimePoint UsageWindow::timeOfDecrease(double amount, TimePoint now) {
  expire(now);
  double decrease = 0;
  TimePoint at = now;
  for (const Slot& slot : slots_) {
    if (decrease >= amount) {
      break;
    }
    decrease += slot.amount;
    at = slot.end + window_;
  }
  return at;
}

void UsageWindow::expire(TimePoint now) {
  while (!slots_.empty() && slots_.front().end + window_ <= now) {
    sum_ -= slots_.front().amount;
    slots_.pop_front();
  }
  if (slots_.empty()) {
    sum_ = 0;
  }
}

}  // namespace ferryrock::tenancy
