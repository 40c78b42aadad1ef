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

/// What every update tells beside the changes.
struct FeedContext {
  const wire::ServiceCatalog& catalog;
  std::vector<NodeName> members;
  std::uint32_t routers = 1;
  bool complete = false;               ///< replicas that haven't reported by now are gone
  std::vector<std::string> directory;  ///< where callers may connect
  std::uint64_t directory_digest = 0;  ///< wire::directoryDigest() of it
};

/// The catalog without its models: they are most of its bytes and change seldom, while each of many routers
/// gets each version.
wire::ServiceCatalog catalogForRouters(const wire::ServiceCatalog& catalog);
/// The replica as routers are told of it.
wire::RoutedReplica replicaForRouters(const ReplicaRecord& record, bool accepting);

/// One leader's updates to the routers: the catalog and the changes of the replica table since what each of
/// them holds. Used by one thread.
class TableFeed {
 public:
  TableFeed(Term term, const ReplicaRegistry& registry) : term_(term), registry_(registry) {}

  /// The registry's present state as a revision of this term.
  LogIndex revision() const { return revisionAt(registry_.changes()); }
  /// The registry's state after that count of changes.
  LogIndex revisionAt(std::uint64_t change) const;
  /// An update that says nothing of replicas.
  wire::ServiceUpdate withoutReplicas(const wire::CallRouterStatus& status, const FeedContext& context) const;
  /// What brings the router of this status up to date; nothing more than a sign of life if it is.
  wire::ServiceUpdate updateFor(const wire::CallRouterStatus& status, const FeedContext& context) const;
  /// True when the router holds the revision or a later one of this term.
  bool holds(const wire::CallRouterStatus& status, LogIndex revision) const;

 private:
  /// Count of changes that a revision of this term stands for; 0 for one of another term.
  std::uint64_t changesAt(LogIndex revision) const;
  /// Puts the names of replicas in place of the ids of their lives.
  void nameReplicas(wire::ServiceUpdate& update) const;

  Term term_;
  const ReplicaRegistry& registry_;
};

}  // namespace ferryrock::services
