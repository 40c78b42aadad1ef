#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

/// Routers that reach replicas and relay attempts of others.
struct RelayCandidates {
  std::vector<wire::RelayRouter> same_zone;
  std::vector<wire::RelayRouter> other_zones;
};

/// Returns the relays for one router: a few of its zone, then a few of other zones. Which ones depends on the
/// router's name, so that routers that are partitioned together don't all use the same relays.
std::vector<wire::RelayRouter> chooseRelays(const RelayCandidates& candidates, const NodeName& router);

struct RouterRecord {
  wire::CallRouterStatus status;
  TimePoint last_contact{};
};

/// Routers that report their status. Every member keeps its own directory, so that callers get router
/// addresses also while there is no leader. Used by one thread.
class RouterDirectory {
 public:
  /// Applies a status. Returns false for a stale status, which is ignored.
  bool accept(const wire::CallRouterStatus& status, TimePoint now);
  /// Removes routers without contact for 10 s, or for three status intervals if that is longer.
  void expire(TimePoint now);

  /// Routers with recent contact; a crashed router stays listed until it expires.
  const std::map<NodeName, RouterRecord>& routers() const { return routers_; }
  /// Returns at most `limit` router addresses for callers of a zone: routers of the same zone, up to the
  /// limit divided by the number of zones; if the zone has fewer than kMinChoices, also routers of other
  /// zones.
  std::vector<std::string> addresses(const ZoneName& zone, TimePoint now, std::size_t limit) const;
  /// Number of routers that callers may be sent to.
  std::size_t acceptingCount(TimePoint now) const;

  /// Routers that relay attempts for routers of the zone: those that are offered to callers and reach
  /// replicas.
  RelayCandidates relayCandidates(const ZoneName& zone, TimePoint now) const;

  /// Replicas that no router reaches: at least one router with recent contact can't connect to them, and none
  /// has had a response of them of late. What a router that reaches no replica reports doesn't count, since
  /// it says nothing of the replicas.
  std::set<ReplicaId> unreachable(TimePoint now) const;
  /// Number of routers with recent contact that reach no replica.
  std::size_t partitionedCount(TimePoint now) const;

  /// Sets the interval at which routers report their status to this member. All expiry times are at least
  /// three intervals.
  void setStatusInterval(Duration interval) { status_interval_ = interval; }
  /// The routers that callers may be sent to, for members that receive their statuses too rarely.
  std::vector<wire::RouterContact> contacts(TimePoint now) const;
  /// Applies a leader's list of contacts: listed routers are available, routers of the former list that are
  /// missing here aren't.
  void applyContacts(const std::vector<wire::RouterContact>& contacts, TimePoint now);
  /// Renews the contacts of the last list, which the leader confirmed as unchanged.
  void renewContacts(TimePoint now);
  /// wire::contactsDigest() of the leader's last list.
  std::uint64_t contactsDigest() const { return contacts_digest_; }

  /// A router without contact for longer than this isn't offered to callers.
  static constexpr Duration kOfferTimeout = std::chrono::milliseconds(3000);
  /// Minimum number of routers offered to a caller, so that it has alternatives when a router fails.
  static constexpr std::size_t kMinChoices = 4;

 private:
  bool isOffered(const RouterRecord& record, TimePoint now) const;
  Duration extendedTimeout(Duration min_timeout) const;
  bool reportsReachability(const RouterRecord& record, TimePoint now) const;

  std::map<NodeName, RouterRecord> routers_;
  Duration status_interval_{};
  /// When a router last reported a response of the replica, by balance::loadKey() of its ID.
  std::map<std::uint32_t, TimePoint> reached_at_;
  std::set<NodeName> contacts_;  ///< routers of the leader's last list
  std::uint64_t contacts_digest_ = 0;
};

}  // namespace ferryrock::services
