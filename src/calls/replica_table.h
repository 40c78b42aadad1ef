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
#include "calls/replica_limits.h"
#include "calls/replica_notices.h"
#include "common/random.h"
#include "quarantine/trial.h"
#include "router/replica_health.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// What a replica said that it lacks.
struct MissingModel {
  TimePoint until{};
  Duration pause{};
};

/// A replica with what this router has on it.
struct Replica {
  wire::RoutedReplica routed;
  router::ReplicaHealth health;
  std::uint32_t outstanding = 0;    ///< attempts of this router
  std::uint64_t unread_tokens = 0;  ///< prompts of its attempts that have shown no sign of life yet
  std::uint64_t sent_tokens = 0;    ///< of prompts, since the leader was last told
  TimePoint refused_until{};        ///< it said that it is full or leaves
  /// Models and adapters that it said it doesn't hold, though the table says so.
  std::map<std::pair<ModelName, std::string>, MissingModel> missing;
  /// Time between two events of a stream by model, as far as streams come undisturbed.
  std::map<ModelName, Duration> paces;
  /// Mean pauses of undisturbed parts of streams, the shortest since the leader was last told.
  std::map<ModelName, Duration> untold_paces;
  std::uint32_t load_key = 0;  ///< balance::loadKey() of its id
  /// No connection came up; until then it gets nothing, then one call probes it.
  std::optional<TimePoint> probe_at;
  bool listed = true;  ///< the leader still lists it
  /// From its start on it is slow, and may end under calls that it bears later.
  TimePoint slow_until{};

  bool unreachable(TimePoint now) const { return probe_at && now < *probe_at; }
  bool holds(const ModelName& model, const std::string& adapter) const;
  void notePause(const ModelName& model, Duration pause);
  /// The mean pause over several events; single ones may come together and tell nothing.
  void noteMeanPause(const ModelName& model, Duration pause);
  /// Zero: not known.
  Duration paceOf(const ModelName& model) const;
  /// When it may be asked for the model again; in the past if it never said that it lacks it.
  TimePoint missingUntil(const ModelName& model, const std::string& adapter) const;
  /// It may be about to get it: asked again soon, then less and less often until the table tells anew.
  void noteMissing(const ModelName& model, const std::string& adapter, TimePoint now);
};

/// What a call needs of a replica.
struct ReplicaNeed {
  ServiceName service;
  ModelName model;  ///< empty: none
  std::string adapter;
  std::uint64_t affinity_key = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t shared_tokens = 0;  ///< of the prompt, in parts that other calls share
  Duration stream_time{};           ///< that streams of the call's route take; zero: not known
  std::set<ReplicaId> tried;        ///< taken again only when nothing else is left
  /// A replica with a limit that the call has a credit for, which may be used now.
  std::optional<ReplicaId> credit;
  /// Of a call that one more end of a replica quarantines; replicas that it doesn't own are taken only when
  /// nothing else is left.
  std::optional<quarantine::Trial> trial;
};

enum class ChoiceFailure : std::uint8_t {
  None,
  NoReplica,  ///< the service has none that takes new calls and can be reached
  NotHeld,    ///< none of those holds the model or the adapter
  Backoff,    ///< those that could have asked for a time without calls
  Limited,    ///< those that could have a limit for all routers, and the call has no credit for one
  Refusing,   ///< those that could have refused just now
};

struct Choice {
  Replica* replica = nullptr;
  ChoiceFailure failure = ChoiceFailure::None;
  std::optional<balance::FleetUse> use;  ///< of the replica, where that decided
  std::optional<TimePoint> look_again;   ///< earliest instant at which one that was left out may be asked
  std::optional<TimePoint> opens_at;     ///< where they are in a backoff: the first end of one
  std::vector<ReplicaId> limited;        ///< left out for want of a credit alone
};

/// The replicas that the leader lists, and those with attempts still under way. Used by one thread.
class ReplicaTable {
 public:
  /// Equal replicas are taken in an order that differs between routers and from call to call.
  ReplicaTable(ZoneName zone, std::uint64_t seed, const ReplicaLimitsSettings& limits = {})
      : zone_(std::move(zone)), own_homes_(seed), limits_(limits), turn_(seed) {}

