#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.h"
#include "control/router_registry.h"
#include "wire/messages.h"

namespace ferryrock::control {

/// Builds what routers are told of a name, from the state applied.
class RouteEntrySource {
 public:
  virtual ~RouteEntrySource() = default;
  /// nullopt: the settings tree has no such name.
  virtual std::optional<wire::RouteEntry> entry(const ModelName& name, TimePoint now) const = 0;
  virtual TreeVersion treeVersion() const = 0;
};

/// Keeps each router's table equal to the state: deltas for the names that the router asked for, a full table
/// when the router is behind a gap, checked by digests. One leader's term has one publisher. Costs follow the
/// changed names and the routers interested in them; only a new tree version goes to all routers.
class TablePublisher {
 public:
  TablePublisher(Term term, MemberId leader, const RouteEntrySource& source);

  /// A router's status after the registry accepted it.
  void onStatus(const RouterRecord& record, const StatusNews& news, TimePoint now);
  void onRouterGone(const NodeName& router);
  /// The settings, replicas or expected load time of the name may have changed.
  void refreshName(const ModelName& name, TimePoint now);
  /// The replicas of a base model may have changed: refreshes every name that needs it and that a router
  /// asked for.
  void refreshBase(const ModelName& base, TimePoint now);
  /// A new version of the settings tree is in force; every router is told.
  void onTreeVersion();
  /// Updates for routers that lack something: some at a time while hasUpdates(). Call only while the leader's
  /// state is confirmed.
  std::vector<wire::SendEffect> flush(TimePoint now);
  bool hasUpdates() const { return !to_send_.empty(); }

 private:
  /// One name that at least one router asked for.
  struct PublishedName {
    std::optional<wire::RouteEntry> entry;
    std::uint64_t digest = 0;
    std::set<NodeName> routers;
  };

  struct RouterTable {
    bool interests_known = false;
    bool full_wanted = false;
    bool digest_differed = false;  ///< the router's interests may differ from the ones known here
    LogIndex base;                 ///< revision that the router holds once it took all that was sent
    LogIndex held;                 ///< revision that the router reported
    std::uint64_t held_digest = 0;
    std::uint64_t sent_digest = 0;            ///< of the table at base
    std::uint64_t digest = 0;                 ///< of the table as it should be
    std::optional<TimePoint> crossing_until;  ///< until then a status may be older than what was sent
    std::set<ModelName> interests;
    std::map<ModelName, LogIndex>
        unacknowledged;          ///< changed at this revision, not known to be at the router
    std::set<ModelName> unsent;  ///< of these, what the next update carries
  };

  LogIndex nextRevision();
  PublishedName& publish(const ModelName& name, TimePoint now);
  void subscribe(const NodeName& router, RouterTable& table, const ModelName& name, TimePoint now);
  void unsubscribe(const NodeName& router, RouterTable& table, const ModelName& name);
  void forgetInterests(const NodeName& router, RouterTable& table);
  void setBase(const ModelName& name, const std::optional<wire::RouteEntry>& before,
               const std::optional<wire::RouteEntry>& after);
  static void markChanged(RouterTable& table, const ModelName& name, LogIndex revision);
  void compareWithHeld(RouterTable& table, TimePoint now) const;
  static void extendCrossing(RouterTable& table, std::size_t entries, TimePoint now);
  static void startFromHeld(RouterTable& table);
  static void acknowledge(RouterTable& table);
  static void resendUnacknowledged(RouterTable& table);
  wire::TableUpdate makeUpdate(RouterTable& table) const;
  void addEntry(wire::TableUpdate& update, const ModelName& name) const;

  Term term_;
  MemberId leader_;
  const RouteEntrySource& source_;
  LogIndex revision_;
  std::map<ModelName, PublishedName> names_;
  std::map<ModelName, std::set<ModelName>> names_by_base_;
  std::map<NodeName, RouterTable> routers_;
  std::set<NodeName> to_send_;
};

}  // namespace ferryrock::control
