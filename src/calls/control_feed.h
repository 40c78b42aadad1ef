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
  /// And to each other member; as leader_interval, unless the member asks for a longer one.
  Duration member_interval = std::chrono::milliseconds(1000);
  Duration leader_silence = std::chrono::milliseconds(1000);  ///< after which another is looked for
  /// A member answers each status within half a second. One that hasn't for this long is connected to anew:
  /// the connection may have gone silent without an end. Later than the transport's own limit, which needs no
  /// new connection to a member that is merely slow.
  Duration answer_limit = std::chrono::milliseconds(1500);
  /// How long after an acknowledgement an older catalog's keys may be obeyed; nullopt: for ever.
  std::optional<Duration> key_lifetime;
};

/// What a status tells beside the feed's own state.
struct RouterNews {
  std::vector<wire::ModelWant> wants;          ///< for the leader
  std::vector<ReplicaId> unreachable;          ///< for the leader
  bool accepting = false;                      ///< callers may be sent to the router
  CatalogVersion catalog;                      ///< in force
  std::uint64_t crash_digest = 0;              ///< of the crash records that the router shares
  std::vector<wire::ReplicaUse> uses;          ///< for the leader
  std::vector<wire::ObservedPace> paces;       ///< for the leader
  std::vector<wire::ModelInterest> interests;  ///< for the leader
};

/// A router's exchange with the control members: tells them its status, finds the leader, and lets only
/// updates pass that lead forward. How often it tells is up to those that are told: of many routers each
/// tells less often, so that no member hears more of a larger fleet. While no leader is known, few members
/// are asked at a time, and whom they name is asked next. Used by one thread.
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
  void addSeeds(const std::vector<NodeName>& seeds) { addMembers(seeds); }

  /// The leader should hear soon: wants or revisions have changed.
  void hurry() { hurried_ = true; }
  /// All members should hear at once, or the leader where it tells the others.
  void tellAll();
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
  /// True when the table lists only replicas that were asked for.
  bool holdsPart() const { return table_ != 0; }

 private:
  void addMembers(const std::vector<NodeName>& members);
  bool acceptTable(const wire::ServiceUpdate& update);
  bool acceptPart(const wire::ServiceUpdate& update);
  Duration leaderInterval() const;
  Duration askInterval() const;
  Duration memberInterval(const NodeName& member) const;
  Duration answerLimit(const NodeName& member) const;
  /// After which a leader that isn't heard is taken for lost.
  Duration leaderSilence() const;
  /// Members that are to hear now.
  std::set<NodeName> membersDue(TimePoint now);
  std::set<NodeName> membersToAsk();

  ControlFeedSettings settings_;
  std::set<NodeName> members_;
  NodeName leader_;
  std::optional<TimePoint> leader_heard_;
  LogIndex revision_;
  std::uint64_t table_ = 0;  ///< wire::ServiceUpdate::table of the table held; 0: it lists all replicas
  std::vector<std::string> directory_;
  std::uint64_t sequence_ = 0;
  TimePoint next_leader_status_{};
  std::map<NodeName, TimePoint> next_member_status_;  ///< of members that aren't the leader
  std::map<NodeName, Duration> asked_interval_;       ///< by members that want to hear seldom
  Duration leader_asked_interval_{};                  ///< zero: the default
  NodeName named_leader_;                             ///< by a member, while none was heard
  NodeName last_asked_;                               ///< of the members, while no leader is known
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
