#pragma once

#include <map>
#include <set>
#include <utility>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::quarantine {

/// Remembers for which traits replicas began to answer calls lately. Such a trait is a poor explanation of a
/// crash if a trait without answers was there too. Bounded; the answers that are the longest ago are
/// forgotten first. Pure logic without I/O or a clock. Not thread-safe.
class AnsweredTraits {
 public:
  void record(const wire::CallFingerprint& trait, TimePoint now);
  void forget(const wire::CallFingerprint& trait);
  bool contains(const wire::CallFingerprint& trait, TimePoint now) const;
  std::size_t size() const { return answered_.size(); }

  static constexpr std::size_t kMaxTraits = 4096;
  /// As long as a suspicion lasts.
  static constexpr Duration kLifetime = std::chrono::seconds(60);

 private:
  std::map<wire::CallFingerprint, TimePoint> answered_;
  std::set<std::pair<TimePoint, wire::CallFingerprint>> by_time_;
};

}  // namespace ferryrock::quarantine
