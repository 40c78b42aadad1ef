#include "platform/soak/soak_retry_judge.h"

#include <algorithm>

namespace ferryrock::platform {

void SoakRetryJudge::onSent(const std::string& service, TimePoint now) {
  services_[service].sent.push_back(now);
}

void SoakRetryJudge::onArrived(const std::string& service, const std::string& id, TimePoint now) {
  Service& at = services_[service];
  if (!at.arrived.insert(id).second) {
    at.repeats.push_back(now);
  }
}

std::size_t SoakRetryJudge::count(const std::vector<TimePoint>& times, TimePoint from, TimePoint to) {
  return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), to) -
                                  std::lower_bound(times.begin(), times.end(), from));
}

/// Calls count in the window, in the one before it, or half a window before it, whichever holds the most.
double SoakRetryJudge::allowedFrom(const Service& service, TimePoint from) {
  const std::size_t calls =
      std::max({count(service.sent, from, from + kWindow), count(service.sent, from - kWindow, from),
                count(service.sent, from - kWindow / 2, from + kWindow / 2)});
  return kShare * static_cast<double>(calls) + kSlack;
}

void SoakRetryJudge::judge() {
  for (const auto& [name, service] : services_) {
    double worst = 0;
    for (const TimePoint from : service.repeats) {
      const auto repeats = static_cast<double>(count(service.repeats, from, from + kWindow));
      worst = std::max(worst, repeats / allowedFrom(service, from));
    }
    if (worst > 1) {
      oracle_.breakRule("BUDGET", "service " + name + " got " + std::to_string(worst) +
                                      " of the retries that are allowed in a window");
    }
    worst_use_ = std::max(worst_use_, worst);
  }
}

}  // namespace ferryrock::platform
