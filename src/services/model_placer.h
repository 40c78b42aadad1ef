#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "services/model_demand.h"
#include "services/nearest_weights.h"
#include "services/placement_switches.h"
#include "services/replica_orders.h"
#include "services/replica_registry.h"
#include "services/store_loads.h"

namespace ferryrock::services {

using PlacerEffect = std::variant<OrderReplicaEffect, InspectReplicaEffect, ModelUnplacedEffect>;
using PlacerEffects = std::vector<PlacerEffect>;

struct ModelPlacerSettings {
  NodeName holder;
  Term fence;
  /// No order is sent before this time, because the lease of an earlier leader may still be valid.
  TimePoint first_order{};
  PlacementSwitches switches;
};

/// Decides which replica loads and unloads which models and adapters, for one leader's term. The contents of
/// a replica are those that it reports, plus the effects of orders that no report shows yet. Each replica has
/// at most one order in progress. An order carries the number of orders that the replica has accepted so far,
/// so that a delayed order cannot be carried out after a newer one. Not thread-safe.
class ModelPlacer {
 public:
  ModelPlacer(const ModelPlacerSettings& settings, ReplicaRegistry& registry, ModelDemand& demand)
      : settings_(settings), registry_(registry), demand_(demand), nearest_weights_(registry) {}

  /// unreachable: replicas that routers can't connect to. Their models count as not loaded, and they get no
  /// orders.
  PlacerEffects plan(const wire::ServiceCatalog& catalog, const std::set<ReplicaId>& unreachable,
                     TimePoint now);
  /// Sets the slowness of replicas relative to others, by balance::loadKey() of their ids. Replicas that
  /// aren't listed run at full speed.
  void setSlowness(std::map<std::uint32_t, double> slowness) { slowness_ = std::move(slowness); }
  /// Time at which a model that no replica holds is expected to serve; nullopt if the time is unknown or a
  /// replica holds the model.
  std::optional<TimePoint> expectedAt(const wire::HostedService& service, const ModelName& model,
                                      TimePoint now);
  /// Number of model loads ordered so far, plus model unloads that free memory for a load.
  std::uint64_t loadsBegun() const { return loads_begun_; }
  /// Number of replicas whose used memory the last plan() computed.
  std::size_t compared() const { return compared_; }
  /// Number of replicas scanned for expectedAt().
  std::uint64_t replicasScannedForExpected() const { return nearest_weights_.replicasScanned(); }
  void onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now);
  /// state: nullopt if the replica didn't answer.
  void onInspected(OrderNumber number, const std::optional<ReplicaState>& state, TimePoint now);

 private:
  using AdapterKey = std::pair<ModelName, std::string>;
  using ServiceModel = std::pair<ServiceName, ModelName>;
  struct Pending {
    OrderNumber number;
    OrderReplicaEffect order;
    bool inspecting = false;
    TimePoint since{};
  };
  /// State of one replica that its reports don't contain.
  struct Engine {
    std::optional<std::uint64_t> accepted_orders;
    std::optional<Pending> pending;
    std::optional<ModelName> loading;  ///< load in progress that no report shows yet
    double loading_mb = 0;
    TimePoint loading_since{};
    Duration loading_time{};                ///< expected duration
    TimePoint inspect_at{};                 ///< time to inspect the replica for the outcome of its order
    StoreLoads* store = nullptr;            ///< tracks the load if it reads from the weight store
    std::optional<ModelName> reserved_for;  ///< model for which another one is being unloaded
    TimePoint reserved_since{};
    std::optional<ModelName> unloading;
    TimePoint unloading_since{};
    TimePoint not_before{};          ///< earliest time of the next order
    int unanswered_inspections = 0;  ///< consecutive inspections without an answer
    /// Contents by the last inspection and the orders since. Reports may be older than these.
    std::set<ModelName> models;
    std::set<AdapterKey> adapters;
    TimePoint inspected{};
  };
  /// A replica that may receive orders, as seen by the current plan.
  struct Candidate {
    const ReplicaRecord* record = nullptr;
    Engine* engine = nullptr;
    std::optional<double> used_mb;  ///< computed on first use, see cachedUsedMegabytes()
    TimePoint claimed_until{};      ///< until then the replica is claimed for a more urgent model
  };
  using Candidates = std::vector<Candidate>;
  using CopyCounts = std::map<ModelName, std::size_t>;
  using Capacities = std::map<ModelName, double>;
  using HoldersByModel = std::map<ModelName, std::vector<Candidate*>>;
  struct PlacementRequest {
    double urgency = 0;
    bool missing = false;  ///< no replica holds the model
    const wire::HostedModel* model = nullptr;
  };
  /// Sorted by descending urgency.
  using PlacementRequests = std::vector<PlacementRequest>;
  class LocalWeights;
  /// The model to evict from a replica.
  struct Victim {
    ModelName model;
    double retention_value = 0;
    double evictable_mb = 0;  ///< total size of all evictable models on the replica
    bool running = false;
  };
  /// One possible placement of a model.
  struct Option {
    Candidate* candidate = nullptr;
    std::optional<ModelName> victim;
    TimePoint ready{};
    double cost = 0;
    bool possible_now = false;
  };
  struct Placement {
    std::optional<TimePoint> ready;  ///< expected time at which the model serves; nullopt: unknown
    UnplacedReason reason = UnplacedReason::None;
    std::uint32_t local_tier_replicas = 0;
  };
  struct UnplacedLog {
    TimePoint at{};
  };
  /// Load ordered from an earlier incarnation of a replica that never answered. The current incarnation may
  /// still carry it out until the given time.
  struct OrphanedLoad {
    double megabytes = 0;
    TimePoint until{};
  };

