#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::services {

struct RouterRecord {
  wire::CallRouterStatus status;
  TimePoint heard{};
};

/// The routers that report themselves; every member keeps its own, so that callers are told where to go
/// without a leader. Used by one thread.
class RouterDirectory {
 public:
  /// False for a status that is older than what is known.
  bool accept(const wire::CallRouterStatus& status, TimePoint now);
  void expire(TimePoint now);

  /// Routers heard of late; those that ended without a word are among them for a while.
  const std::map<NodeName, RouterRecord>& routers() const { return routers_; }
  /// Where callers of a zone may connect, at most `limit` addresses: routers of their own zone, as many as
  /// each zone has its part of the limit; with fewer than kFewestChoices of them, those of other zones too.
  std::vector<std::string> addresses(const ZoneName& zone, TimePoint now, std::size_t limit) const;
  /// Routers that share the retry budgets.
  std::size_t acceptingCount(TimePoint now) const;

  /// Replicas that some router in touch can't connect to.
  std::set<ReplicaId> unreachable(TimePoint now) const;

  /// How often routers tell their status here; they are believed to be there for longer if it is seldom.
  void setStatusInterval(Duration interval) { status_interval_ = interval; }
  /// The routers that callers may be sent to, for members that hear of them seldom.
  std::vector<wire::RouterContact> contacts(TimePoint now) const;
  /// What a leader told: those listed are there, those that it listed before aren't.
  void takeContacts(const std::vector<wire::RouterContact>& contacts, TimePoint now);
  /// The leader still tells the same.
  void keepContacts(TimePoint now);
  /// wire::contactsDigest() of what a leader told last.
  std::uint64_t contactsDigest() const { return contacts_digest_; }

  /// A router that is silent for longer isn't offered to callers.
  static constexpr Duration kOfferedFor = std::chrono::milliseconds(3000);
  /// Callers need others to go to when a router is lost.
  static constexpr std::size_t kFewestChoices = 4;

 private:
  bool offered(const RouterRecord& record, TimePoint now) const;
  Duration longEnough(Duration least) const;

  std::map<NodeName, RouterRecord> routers_;
  Duration status_interval_{};
  std::set<NodeName> contacts_;  ///< that a leader told last
  std::uint64_t contacts_digest_ = 0;
};

}  // namespace ferryrock::services
