#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_registry.h"
#include "services/router_directory.h"
#include "wire/messages.h"

namespace ferryrock::services {

/// Content of an update that doesn't depend on the router's state, only on its zone.
struct FeedContext {
  const wire::ServiceCatalog& catalog;
  std::vector<NodeName> members;
  std::uint32_t routers = 1;
  bool complete = false;               ///< replicas that haven't reported to this leader yet are gone
  std::vector<std::string> directory;  ///< router addresses that callers may connect to
  std::uint64_t directory_digest = 0;  ///< wire::directoryDigest() of it
  RelayCandidates relays{};            ///< routers that may relay attempts of routers of the zone
};

/// Returns the catalog without its models, which routers don't need. They are most of its bytes and rarely
/// change, while each version is sent to every router.
wire::ServiceCatalog catalogForRouters(const wire::ServiceCatalog& catalog);
/// Returns the replica's entry for router tables.
wire::RoutedReplica replicaForRouters(const ReplicaRecord& record, bool accepting);

/// Builds one leader's updates for routers without subscriptions: the catalog, and the changes of the replica
/// table since the revision that the router holds. Used by one thread.
class TableFeed {
 public:
  TableFeed(Term term, const ReplicaRegistry& registry) : term_(term), registry_(registry) {}

  /// Revision of this term for the registry's current state.
  LogIndex revision() const { return revisionAt(registry_.changes()); }
  /// Revision of this term for the registry's state at a change count.
  LogIndex revisionAt(std::uint64_t change) const;
  /// Builds an update without replicas.
  wire::ServiceUpdate withoutReplicas(const wire::CallRouterStatus& status, const FeedContext& context) const;
  /// Builds the update that brings the router of this status up to date; without changes, it is only a
  /// keepalive.
  wire::ServiceUpdate updateFor(const wire::CallRouterStatus& status, const FeedContext& context) const;
  /// Returns true if the router holds the revision or a later one of this term.
  bool holds(const wire::CallRouterStatus& status, LogIndex revision) const;

 private:
  /// Inverse of revisionAt(), plus 1; 0 for a revision of another term.
  std::uint64_t changesAt(LogIndex revision) const;
  /// Replaces replica ids, which include the incarnation, by replica names.
  void useReplicaNames(wire::ServiceUpdate& update) const;

  Term term_;
  const ReplicaRegistry& registry_;
};

}  // namespace ferryrock::services