  // model_placer.cc
  /// Discards the state of replicas and incarnations that the registry no longer knows.
  void forgetRemovedReplicas(TimePoint now);
  void applyReports(Candidates& candidates, TimePoint now);
  static void applyReportedUnload(Candidate& candidate);
  void recordExpectedTimes(const wire::HostedService& service, const Candidates& candidates, TimePoint now);
  static bool loadIsLate(const Engine& engine, TimePoint now);
  /// Removes the pending order or inspection with this number; engines_.end() if it is no longer pending.
  std::map<ReplicaId, Engine>::iterator takePending(OrderNumber number);
  Candidates candidatesOf(const wire::HostedService& service, const std::set<ReplicaId>& unreachable,
                          TimePoint now);
  double& cachedUsedMegabytes(const wire::HostedService& service, Candidate& candidate);
  double usedMegabytes(const ReplicaRecord& record, const Engine& engine,
                       const wire::EngineTraits& traits) const;
  void indexModels(const wire::EngineTraits& traits);
  const wire::HostedModel* modelNamed(const ModelName& name) const;
  /// Adapters that are, or may be, loaded on the replica, including loads in progress.
  static std::set<AdapterKey> adaptersOf(const ReplicaRecord& record, const Engine& engine);
  bool canOrder(const Candidate& candidate, TimePoint now) const;
  void placeAdapters(const wire::HostedService& service, Candidates& candidates, TimePoint now);
  void loadAdapter(const wire::HostedService& service, const ModelKey& key,
                   const std::vector<Candidate*>& holders, TimePoint now);
  HoldersByModel holdersOf(const std::vector<ModelKey>& keys, Candidates& candidates) const;

