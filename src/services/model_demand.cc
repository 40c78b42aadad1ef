#include "services/model_demand.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::services {
namespace {

/// Time constant: an arrival's weight decays to 1/e within this time.
constexpr double kDecaySeconds = 4.0;
constexpr double kSlowDecaySeconds = 20.0;
constexpr double kMinRetainedArrivals = 0.02;

std::uint32_t addClamped(std::uint32_t value, std::uint32_t amount, int sign) {
  if (sign > 0) {
    return value + amount;
  }
  return value > amount ? value - amount : 0;
}

}  // namespace

double KeyDemand::rate() const {
  return recent_arrivals / kDecaySeconds;
}

void ModelDemand::accept(const NodeName& router, const std::vector<wire::ModelCallCounts>& model_calls,
                         TimePoint now) {
  forgetRouter(router);
  for (const wire::ModelCallCounts& counts : model_calls) {
    addCounts(counts, 1, now);
  }
  last_reports_[router] = model_calls;
}

void ModelDemand::keepRouters(const std::map<NodeName, RouterRecord>& routers) {
  std::vector<NodeName> gone;
  for (const auto& [router, model_calls] : last_reports_) {
    if (!routers.contains(router)) {
      gone.push_back(router);
    }
  }
  for (const NodeName& router : gone) {
    forgetRouter(router);
  }
}

void ModelDemand::forgetRouter(const NodeName& router) {
  const auto known = last_reports_.find(router);
  if (known == last_reports_.end()) {
    return;
  }
  for (const wire::ModelCallCounts& counts : known->second) {
    addCounts(counts, -1, TimePoint{});
  }
  last_reports_.erase(known);
}

void ModelDemand::addCounts(const wire::ModelCallCounts& counts, int sign, TimePoint now) {
  add({counts.service, counts.model, {}}, counts, sign, now);
  if (!counts.adapter.empty()) {
    add({counts.service, counts.model, counts.adapter}, counts, sign, now);
  }
}

void ModelDemand::add(const ModelKey& key, const wire::ModelCallCounts& counts, int sign, TimePoint now) {
  KeyDemand& demand = keys_[key];
  demand.waiting = addClamped(demand.waiting, counts.waiting, sign);
  demand.running = addClamped(demand.running, counts.running, sign);
  if (sign > 0) {
    demand.recent_arrivals += counts.arrivals;
    demand.long_term_arrivals += counts.arrivals;
    if (counts.waiting + counts.running + counts.arrivals > 0) {
      demand.last_demand = now;
    }
  }
}

KeyDemand ModelDemand::find(const ModelKey& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? KeyDemand{} : found->second;
}

void ModelDemand::decay(TimePoint now) {
  const double passed = toSeconds(now - decayed_at_);
  decayed_at_ = now;
  const auto kept = [passed](double decay) { return std::exp(-std::clamp(passed, 0.0, decay) / decay); };
  const double kept_recent = kept(kDecaySeconds);
  const double kept_long_term = kept(kSlowDecaySeconds);
  for (auto& [key, demand] : keys_) {
    demand.recent_arrivals *= kept_recent;
    demand.long_term_arrivals *= kept_long_term;
  }
  std::erase_if(keys_, [](const auto& item) {
    const KeyDemand& demand = item.second;
    return demand.waiting == 0 && demand.running == 0 && demand.long_term_arrivals < kMinRetainedArrivals;
  });
}

}  // namespace ferryrock::services
