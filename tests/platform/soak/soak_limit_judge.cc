#include "platform/soak/soak_limit_judge.h"

namespace ferryrock::platform {

services::LimitOracle& SoakLimitJudge::of(const std::string& replica) {
  const auto [place, fresh] = replicas_.try_emplace(replica);
  if (fresh) {
    for (const Excuse& excuse : excuses_) {
      place->second.exclude(excuse.router, excuse.from, excuse.to);
    }
  }
  return place->second;
}

void SoakLimitJudge::onNamed(const std::string& service, const std::string& replica,
                             std::optional<double> per_second, TimePoint now) {
  named_ += per_second ? 1 : 0;
  of(replica).limitAnnounced(per_second, now);
  if (per_second) {
    limited_[service] = replica;
  } else {
    limited_.erase(service);
  }
}

void SoakLimitJudge::onArrived(const std::string& replica, const std::string& router, TimePoint now) {
  of(replica).callArrived(router, now);
}

void SoakLimitJudge::onTold(const std::string& replica, const std::string& router, TimePoint at) {
  of(replica).limitReceived(router, at);
}

void SoakLimitJudge::excuse(const std::string& router, TimePoint from, TimePoint to) {
  excuses_.push_back({router, from, to});
}

void SoakLimitJudge::judge() {
  for (const auto& [replica, oracle] : replicas_) {
    const int excess = oracle.excess();
    if (excess > 0) {
      verdict_.breakRule("LIMIT", replica + " got " + std::to_string(excess) +
                                      " calls in 4 s beyond what the limit that it named allows all routers");
    }
  }
}

}  // namespace ferryrock::platform
