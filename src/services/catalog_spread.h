#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/router_directory.h"

namespace ferryrock::services {

/// Effect: how far the newest committed catalog has come among the routers that the leader hears.
struct CatalogSpreadEffect {
  CatalogVersion version;
  std::size_t routers = 0;  ///< heard within the limit
  std::size_t behind = 0;   ///< of these, without the version; 0: it is in force everywhere
  NodeName router;          ///< one that is behind; empty: none
  CatalogVersion held;      ///< by that router
  Duration silent{};        ///< since that router was heard
  Duration since{};         ///< since the leader learned that the version is committed
};

/// Follows one leader's newest catalog until every router that is heard has it in force. Used by one thread.
class CatalogSpread {
 public:
  /// out_of_touch: routers that are silent for longer aren't waited for.
  explicit CatalogSpread(Duration out_of_touch) : out_of_touch_(out_of_touch) {}

  /// Something to tell: once when the version is everywhere, once a second while it isn't. Looks at the
  /// routers no more often than each 50 ms, and not at all once the version is everywhere.
  std::optional<CatalogSpreadEffect> look(CatalogVersion version,
                                          const std::map<NodeName, RouterRecord>& routers, TimePoint now);

 private:
  CatalogSpreadEffect count(const std::map<NodeName, RouterRecord>& routers, TimePoint now) const;

  Duration out_of_touch_;
  CatalogVersion version_;
  TimePoint since_{};
  bool everywhere_ = true;
  TimePoint next_look_{};
  TimePoint next_word_{};
};

}  // namespace ferryrock::services
