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

/// One leader's tables for routers that subscribe: each lists the replicas that ReplicaChoice draws for its
/// router, is known by a hash of its content, and is sent whole when that changes. So a new leader sends only
/// what differs from what routers hold.
///
/// Keeps which replicas a router may still use, by what it was sent and what it has told of it since: a
/// replica is let go once each router in touch holds a table, sent after the replica was closed, that doesn't
/// list it as open. A router that was never listed the replica has nothing to tell. What a router was told by
/// an earlier leader, or while replicas were still reporting themselves to this one, isn't known; it lets go
/// what it confirms a later table for. Used by one thread.
class RouterTables {
 public:
  explicit RouterTables(const ReplicaIndex& index) : index_(index), choice_(index) {}

  /// Services whose replicas all routers need.
  void setPlainServices(std::vector<ServiceName> services) { plain_services_ = std::move(services); }
  /// The router may hold what an earlier leader told it.
  void expect(const NodeName& router);
  /// A router told its status: what it holds, and what its calls wait for.
  void accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Follows a step of the index: routers that wait for what has grown, or may use what has closed, are due.
  void follow(const ReplicaIndex::Changes& changes);
  /// Routers whose calls wait for a model are due.
  void tellWaiting();
  /// The routers to be told at once, since this was last asked.
  std::set<NodeName> takeDue() { return std::exchange(due_, {}); }
  bool hasDue() const { return !due_.empty(); }
  /// Forgets the others, and a router that takes tables of all replicas.
  void keepRouters(const std::map<NodeName, RouterRecord>& routers);
  void forget(const NodeName& router);

  /// Puts the router's table into the update, or only its hash if the router holds it or it is on its way.
  /// The update tells whether replicas that aren't listed are gone.
  void fill(wire::ServiceUpdate& update, const wire::CallRouterStatus& status, TimePoint now);

  /// Rises when replicas are closed.
  std::uint64_t closings() const { return closings_; }
  /// Rises when a router confirms a table.
  std::uint64_t confirmations() const { return confirmations_; }
  /// One of the routers that count and may still use a replica which was closed when closings() was so high.
  std::optional<NodeName> firstUser(const ReplicaId& replica, std::uint64_t closing,
                                    const std::function<bool(const NodeName&)>& counts) const;

 private:
  /// A table that was sent, or that a router was found to hold.
  struct Sent {
    std::uint64_t table = 0;
    std::uint64_t closings = 0;  ///< when it was made
    bool complete = false;       ///< what it doesn't list isn't used
    std::vector<ReplicaId> open;
  };
  struct Router {
    std::uint64_t incarnation = 0;
    bool known = false;              ///< it holds one of `sent`
    std::deque<Sent> sent;           ///< the one that it holds, if known, and those after it
    TimePoint sent_at{};             ///< the last of them
    bool lost = false;               ///< the last of them didn't arrive
    bool confirm = false;            ///< a replica was closed that it may use
    std::uint64_t confirm_from = 0;  ///< Sent::closings of a table by which it lets it go
    std::set<ModelKey> waits_for;
  };
  using RouterPointer = std::map<NodeName, Router>::iterator;

  void clear(RouterPointer router);
  void dropOldest(RouterPointer router);
  void noteWaits(RouterPointer router, const wire::CallRouterStatus& status);
  void noteTable(RouterPointer router, Sent sent);
  /// Nothing is known of what it may use, or not all.
  void judge(RouterPointer router);
  void list(wire::ServiceUpdate& update, const std::vector<const IndexedReplica*>& chosen) const;
  std::uint64_t hashOf(const std::vector<const IndexedReplica*>& chosen, bool complete) const;

  const ReplicaIndex& index_;
  ReplicaChoice choice_;
  std::vector<ServiceName> plain_services_;
  std::map<NodeName, Router> routers_;
  std::map<ReplicaId, std::map<NodeName, std::size_t>> users_;  ///< with the count of their tables
  std::set<NodeName> unsettled_;                                ///< may use more than their tables list
  std::map<ModelKey, std::set<NodeName>> waiting_;
  std::set<NodeName> due_;
  std::uint64_t closings_ = 0;
  std::uint64_t confirmations_ = 0;
  std::set<ReplicaId> closed_;  ///< since the term began, while tables aren't complete
};

}  // namespace ferryrock::services
