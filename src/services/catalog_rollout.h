#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/router_directory.h"

namespace ferryrock::services {

/// Effect: rollout state of the newest committed catalog among the routers that are in contact with the
/// leader.
struct CatalogRolloutEffect {
  CatalogVersion version;
  std::size_t routers = 0;  ///< routers in contact with the leader
  std::size_t behind = 0;   ///< of these, routers on an older version; 0: the version is in force everywhere
  NodeName router;          ///< first router that is behind, by name; empty: none
  CatalogVersion held;      ///< version in force at that router
  Duration last_contact_age{};  ///< time since the last status of that router
  Duration since{};             ///< time since the leader learned that the version is committed
};

/// Tracks the rollout of one leader's newest catalog until it is in force at every router in contact. Used by
/// one thread.
class CatalogRollout {
 public:
  /// contact_timeout: routers whose last status is older than this are excluded from the rollout.
  explicit CatalogRollout(Duration contact_timeout) : contact_timeout_(contact_timeout) {}

  /// Returns a state to report: once when the version is in force at all routers in contact, and once a
  /// second until then. Scans the routers at most every 50 ms, and stops scanning once the rollout is
  /// complete.
  std::optional<CatalogRolloutEffect> poll(CatalogVersion version,
                                           const std::map<NodeName, RouterRecord>& routers, TimePoint now);

 private:
  CatalogRolloutEffect count(const std::map<NodeName, RouterRecord>& routers, TimePoint now) const;

  Duration contact_timeout_;
  CatalogVersion version_;
  TimePoint learned_at_{};
  bool complete_ = true;
  TimePoint next_scan_{};
  TimePoint next_report_{};
};

}  // namespace ferryrock::services
