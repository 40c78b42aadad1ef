#include "services/model_demand.h"

#include <algorithm>
#include <cmath>

namespace ferryrock::services {
namespace {

/// Time constant: an arrival's weight decays to 1/e within this time.
constexpr double kFadeSeconds = 4.0;
constexpr double kSlowFadeSeconds = 20.0;
constexpr double kForgottenBelow = 0.02;

std::uint32_t changedBy(std::uint32_t value, std::uint32_t amount, int sign) {
  if (sign > 0) {
    return value + amount;
  }
  return value > amount ? value - amount : 0;
}

}  // namespace

double KeyDemand::rate() const {
  return recent_arrivals / kFadeSeconds;
}

void ModelDemand::accept(const NodeName& router, const std::vector<wire::ModelWant>& wants, TimePoint now) {
  forgetRouter(router);
  for (const wire::ModelWant& want : wants) {
    addWant(want, 1, now);
  }
  last_wants_[router] = wants;
}

void ModelDemand::keepRouters(const std::map<NodeName, RouterRecord>& routers) {
  std::vector<NodeName> gone;
  for (const auto& [router, wants] : last_wants_) {
    if (!routers.contains(router)) {
      gone.push_back(router);
    }
  }
  for (const NodeName& router : gone) {
    forgetRouter(router);
  }
}

void ModelDemand::forgetRouter(const NodeName& router) {
  const auto known = last_wants_.find(router);
  if (known == last_wants_.end()) {
    return;
  }
  for (const wire::ModelWant& want : known->second) {
    addWant(want, -1, TimePoint{});
  }
  last_wants_.erase(known);
}

void ModelDemand::addWant(const wire::ModelWant& want, int sign, TimePoint now) {
  add({want.service, want.model, {}}, want, sign, now);
  if (!want.adapter.empty()) {
    add({want.service, want.model, want.adapter}, want, sign, now);
  }
}

void ModelDemand::add(const ModelKey& key, const wire::ModelWant& want, int sign, TimePoint now) {
  KeyDemand& demand = keys_[key];
  demand.waiting = changedBy(demand.waiting, want.waiting, sign);
  demand.running = changedBy(demand.running, want.running, sign);
  if (sign > 0) {
    demand.recent_arrivals += want.arrivals;
    demand.lasting_arrivals += want.arrivals;
    if (want.waiting + want.running + want.arrivals > 0) {
      demand.last_wanted = now;
    }
  }
}

KeyDemand ModelDemand::find(const ModelKey& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? KeyDemand{} : found->second;
}

void ModelDemand::fade(TimePoint now) {
  const double passed = toSeconds(now - faded_);
  faded_ = now;
  const auto kept = [passed](double fade) { return std::exp(-std::clamp(passed, 0.0, fade) / fade); };
  const double kept_recent = kept(kFadeSeconds);
  const double kept_lasting = kept(kSlowFadeSeconds);
  for (auto& [key, demand] : keys_) {
    demand.recent_arrivals *= kept_recent;
    demand.lasting_arrivals *= kept_lasting;
  }
  std::erase_if(keys_, [](const auto& item) {
    const KeyDemand& demand = item.second;
    return demand.waiting == 0 && demand.running == 0 && demand.lasting_arrivals < kForgottenBelow;
  });
}

}  // namespace ferryrock::services
