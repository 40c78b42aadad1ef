#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::tenancy {

/// Until when a router's catalog is proved to be the newest. A leader that hears from a majority of the
/// members, after it got a status of the router, that they still followed it proves that no change which it
/// lacks was acknowledged before that status left. The router counts from the moment at which the status
/// left, by its own clock, so that neither a delay on the way nor a frozen process stretches the proof. Used
/// by one thread.
class CatalogProof {
 public:
  /// lifetime: how long after an acknowledgement an older catalog may be obeyed; nullopt: for ever.
  explicit CatalogProof(std::optional<Duration> lifetime) : lifetime_(lifetime) {}

  void onStatusSent(std::uint64_t sequence, TimePoint now);
  /// The leader has confirmed the version after it got that status of this process; `held` is the version in
  /// force here. Ignored for a version that isn't held and for a status that wasn't sent lately.
  void onConfirmed(std::uint64_t sequence, CatalogVersion confirmed, CatalogVersion held);

  /// True while what the catalog says of keys may be obeyed.
  bool holds(TimePoint now) const { return !lifetime_ || (proved_ && now < *proved_ + *lifetime_); }
  /// When the status that the proof stands on was sent; nullopt: there is none yet.
  std::optional<TimePoint> provedAt() const { return proved_; }
  bool isNeeded() const { return lifetime_.has_value(); }

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    TimePoint at{};
  };
  std::optional<Duration> lifetime_;
  std::deque<Sent> sent_;  ///< oldest first
  std::optional<TimePoint> proved_;
};

}  // namespace ferryrock::tenancy
