#include "tenancy/usage_window.h"

#include <algorithm>

namespace ferryrock::tenancy {

TimePoint UsageWindow::slotEnd(TimePoint at) const {
  const auto slots = at.time_since_epoch() / slot_;
  return TimePoint((slots + 1) * slot_);
}

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
      slots_.erase(slots_.begin());
    }
  }
}

double UsageWindow::sum(TimePoint now) {
  expire(now);
  return sum_;
}

double UsageWindow::sumSince(TimePoint begin, TimePoint now) {
  expire(now);
  double sum = 0;
  for (const Slot& slot : slots_) {
    sum += slot.end > begin ? slot.amount : 0;
  }
  return sum;
}

void UsageWindow::expire(TimePoint now) {
  auto kept = slots_.begin();
  while (kept != slots_.end() && kept->end + window_ <= now) {
    sum_ -= kept->amount;
    ++kept;
  }
  slots_.erase(slots_.begin(), kept);
  if (slots_.empty()) {
    sum_ = 0;
  }
}

}  // namespace ferryrock::tenancy