  /// Takes an update's replicas. One that was closed and takes calls again is opened step by step.
  void apply(const wire::ServiceUpdate& update, TimePoint now);
  /// part: only replicas are listed that calls asked for, so that others may hold a model that none does.
  void listPart(bool part) { lists_part_ = part; }
  Replica* find(const ReplicaId& id);
  /// The replica for a call: one that is sound, untried and least loaded; calls of one affinity key share a
  /// home while it isn't much busier than others. An ejected replica is taken only if there is no other.
  Choice choose(const ReplicaNeed& need, TimePoint now);
  /// True when a replica that takes new calls, from this router too, and can be reached holds what the call
  /// needs.
  bool anyHolds(const ReplicaNeed& need, TimePoint now) const;
  /// When the first of those that hold what the call needs takes calls again; nullopt: one does now, or none
  /// holds it.
  std::optional<TimePoint> opensAt(const ReplicaNeed& need, TimePoint now) const;
  /// What replicas said of themselves to this router.
  ReplicaNotices& notices() { return notices_; }
  const ReplicaNotices& notices() const { return notices_; }
  /// What they take from all routers together.
  ReplicaLimits& limits() { return limits_; }
  const ReplicaLimits& limits() const { return limits_; }
  /// Those to which no connection comes up just now.
  std::vector<ReplicaId> unreachable(TimePoint now) const;

  /// Routers that send calls to the same replicas, this one included.
  void setRouters(std::uint32_t routers) { routers_ = routers; }
  std::uint32_t routers() const { return routers_; }

  /// What the leader tells of the load of replicas.
  void acceptLoads(const std::vector<wire::ReplicaLoad>& loads, TimePoint now) { board_.accept(loads, now); }
  const balance::LoadBoard& loadBoard() const { return board_; }
  /// What this router has at replicas, and the paces that it saw; counted anew from here on.
  std::vector<wire::ReplicaUse> takeUses();
  std::vector<wire::ObservedPace> takePaces();

  /// As ReplicaNotices::onSent().
  std::optional<ReplicaNotices::Reopening> onSent(Replica& replica, TimePoint now);
  static void onUnreachable(Replica& replica, TimePoint now);
  /// A sign of life. True if no connection had come up before.
  static bool onProgress(Replica& replica, TimePoint now);
  void onReleased(Replica& replica);
  std::size_t size() const { return replicas_.size(); }

 private:
  using Options = std::vector<Replica*>;

  static void keepIf(Options& options, const std::function<bool(const Replica&)>& wanted);
  static void keepFast(Options& options, const ModelName& model);
  /// It takes calls of this need, but for a backoff.
  bool serves(const Replica& replica, const ReplicaNeed& need, TimePoint now) const;
  std::uint32_t homeSurplus(const Replica& replica) const;
  Replica* leastLoaded(Options options, const ReplicaNeed& need) const;
  /// True if some of these are known to be so much slower than others that calls had better be told apart.
  bool isUneven(const Options& options) const;
  /// The one where the call costs its caller and the others there least, by the load over all routers.
  Replica* cheapest(const Options& options, const ReplicaNeed& need) const;
  balance::FleetUse fleetUse(const Replica& replica) const;
  void unlist(const ReplicaId& id);
  /// Unlists the life that the replica had before; false if a later one is listed.
  bool followLife(const ReplicaId& id);

  ZoneName zone_;
  std::map<ReplicaId, Replica> replicas_;
  std::map<ServiceName, std::set<ReplicaId>> by_service_;
  std::map<std::string, ReplicaId> lives_;  ///< the latest, by the name that the replica gives itself
  std::uint64_t own_homes_;  ///< changes the homes of affinity keys where routers don't share them
  std::uint32_t routers_ = 1;
  bool lists_part_ = false;
  balance::LoadBoard board_;
  ReplicaNotices notices_;
  ReplicaLimits limits_;
  std::uint64_t turn_;
};

}  // namespace ferryrock::calls
