#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"
#include "services/replica_choice.h"
#include "services/replica_index.h"
#include "services/router_directory.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// One leader's replica tables for routers with subscriptions. Each table lists the replicas that
/// ReplicaChoice selects for its router. It is identified by a hash of its content and sent in full when the
/// hash changes, so that a new leader sends only tables that differ from those that the routers hold.
///
/// Tracks which replicas a router may still use, from the tables sent to it and the statuses received since.
/// A replica is released once each router in contact holds a table that was sent after the replica was closed
/// and doesn't list it as open. A router whose tables never listed the replica needn't confirm anything.
/// Tables from an earlier leader, or from the time when replicas were still registering with this leader, may
/// list more replicas than are known here; a router releases those when it confirms a later table. Used by
/// one thread.
class RouterTables {
 public:
  explicit RouterTables(const ReplicaIndex& index) : index_(index), choice_(index) {}

  /// Sets the services without models, whose replicas every router needs.
  void setPlainServices(std::vector<ServiceName> services) { plain_services_ = std::move(services); }
  /// Adds a router that may hold a table of an earlier leader.
  void expect(const NodeName& router);
  /// Applies a router's status: the table that it holds, and the models that its calls wait for.
  void accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Applies changes of the index. Routers become due whose calls wait for a model with new replicas, or that
  /// may use a replica that was closed. Until the tables are `complete`, closed replicas are remembered for
  /// routers that the leader doesn't know yet.
  void applyChanges(const ReplicaIndex::Changes& changes, bool complete);
  /// Makes all routers due whose calls wait for a model.
  void queueWaitingRouters();
  /// Returns and clears the routers that are due for an update at once.
  std::set<NodeName> takeDue() { return std::exchange(due_, {}); }
  bool hasDue() const { return !due_.empty(); }
  /// Removes all routers that aren't listed.
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);
  /// Removes a router, for instance one that gets tables of all replicas instead.
  void forget(const NodeName& router);

  /// Adds the router's table to the update, or only the table's hash if the router holds it or it is in
  /// flight. update.complete must be set: it states whether replicas that the table doesn't list are gone.
  void fill(wire::ServiceUpdate& update, const wire::CallRouterStatus& status, TimePoint now);

  /// Counts the steps of the index that closed replicas.
  std::uint64_t closings() const { return closings_; }
  /// Counts the confirmations of tables by routers.
  std::uint64_t confirmations() const { return confirmations_; }
  /// Returns a router for which `counts` is true and that may still use the replica, which was closed when
  /// closings() had the value `closing_count`; nullopt: none.
  std::optional<NodeName> findUser(const ReplicaId& replica, std::uint64_t closing_count,
                                   const std::function<bool(const NodeName&)>& counts) const;

 private:
  /// A table that was sent to a router, or that the router reported to hold.
  struct Sent {
    std::uint64_t table = 0;
    std::uint64_t closings = 0;  ///< RouterTables::closings() when the table was built
    bool complete = false;       ///< the router uses no replicas but the listed ones
    std::vector<ReplicaId> open;
  };
  struct Router {
    std::uint64_t incarnation = 0;
    bool known = false;              ///< the router holds a table of `sent`
    std::deque<Sent> sent;           ///< the table that the router holds, if known, and later ones
    TimePoint sent_at{};             ///< when the last table was sent
    bool lost = false;               ///< the last table counts as lost
    bool confirm = false;            ///< the router may use a replica that was closed
    std::uint64_t confirm_from = 0;  ///< minimum Sent::closings of a table that releases that replica
    std::set<ModelKey> awaited_models;
  };
  using RouterIterator = std::map<NodeName, Router>::iterator;

  void clear(RouterIterator router);
  void dropOldest(RouterIterator router);
  void setAwaitedModels(RouterIterator router, const wire::CallRouterStatus& status);
  void recordTable(RouterIterator router, Sent sent);
  /// Updates whether the router is unsettled: it may use replicas that its tables here don't list.
  void updateSettled(RouterIterator router);
  void appendReplicas(wire::ServiceUpdate& update, const std::vector<const IndexedReplica*>& chosen) const;
  std::uint64_t hashOf(const std::vector<const IndexedReplica*>& chosen, bool complete) const;

  const ReplicaIndex& index_;
  ReplicaChoice choice_;
  std::vector<ServiceName> plain_services_;
  std::map<NodeName, Router> routers_;
  std::map<ReplicaId, std::map<NodeName, std::size_t>> users_;  ///< routers with their count of tables
  std::set<NodeName> unsettled_;                                ///< routers that may use unlisted replicas
  std::map<ModelKey, std::set<NodeName>> waiting_;
  std::set<NodeName> due_;
  std::uint64_t closings_ = 0;
  std::uint64_t confirmations_ = 0;
  std::set<ReplicaId>
      closed_;  ///< closed while a router was unsettled or unknown; listed in incomplete tables
};

}  // namespace ferryrock::services
