#include "platform/soak/soak_notice_oracle.h"

#include <algorithm>

namespace ferryrock::platform {

void SoakNoticeOracle::onSent(const std::string& id, const std::string& router, TimePoint now) {
  sent_[id] = {router, now};
}

std::string SoakNoticeOracle::routerOf(const std::string& id) const {
  const auto sent = sent_.find(id);
  return sent == sent_.end() ? std::string() : sent->second.router;
}

void SoakNoticeOracle::onArrived(const std::string& id, const std::string& replica, TimePoint now) {
  const auto sent = sent_.find(id);
  if (sent == sent_.end()) {
    return;
  }
  const std::string& router = sent->second.router;
  const Pair pair{router, replica};
  std::vector<Ask>& asks = asks_[pair];
  std::erase_if(asks, [now](const Ask& ask) { return now > ask.to; });
  for (Ask& ask : asks) {
    const bool counts = now > ask.from + kOnTheWay && !isExcused(router, ask.from, now);
    if (counts && ++ask.arrivals == kTolerated + 1) {
      std::string what = replica;
      what.append(" got three calls from ").append(router);
      what.append(" in a time for which it had asked for none, the last ").append(id);
      verdict_.breakRule("BUDGET", what);
    }
  }
  const auto leaving = leaving_.find(pair);
  if (leaving != leaving_.end() && sent->second.at > leaving->second &&
      !isExcused(router, leaving->second, now)) {
    std::string what = id;
    what.append(" was sent to ").append(router).append(" after that had passed on that ").append(replica);
    what.append(" leaves, and reached it");
    verdict_.breakRule("DRAIN", what);
  }
}

void SoakNoticeOracle::onAsked(const std::string& id, const std::string& replica, Duration duration,
                               TimePoint now) {
  const auto sent = sent_.find(id);
  if (sent != sent_.end()) {
    asks_[{sent->second.router, replica}].push_back({now, now + duration, 0});
  }
}

void SoakNoticeOracle::onLeavingHeard(const std::string& id, const std::string& replica, TimePoint now) {
  leaving_.emplace(Pair{sent_.at(id).router, replica}, now);
}

void SoakNoticeOracle::excuse(const std::string& router, TimePoint from, TimePoint to) {
  excuses_.push_back({router, from, to});
}

bool SoakNoticeOracle::isExcused(const std::string& router, TimePoint from, TimePoint to) const {
  return std::any_of(excuses_.begin(), excuses_.end(), [&](const Excuse& excuse) {
    return excuse.router == router && excuse.from <= to && from <= excuse.to;
  });
}

}  // namespace ferryrock::platform
