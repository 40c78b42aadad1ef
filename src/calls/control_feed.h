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
  std::string address;  ///< where callers connect
  std::uint64_t incarnation = 0;
  std::vector<NodeName> seeds;
  Duration leader_interval = std::chrono::milliseconds(250);  ///< between statuses to the leader
  /// Until a first answer of any member; a status to a peer that isn't connected yet is dropped at no cost.
  Duration first_interval = std::chrono::milliseconds(50);
  Duration member_interval = std::chrono::milliseconds(1000);  ///< and to the other members
  Duration leader_silence = std::chrono::milliseconds(1000);   ///< after which another is looked for
  /// A member answers each status within half a second. One that hasn't for this long is connected to anew:
  /// the connection may have gone silent without an end. Later than the transport's own limit, which needs no
  /// new connection to a member that is merely slow.
  Duration answer_limit = std::chrono::milliseconds(1500);
  /// How long after an acknowledgement an older catalog's keys may be obeyed; nullopt: for ever.
  std::optional<Duration> key_lifetime;
};

/// What a status tells beside the feed's own state.
struct RouterNews {
  std::vector<wire::ModelWant> wants;     ///< for the leader
  std::vector<ReplicaId> unreachable;     ///< for the leader
  bool accepting = false;                 ///< callers may be sent to the router
  CatalogVersion catalog;                 ///< in force
  std::uint64_t crash_digest = 0;         ///< of the crash records that the router shares
  std::vector<wire::ReplicaUse> uses;     ///< for the leader
  std::vector<wire::ObservedPace> paces;  ///< for the leader
};

/// A router's exchange with the control members: tells them its status, finds the leader, and lets only
/// updates pass that lead forward. Used by one thread.
class ControlFeed {
 public:
  explicit ControlFeed(const ControlFeedSettings& settings)
      : settings_(settings),
        members_(settings.seeds.begin(), settings.seeds.end()),
        proof_(settings.key_lifetime) {}

  /// True if the update's replicas are to be applied; its catalog is judged by its version alone.
  bool accept(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now);
  void accept(const NodeName& from, const wire::MemberList& list);
  /// The update proves the catalog `held`, if it names a status of this process and no newer version.
  void confirm(const wire::ServiceUpdate& update, CatalogVersion held);
  const tenancy::CatalogProof& proof() const { return proof_; }
  /// The member was heard; its connection stands.
  void noteAnswer(const NodeName& from) { unanswered_since_.erase(from); }
  void addSeeds(const std::vector<NodeName>& seeds) { members_.insert(seeds.begin(), seeds.end()); }

  /// The leader should hear soon: wants or revisions have changed.
  void hurry() { hurried_ = true; }
  /// All members should hear at once.
  void tellAll() { tell_all_ = true; }
  /// True when status() would send something.
  bool due(TimePoint now) const;
  /// Statuses that are due; all members get the leader's while it isn't known.
  std::vector<wire::SendEffect> statuses(RouterNews news, TimePoint now);
  /// Members that have answered no status within the limit; each is named again only after another such time.
  std::vector<NodeName> unansweringMembers(TimePoint now);
  TimePoint nextDeadline() const;

  /// Where callers may connect, as the leader last told; kept while there is none.
  const std::vector<std::string>& directory() const { return directory_; }
  const NodeName& leader() const { return leader_; }
  /// When a leader was last heard; nullopt: never.
  std::optional<TimePoint> leaderHeard() const { return leader_heard_; }
  const std::set<NodeName>& members() const { return members_; }

 private:
  ControlFeedSettings settings_;
  std::set<NodeName> members_;
  NodeName leader_;
  std::optional<TimePoint> leader_heard_;
  LogIndex revision_;
  std::vector<std::string> directory_;
  std::uint64_t sequence_ = 0;
  TimePoint next_leader_status_{};
  TimePoint next_member_status_{};
  TimePoint last_status_{};
  bool hurried_ = false;
  bool missed_update_ = false;
  bool tell_all_ = false;
  bool answered_ = false;  ///< by any member
  tenancy::CatalogProof proof_;
  /// Members that a status was sent to and that weren't heard since, with the time of the first such status.
  std::map<NodeName, TimePoint> unanswered_since_;
};

}  // namespace ferryrock::calls
