#include "platform/soak/soak_reach_judge.h"

#include <algorithm>

namespace ferryrock::platform {

void SoakReachJudge::partition(const std::string& router, TimePoint from, TimePoint to) {
  partitions_.push_back({{router, from, to}, {}, {}});
}

void SoakReachJudge::excuse(const std::string& router, TimePoint from, TimePoint to) {
  excused_.push_back({router, from, to});
}

bool SoakReachJudge::excused(const std::string& router, TimePoint at) const {
  return std::any_of(excused_.begin(), excused_.end(), [&](const Period& period) {
    return period.router == router && at >= period.from && at < period.to;
  });
}

bool SoakReachJudge::partitionedAt(const std::string& router, TimePoint at) const {
  return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
    const Period& period = partition.period;
    return period.router == router && at >= period.from && at < period.to;
  });
}

bool SoakReachJudge::holdsUp(const std::string& router, TimePoint now) const {
  return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
    const Period& period = partition.period;
    return period.router == router && now >= period.from && now < period.to + kContactTime;
  });
}

void SoakReachJudge::onOutcome(const std::string& router, TimePoint sent, bool served) {
  if (excused(router, sent)) {
    return;
  }
  for (Partition& partition : partitions_) {
    if (sent < partition.period.from + kContactTime || sent >= partition.period.to) {
      continue;
    }
    const bool there = partition.period.router == router;
    if (!there && partitionedAt(router, sent)) {
      continue;
    }
    Counts& counts = there ? partition.there : partition.elsewhere;
    ++counts.sent;
    counts.served += served ? 1 : 0;
  }
}

void SoakReachJudge::judge() {
  for (const Partition& partition : partitions_) {
    const Counts& there = partition.there;
    const Counts& elsewhere = partition.elsewhere;
    if (there.sent == 0 || elsewhere.sent == 0) {
      continue;
    }
    ++judged_;
    const std::size_t failed = there.sent - there.served;
    const bool fewer = there.served * elsewhere.sent * 3 < elsewhere.served * there.sent * 2;
    if (fewer && failed > 10 + (there.sent + elsewhere.sent) / 50) {
      oracle_.breakRule("RECOVER", partition.period.router + " served " + std::to_string(there.served) +
                                       " of " + std::to_string(there.sent) +
                                       " while partitioned, the others " + std::to_string(elsewhere.served) +
                                       " of " + std::to_string(elsewhere.sent));
    }
  }
}

}  // namespace ferryrock::platform
