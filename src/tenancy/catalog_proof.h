#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::tenancy {

/// Tracks until when a router's catalog is proven to be the newest. If a leader receives a status of the
/// router and then gets confirmation from a majority of the members that they still follow it, no change that
/// the leader lacks was acknowledged before the router sent that status. The proof starts at the time of
/// sending, on the router's own clock, so that neither network delay nor a frozen process extends it. Not
/// thread-safe.
class CatalogProof {
 public:
  /// lifetime: how long after the acknowledgement of a newer catalog an older one may still be used; nullopt:
  /// without limit.
  explicit CatalogProof(std::optional<Duration> lifetime) : lifetime_(lifetime) {}

  void onStatusSent(std::uint64_t sequence, TimePoint now);
  /// Handles the leader's confirmation of a catalog version, made after it received the status `sequence` of
  /// this process; `held` is the version in force here. Ignored if `held` is older than the confirmed
  /// version, or if no recent status has this sequence.
  void onConfirmed(std::uint64_t sequence, CatalogVersion confirmed, CatalogVersion held);

  /// True while the catalog may be used to check keys.
  bool holds(TimePoint now) const { return !lifetime_ || (proved_ && now < *proved_ + *lifetime_); }
  /// When the status was sent on which the proof is based; nullopt: there is no proof yet.
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
