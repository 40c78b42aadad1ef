#include "quarantine/answered_traits.h"

namespace ferryrock::quarantine {

void AnsweredTraits::record(const wire::CallFingerprint& trait, TimePoint now) {
  forget(trait);
  answered_[trait] = now;
  by_time_.insert({now, trait});
  if (answered_.size() > kMaxTraits) {
    forget(wire::CallFingerprint(by_time_.begin()->second));
  }
}

void AnsweredTraits::forget(const wire::CallFingerprint& trait) {
  const auto found = answered_.find(trait);
  if (found != answered_.end()) {
    by_time_.erase({found->second, trait});
    answered_.erase(found);
  }
}

bool AnsweredTraits::contains(const wire::CallFingerprint& trait, TimePoint now) const {
  const auto found = answered_.find(trait);
  return found != answered_.end() && now - found->second < kLifetime;
}

}  // namespace ferryrock::quarantine
