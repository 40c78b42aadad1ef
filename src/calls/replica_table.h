#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "balance/call_cost.h"
#include "calls/brittle_replicas.h"
#include "calls/replica_limits.h"
#include "calls/replica_notices.h"
#include "common/random.h"
#include "quarantine/trial.h"
#include "router/replica_health.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// Backoff for a model that a replica reported as missing.
struct MissingModel {
  TimePoint until{};
  Duration backoff{};
};

/// A replica, with the state that this router keeps for it.
struct Replica {
  wire::RoutedReplica routed;
  router::ReplicaHealth health;
  std::uint32_t outstanding = 0;             ///< attempts of this router in flight
  std::uint64_t pending_prefill_tokens = 0;  ///< prompt tokens of attempts without any progress yet
  std::uint64_t sent_tokens = 0;             ///< prompt tokens sent since the last report to the leader
  bool reached = false;                      ///< any progress since the last report to the leader
  TimePoint refused_until{};  ///< end of the pause after the replica refused a call as full or draining
  /// Models and adapters that the replica reported as missing although the table lists them.
  std::map<std::pair<ModelName, std::string>, MissingModel> missing;
  /// Estimated undisturbed gap between two events of a stream, by model.
  std::map<ModelName, Duration> event_gaps;
  /// Shortest mean gap within a stream since the last report to the leader, by model.
  std::map<ModelName, Duration> unreported_gaps;
  std::uint32_t load_key = 0;  ///< balance::loadKey() of its ID
  /// Set after a failed connection. The replica gets no calls over this router's connections until then;
  /// after that, one call or a probe of the router shows whether it can be reached again.
  std::optional<TimePoint> probe_at;
  /// Set after several relays in a row couldn't connect to the replica: none is used for it until then.
  std::optional<TimePoint> relay_retry_at;
  std::uint32_t relay_failures = 0;  ///< relays in a row that couldn't connect to it
  bool listed = true;                ///< the leader lists the replica
  /// During slow start the replica is avoided, since it may crash under a load that it handles later.
  TimePoint slow_until{};

  bool unreachable(TimePoint now) const { return probe_at && now < *probe_at; }
  bool unreachableByRelay(TimePoint now) const { return relay_retry_at && now < *relay_retry_at; }
  bool holds(const ModelName& model, const std::string& adapter) const;
  void recordGap(const ModelName& model, Duration gap);
  /// Records the mean gap over several events. Single gaps are unreliable, since events may be read together.
  void recordMeanGap(const ModelName& model, Duration gap);
  /// Returns the estimated gap; zero: unknown.
  Duration gapOf(const ModelName& model) const;
  /// Time at which the replica may get calls for the model again; in the past if the model wasn't reported as
  /// missing.
  TimePoint missingUntil(const ModelName& model, const std::string& adapter) const;
  /// Starts or extends the backoff. The replica may be about to load the model, so it is retried soon, then
  /// at increasing intervals until the table changes.
  void recordMissing(const ModelName& model, const std::string& adapter, TimePoint now);
};

/// What began a stream of which the caller has events: what different software versions write doesn't fit
/// together.
struct StreamSource {
  std::optional<std::string> version;  ///< nullopt: unknown, so that only the same replica may go on
  ReplicaId replica;

  bool mayContinueAt(const wire::RoutedReplica& candidate) const {
    return candidate.id == replica || (version && candidate.version == version);
  }
};

/// Requirements of a call on its replica.
struct ReplicaNeed {
  ServiceName service;
  ModelName model;  ///< empty: the call names no model
  std::string adapter;
  std::uint64_t affinity_key = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t shared_tokens = 0;  ///< tokens in prompt parts that other calls share
  Duration stream_duration{};       ///< mean duration of streams on the call's route; zero: unknown
  std::set<ReplicaId> tried;        ///< used again only if no other replica is left
  /// Replica with a rate limit for which the call holds a credit that may be used now.
  std::optional<ReplicaId> credit;
  /// Set for a call that would be quarantined after one more crash. Replicas that the trial doesn't own are
  /// used only if no other is left.
  std::optional<quarantine::Trial> trial;
  /// Set once the caller has events of a stream: only replicas that may continue it are candidates.
  std::optional<StreamSource> source;
};

