#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "calls/call.h"
#include "tenancy/catalog_proof.h"

namespace ferryrock::calls {

struct ControlFeedSettings {
  NodeName router;
  ZoneName zone;
  std::string address;        ///< address that callers connect to
  std::string relay_address;  ///< address at which the router relays attempts of others; empty: it doesn't
  std::uint64_t incarnation = 0;
  std::vector<NodeName> seeds;
  Duration leader_interval = std::chrono::milliseconds(250);  ///< interval of statuses to the leader
  /// Status interval until the first answer of any member. A status to a peer that isn't connected yet is
  /// dropped at no cost.
  Duration initial_interval = std::chrono::milliseconds(50);
  /// Status interval to each other member. As for leader_interval, a member may request a longer one.
  Duration member_interval = std::chrono::milliseconds(1000);
  Duration leader_timeout =
      std::chrono::milliseconds(1000);  ///< time without contact after which another leader is searched for
  /// Members answer each status within half a second. The connection to a member that hasn't answered for
  /// this long is replaced, since it may be dead without having been closed. Longer than the transport's own
  /// timeout, so that a member that is merely slow gets no new connection.
  Duration answer_timeout = std::chrono::milliseconds(1500);
  /// How long keys of a catalog may be accepted after its last confirmation; nullopt: without limit.
  std::optional<Duration> key_lifetime;
};

/// Contents of a status that the feed doesn't hold itself.
struct RouterState {
  std::vector<wire::ModelCallCounts> model_calls;   ///< sent to the leader only
  std::vector<ReplicaId> unreachable;               ///< sent to the leader only
  bool accepting = false;                           ///< callers may be directed to this router
  CatalogVersion catalog;                           ///< current catalog
  std::uint64_t crash_digest = 0;                   ///< of the crash records that the router shares
  std::vector<wire::LocalReplicaLoad> local_loads;  ///< sent to the leader only
  std::vector<wire::ObservedEventGap> event_gaps;   ///< sent to the leader only
  std::vector<wire::ModelInterest> interests;       ///< sent to the leader only
  bool partitioned = false;                         ///< the router reaches no replica itself
  std::uint64_t relays = 0;                         ///< digest of the relays that the router knows
  std::vector<wire::RetryUse> retry_uses;           ///< sent to the leader only
  std::int64_t alive_ms = 0;                        ///< time since the process started
};

/// A router's communication with the control members: reports its status, finds the leader, and accepts only
/// updates that don't go back to an earlier revision. Members determine the status interval: with more
/// routers, each one reports less often, so that the message rate at a member doesn't grow with the fleet.
/// While no leader is known, a few members are queried at a time, and the leader that they name is queried
/// next. Not thread-safe; used by one thread.
class ControlFeed {
 public:
  explicit ControlFeed(const ControlFeedSettings& settings)
      : settings_(settings),
        members_(settings.seeds.begin(), settings.seeds.end()),
        proof_(settings.key_lifetime) {}

  /// True if the update is from a replaced leader, or delivered out of order.
  bool isStale(const wire::ServiceUpdate& update) const { return update.revision < revision_; }
  /// Returns true if the replicas of the update are to be applied. Its catalog is accepted or rejected by its
  /// version alone.
  bool accept(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now);
  void accept(const NodeName& from, const wire::MemberList& list);
  /// Takes the update as proof of the catalog version `held`, if it refers to a status of this process and to
  /// no newer version.
  void confirm(const wire::ServiceUpdate& update, CatalogVersion held);
  const tenancy::CatalogProof& proof() const { return proof_; }
  /// Records a message of the member, which shows that its connection works.
  void recordAnswer(const NodeName& from) { unanswered_since_.erase(from); }
  void addSeeds(const std::vector<NodeName>& seeds) { addMembers(seeds); }
  void setRelayAddress(std::string address) { settings_.relay_address = std::move(address); }

  /// Requests that a status be sent to the leader soon, because demand or revisions have changed.
  void expedite() { expedited_ = true; }
  /// Requests that a status be sent to all members at once, or only to the leader if it informs the others.
  void notifyAll();
  /// True if statuses() would send something.
  bool due(TimePoint now) const;
  /// Returns the statuses that are due. While the leader is unknown, members get the status that is meant for
  /// it.
  std::vector<wire::SendEffect> statuses(RouterState state, TimePoint now);
  /// Returns the members that have answered no status within the timeout. A member is returned again only
  /// after another such period.
  std::vector<NodeName> unresponsiveMembers(TimePoint now);
  /// Sequence of the statuses that were sent last.
  std::uint64_t lastSequence() const { return sequence_; }
  TimePoint nextDeadline() const;

  /// Addresses that callers may connect to, as last published by a leader; kept while there is no leader.
  const std::vector<std::string>& directory() const { return directory_; }
  const NodeName& leader() const { return leader_; }
  /// Time of the last update from a leader; nullopt: never.
  std::optional<TimePoint> lastLeaderContact() const { return last_leader_contact_; }
  const std::set<NodeName>& members() const { return members_; }
  /// True if the table lists only the replicas that this router subscribes to.
  bool holdsSubscribedTable() const { return table_ != 0; }

 private:
  void addMembers(const std::vector<NodeName>& members);
  bool acceptFullTable(const wire::ServiceUpdate& update);
  bool acceptSubscribedTable(const wire::ServiceUpdate& update);
  Duration leaderInterval() const;
  Duration searchInterval() const;
  Duration memberInterval(const NodeName& member) const;
  Duration answerTimeout(const NodeName& member) const;
  /// Time without contact after which the leader is considered lost.
  Duration leaderTimeout() const;
  /// Members that a status is due for.
  std::set<NodeName> membersDue(TimePoint now);
  std::set<NodeName> membersToQuery();

  ControlFeedSettings settings_;
  std::set<NodeName> members_;
  NodeName leader_;
  std::optional<TimePoint> last_leader_contact_;
  LogIndex revision_;
  std::uint64_t table_ = 0;  ///< wire::ServiceUpdate::table of the current table; 0: it lists all replicas
  std::vector<std::string> directory_;
  std::uint64_t sequence_ = 0;
  TimePoint next_leader_status_{};
  std::map<NodeName, TimePoint> next_member_status_;  ///< of members other than the leader
  std::map<NodeName, Duration> requested_intervals_;  ///< of members that requested a longer interval
  Duration leader_requested_interval_{};              ///< zero: the default
  NodeName suggested_leader_;  ///< leader named by a member while there is no contact with one
  NodeName last_queried_;      ///< member queried last while no leader is known
  TimePoint last_status_{};
  bool expedited_ = false;
  bool missed_update_ = false;
  bool notify_all_ = false;
  bool member_answered_ = false;  ///< some member has answered
  tenancy::CatalogProof proof_;
  /// Members with an unanswered status, with the time of the first such status.
  std::map<NodeName, TimePoint> unanswered_since_;
};

}  // namespace ferryrock::calls
