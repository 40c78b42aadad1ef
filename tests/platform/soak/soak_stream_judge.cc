#include "platform/soak/soak_stream_judge.h"

namespace ferryrock::platform {

void SoakStreamJudge::onReplica(const std::string& version, bool serves) {
  serving_[version] += serves ? 1 : -1;
}

void SoakStreamJudge::onNew(bool began) {
  ++new_;
  began_ += began ? 1 : 0;
}

bool SoakStreamJudge::mayGoOn(const std::string& stream) const {
  const auto versions = versions_.find(stream);
  if (versions == versions_.end() || versions->second.empty()) {
    return false;
  }
  const auto serving = serving_.find(*versions->second.begin());
  return serving != serving_.end() && serving->second >= 2;
}

void SoakStreamJudge::onTakenUp(bool went_on) {
  ++taken_up_;
  went_on_ += went_on ? 1 : 0;
}

void SoakStreamJudge::onEvent(const std::string& stream, const std::string& version) {
  std::set<std::string>& versions = versions_[stream];
  if (versions.insert(version).second && versions.size() == 2) {
    ++mixed_;
  }
}

void SoakStreamJudge::judge() {
  if (mixed_ > kMaxMixed) {
    oracle_.breakRule("ORDER", std::to_string(mixed_) + " streams hold events of two software versions");
  }
  const double new_share = new_ == 0 ? 0 : static_cast<double>(began_) / static_cast<double>(new_);
  const double share = taken_up_ == 0 ? 1 : static_cast<double>(went_on_) / static_cast<double>(taken_up_);
  if (taken_up_ >= kMinTakenUp && share < new_share / 2) {
    oracle_.breakRule("LOST", std::to_string(went_on_) + " of " + std::to_string(taken_up_) +
                                  " streams that were taken up went on");
  }
}

}  // namespace ferryrock::platform