enum class ChoiceFailure : std::uint8_t {
  None,
  NoReplica,  ///< the service has no reachable replica that accepts new calls
  NotHeld,    ///< no such replica holds the model or the adapter
  Backoff,    ///< the candidates requested a backoff
  Limited,    ///< the candidates have a rate limit, and the call has no credit for one of them
  Refusing,   ///< the candidates have just refused a call
};

struct Choice {
  Replica* replica = nullptr;
  bool relayed = false;  ///< the replica is to be reached through another router
  ChoiceFailure failure = ChoiceFailure::None;
  bool unreachable = false;               ///< some replica was excluded only because it can't be reached
  std::optional<balance::FleetLoad> use;  ///< load of the replica, if the choice was based on it
  std::optional<TimePoint> recheck_at;    ///< earliest time at which an excluded replica may be tried
  std::optional<TimePoint> opens_at;      ///< earliest end of a backoff among the excluded replicas
  std::vector<ReplicaId> limited;         ///< replicas excluded only because the call has no credit
};

/// How attempts can reach replicas at present.
struct AvailablePaths {
  bool relayed = false;               ///< some router relays attempts
  std::set<ServiceName> suspect;      ///< services that this router's own connections aren't used for
  std::set<ServiceName> not_relayed;  ///< services that no router relays to now, though it may to others
};

/// The replicas that the leader lists, and those that still have attempts in flight. Not thread-safe; used by
/// one thread.
class ReplicaTable {
 public:
  /// Equally loaded replicas are chosen in an order that differs between routers and changes from call to
  /// call.
  ReplicaTable(ZoneName zone, std::uint64_t seed, const ReplicaLimitsSettings& limits = {})
      : zone_(std::move(zone)), local_home_salt_(seed), limits_(limits), brittle_(seed), turn_(seed) {}

  /// Applies the replicas of an update. A replica that accepts calls again after it was closed is reopened
  /// step by step.
  void apply(const wire::ServiceUpdate& update, TimePoint now);
  /// subscribed: the table lists only replicas that this router subscribes to, so that an unlisted replica
  /// may hold a model that none of the listed ones holds.
  void setSubscribed(bool subscribed) { subscribed_ = subscribed; }
  Replica* find(const ReplicaId& id);
  /// Returns the listed replica at this address; nullptr: none.
  const Replica* findByAddress(const std::string& address) const;
  /// Chooses the replica for a call: healthy, not tried yet and least loaded. Calls with the same affinity
  /// key share a home replica unless it is much busier than the others. An ejected replica is used only if
  /// there is no other.
  Choice choose(const ReplicaNeed& need, TimePoint now);
  /// True if a reachable replica that currently accepts calls from this router holds what the call needs.
  bool anyHolds(const ReplicaNeed& need, TimePoint now) const;
  /// Time at which the first replica that holds what the call needs accepts calls again; nullopt: one accepts
  /// calls now, or none holds it.
  std::optional<TimePoint> opensAt(const ReplicaNeed& need, TimePoint now) const;
  /// Notices that replicas sent to this router.
  ReplicaNotices& notices() { return notices_; }
  const ReplicaNotices& notices() const { return notices_; }
  /// Rate limits that replicas set for all routers together.
  ReplicaLimits& limits() { return limits_; }
  const ReplicaLimits& limits() const { return limits_; }
  /// Replicas that refusals may crash.
  BrittleReplicas& brittle() { return brittle_; }
  const BrittleReplicas& brittle() const { return brittle_; }
  /// Sets how replicas can be reached. While there are relays, unreachable replicas are probed by takeProbe()
  /// rather than by calls.
  void setPaths(const AvailablePaths& paths) { paths_ = paths; }
  /// Replicas to which no connection can be established at present, except those of services that this
  /// router's own connections aren't used for, since that says nothing of the replicas.
  std::vector<ReplicaId> unreachable(TimePoint now) const;
  /// Returns a replica whose connection should be probed now, and schedules its next probe; nullptr: none.
  const Replica* takeProbe(TimePoint now);
  /// Time of the next probe of an unreachable replica.
  TimePoint nextProbe() const;

