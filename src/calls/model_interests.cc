#include "calls/model_interests.h"

#include <algorithm>

namespace ferryrock::calls {

void ModelInterests::record(const ServiceName& service, const ModelName& model, const std::string& adapter,
                            TimePoint now) {
  last_used_[{service, model, adapter}] = now;
  if (last_used_.size() > kMaxEntries) {
    evictOldest();
  }
}

void ModelInterests::evictOldest() {
  const auto oldest =
      std::min_element(last_used_.begin(), last_used_.end(),
                       [](const auto& left, const auto& right) { return left.second < right.second; });
  last_used_.erase(oldest);
}

std::vector<wire::ModelInterest> ModelInterests::list(TimePoint now) {
  std::erase_if(last_used_, [now](const auto& item) { return now - item.second > kRetention; });
  std::vector<wire::ModelInterest> interests;
  interests.reserve(last_used_.size());
  for (const auto& [key, used] : last_used_) {
    const auto& [service, model, adapter] = key;
    interests.push_back({service, model, adapter});
  }
  return interests;
}

}  // namespace ferryrock::calls