  // model_placer_models.cc
  void placeModels(const wire::ServiceCatalog& catalog, const wire::HostedService& service,
                   Candidates& candidates, TimePoint now);
  PlacementRequests placementRequests(const wire::HostedService& service) const;
  std::optional<Placement> placeFromLocalTier(const wire::HostedService& service,
                                              const wire::HostedModel& model, Candidates& candidates,
                                              const LocalWeights& local_weights, TimePoint now);
  Placement placeFromStore(const wire::HostedService& service, const wire::HostedModel& model,
                           Candidates& candidates, StoreLoads::Forecast& forecast, TimePoint now);
  StoreLoads& storeOf(const ServiceName& service);
  void recordPlacement(const wire::HostedService& service, const PlacementRequest& item,
                       const Placement& placement, Duration max_retry_delay, TimePoint now);
  std::optional<Placement> findReservedReplica(const wire::HostedService& service,
                                               const wire::HostedModel& model, const Candidates& candidates,
                                               TimePoint now) const;
  std::optional<Option> optionOn(const wire::HostedService& service, const wire::HostedModel& model,
                                 Candidate& candidate, TimePoint now);
  TimePoint freeAt(const wire::HostedService& service, const Candidate& candidate, TimePoint now) const;
  std::optional<Victim> selectVictim(const wire::HostedService& service, const Candidate& candidate,
                                     TimePoint now) const;
  /// Value of keeping the model on a replica; nullopt if it must not be evicted.
  std::optional<double> retentionValue(const wire::HostedService& service, const ModelName& model,
                                       TimePoint now) const;
  Placement applyOption(const wire::HostedService& service, const wire::HostedModel& model,
                        const Option& option, TimePoint now);
  void beginLoad(const wire::HostedService& service, const wire::HostedModel& model, Candidate& candidate,
                 TimePoint now);
  void forgetAnnouncements(const wire::HostedService& service, const PlacementRequests& requests);
  /// Counts, by model, the copies that serve or are being loaded.
  void countCopies(const Candidates& candidates, TimePoint now);
  std::size_t copies(const ModelName& model) const;
  /// Copies of a model, expressed as the equivalent number of copies on full-speed replicas.
  double capacity(const ModelName& model) const;
  Capacities lostCapacities(const Candidates& candidates) const;
  double slownessOf(const ReplicaId& replica) const;
  double urgency(const wire::HostedService& service, const ModelName& model, const KeyDemand& demand) const;
  static void dropReservations(Candidates& candidates, const PlacementRequests& requests, TimePoint now);
  /// Running plus waiting calls that one copy can carry.
  static double callsInFlightPerCopy(const wire::HostedService& service);
  /// Number of copies on full-speed replicas that the demand requires.
  double requiredCapacity(const wire::HostedService& service, const ModelName& model) const;
  bool waitsForRunningCalls(const wire::HostedService& service, const Engine& engine) const;

  // model_placer_orders.cc
  /// Sends the order, or an inspection first if the replica's count of accepted orders is unknown or
  /// outdated.
  void order(Candidate& candidate, OrderAction action, const ModelName& model, const std::string& adapter,
             double megabytes, TimePoint now);
  void inspect(Candidate& candidate, TimePoint now);
  static void forgetLoad(const ReplicaId& replica, Engine& engine, TimePoint now);
  static void applyState(Engine& engine, const ReplicaState& state);
  void resolveInspectedOrder(const ReplicaId& replica, Engine& engine, const ReplicaState& state,
                             TimePoint now);
  void reportUnplaced(const wire::HostedService& service, const PlacementRequest& request,
                      const Placement& placement, TimePoint now);

  ModelPlacerSettings settings_;
  ReplicaRegistry& registry_;
  ModelDemand& demand_;
  NearestWeights nearest_weights_;
  std::map<ReplicaId, Engine> engines_;
  std::map<std::string, OrphanedLoad> orphaned_loads_;  ///< by replica name, without the incarnation
  std::map<ServiceName, StoreLoads> stores_;
  std::map<ServiceModel, TimePoint>
      expected_;                      ///< expected serving times of missing models, by the last plan
  std::set<ServiceModel> announced_;  ///< missing models whose callers got a time to retry after
  std::map<ServiceModel, UnplacedLog> unplaced_logged_;
  std::uint64_t next_number_ = 1;
  std::uint64_t loads_begun_ = 0;
  std::map<std::uint32_t, double> slowness_;
  Capacities lost_capacity_;    ///< copies of capacity lost by model, because slow replicas hold some of them
  CopyCounts copies_;           ///< copies by model of the service being planned, updated during the plan
  std::set<ModelName> served_;  ///< models that at least one replica of the service serves
  std::unordered_map<std::string_view, const wire::HostedModel*>
      models_;  ///< index of the models of the service being planned
  std::map<OrderNumber, ReplicaId> pending_orders_;
  std::size_t first_compared_ = 0;  ///< index of the first candidate of the next comparison
  std::size_t compared_ = 0;
  /// Models held by replicas in evacuated zones, of the service being planned.
  std::set<ModelName> evacuated_models_;
  PlacerEffects effects_;
};

}  // namespace ferryrock::services