  /// Sets the number of routers that share the replicas, including this one.
  void setRouters(std::uint32_t routers) {
    routers_ = routers;
    brittle_.setRouters(routers);
  }
  std::uint32_t routers() const { return routers_; }

  /// Applies the aggregated loads that the leader publishes.
  void acceptLoads(const std::vector<wire::ReplicaLoad>& loads, TimePoint now) { board_.accept(loads, now); }
  const balance::FleetLoadView& loadBoard() const { return board_; }
  /// Return the loads and event gaps since the last call, for the status to the leader.
  std::vector<wire::LocalReplicaLoad> takeLocalLoads();
  std::vector<wire::ObservedEventGap> takeEventGaps();

  /// Records an attempt; see ReplicaNotices::onSent().
  std::optional<ReplicaNotices::Reopening> onSent(Replica& replica, TimePoint now);
  void onUnreachable(Replica& replica, TimePoint now);
  /// Records that a relay couldn't connect to the replica.
  static void onUnreachableByRelay(Replica& replica, TimePoint now);
  /// Records progress of an attempt over this router's own connections. Returns true if the replica was
  /// considered unreachable before.
  bool onProgress(Replica& replica, TimePoint now);
  /// Records progress of a relayed attempt. Returns true if relays were considered unable to reach the
  /// replica.
  static bool onRelayedProgress(Replica& replica, TimePoint now);
  void onReleased(Replica& replica);
  std::size_t size() const { return replicas_.size(); }

 private:
  using Options = std::vector<Replica*>;

  static void keepIf(Options& options, const std::function<bool(const Replica&)>& matches);
  bool isSuspect(const Replica& replica) const { return paths_.suspect.contains(replica.routed.service); }
  bool reachedDirectly(const Replica& replica, TimePoint now) const;
  bool reachedByRelay(const Replica& replica, TimePoint now) const;
  /// Time at which an unreachable replica may be tried again.
  static TimePoint retryTime(const Replica& replica, TimePoint now);
  /// Returns the choice among the replicas that may get the call.
  Choice chooseAmong(Options options, const ReplicaNeed& need, TimePoint now);
  static void keepSmallGaps(Options& options, const ModelName& model);
  /// True if the replica accepts calls with these requirements, apart from backoffs and rate limits.
  bool serves(const Replica& replica, const ReplicaNeed& need, TimePoint now) const;
  std::uint32_t homeSurplus(const Replica& replica) const;
  Replica* leastLoaded(Options options, const ReplicaNeed& need) const;
  /// True if some of the replicas are known to be slow compared with others, so that calls are placed by
  /// cost.
  bool isUneven(const Options& options) const;
  /// Returns the replica with the lowest balance::callCost(), based on the load of all routers.
  Replica* cheapest(const Options& options, const ReplicaNeed& need) const;
  balance::FleetLoad fleetLoad(const Replica& replica) const;
  void unlist(const ReplicaId& id);
  /// Unlists the previous incarnation of the replica. Returns false if a later one is listed.
  bool followIncarnation(const ReplicaId& id);

  ZoneName zone_;
  std::map<ReplicaId, Replica> replicas_;
  std::map<ServiceName, std::set<ReplicaId>> by_service_;
  std::map<std::string, ReplicaId>
      incarnations_;               ///< latest incarnation by the name that the replica gives itself
  std::uint64_t local_home_salt_;  ///< salt of the affinity homes, used where routers don't share homes
  std::uint32_t routers_ = 1;
  bool subscribed_ = false;
  AvailablePaths paths_;
  std::set<ReplicaId> to_probe_;  ///< replicas with probe_at
  ReplicaId last_probed_;
  balance::FleetLoadView board_;
  ReplicaNotices notices_;
  ReplicaLimits limits_;
  BrittleReplicas brittle_;
  std::uint64_t turn_;
};

}  // namespace ferryrock::calls
