#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/time.h"
#include "wire/messages.h"

namespace ferryrock::control {

/// What a member knows of one router, from the router's own statuses.
struct RouterRecord {
  NodeName router;
  ZoneName zone;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  TreeVersion tree_version;
  LogIndex revision;
  std::uint64_t digest = 0;
  std::set<ModelName> interests;
  bool interests_known = false;  ///< false after a gap in the statuses, until the router sends all interests
  TimePoint last_heard;
};

/// What a status changed.
struct StatusNews {
  bool restarted = false;  ///< first status of this router or of its new incarnation
  bool replaced = false;   ///< a new incarnation of a router that was known
  std::vector<ModelName> added;
  std::vector<ModelName> removed;
};

/// Which routers live, what they hold and what they are interested in. Every member keeps one, so that a new
/// leader knows the routers at once.
class RouterRegistry {
 public:
  /// nullopt: an older status that came late; nothing changed.
  std::optional<StatusNews> accept(const wire::RouterStatus& status, TimePoint now);
  /// Forgets routers that were not heard since before; returns them.
  std::vector<NodeName> removeSilentSince(TimePoint before);
  /// When the router that was silent for longest was last heard.
  std::optional<TimePoint> oldestHeard() const;

  const std::map<NodeName, RouterRecord>& routers() const { return routers_; }
  const RouterRecord* find(const NodeName& router) const;

 private:
  void hear(RouterRecord& record, TimePoint now);

  std::map<NodeName, RouterRecord> routers_;
  std::set<std::pair<TimePoint, NodeName>> by_last_heard_;
};

}  // namespace ferryrock::control
