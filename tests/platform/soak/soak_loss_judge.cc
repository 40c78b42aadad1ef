#include "platform/soak/soak_loss_judge.h"

#include <algorithm>

namespace ferryrock::platform {

void SoakLossJudge::excuse(const std::string& router, TimePoint from, TimePoint to) {
  excuses_.push_back({router, from, to});
}

void SoakLossJudge::onSent(const std::string& id, const std::string& router, TimePoint now) {
  open_.insert_or_assign(id, Sent{router, now});
}

void SoakLossJudge::onRun(const std::string& id) {
  const auto sent = open_.find(id);
  if (sent != open_.end()) {
    sent->second.ran = true;
  }
}

void SoakLossJudge::onAnswered(const std::string& id) {
  open_.erase(id);
}

void SoakLossJudge::onCut(const std::string& id, TimePoint now) {
  const auto sent = open_.find(id);
  if (sent == open_.end()) {
    return;
  }
  const bool read = sent->second.ran || now - sent->second.at > kCrossing;
  if (read && !isExcused(sent->second, now)) {
    verdict_.breakRule("LOST", id + " was cut off by " + sent->second.router + " after " +
                                   std::to_string(toMilliseconds(now - sent->second.at)) + " ms");
  }
  open_.erase(sent);
}

void SoakLossJudge::onHeld(const std::string& id, TimePoint now) {
  const auto sent = open_.find(id);
  if (sent == open_.end()) {
    return;
  }
  if (!isExcused(sent->second, now)) {
    verdict_.breakRule("HELD", id + " got no answer of " + sent->second.router + " within " +
                                   std::to_string(toMilliseconds(now - sent->second.at)) + " ms");
  }
  open_.erase(sent);
}

bool SoakLossJudge::isExcused(const Sent& sent, TimePoint now) const {
  return std::any_of(excuses_.begin(), excuses_.end(), [&](const Excuse& excuse) {
    return excuse.router == sent.router && sent.at <= excuse.to && now >= excuse.from;
  });
}

}  // namespace ferryrock::platform
