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
  /// No order leaves earlier: until then an earlier leader's lease may hold.
  TimePoint first_order{};
  PlacementSwitches switches;
};

/// Decides which replica loads and unloads which model and adapter, for one leader's term. What a replica
/// holds is what it says; on top of that the placer keeps what it ordered. One order at a time to a replica,
/// each with the count of orders that the replica has taken, so that one carried out late can't follow a
/// newer one. Used by one thread.
class ModelPlacer {
 public:
  ModelPlacer(const ModelPlacerSettings& settings, ReplicaRegistry& registry, ModelDemand& demand)
      : settings_(settings), registry_(registry), demand_(demand), nearest_weights_(registry) {}

  /// unreachable: replicas that routers can't connect to; what they hold serves nobody, and they get no
  /// orders.
  PlacerEffects plan(const wire::ServiceCatalog& catalog, const std::set<ReplicaId>& unreachable,
                     TimePoint now);
  /// Replicas that are slower than others, by balance::loadKey() of their ids; those that aren't listed are
  /// taken as equal.
  void takeSlowness(std::map<std::uint32_t, double> slowness) { slowness_ = std::move(slowness); }
  /// When a model that no replica holds should serve; nullopt: it isn't known, or a replica holds it.
  std::optional<TimePoint> expectedAt(const wire::HostedService& service, const ModelName& model,
                                      TimePoint now);
  /// Raised with each load of a model, and with each unload that makes room for one.
  std::uint64_t loadsBegun() const { return loads_begun_; }
  /// Replicas whose room was worked out by the last plan.
  std::size_t compared() const { return compared_; }
  /// Replicas that were looked at for expectedAt().
  std::uint64_t replicasPassedForExpected() const { return nearest_weights_.replicasPassed(); }
  void onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now);
  /// nullopt: the replica didn't answer.
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
  /// What the placer knows of one replica beyond its reports.
  struct Engine {
    std::optional<std::uint64_t> orders_taken;
    std::optional<Pending> pending;
    std::optional<ModelName> loading;  ///< taken, not yet in a report
    double loading_mb = 0;
    TimePoint loading_since{};
    Duration loading_time{};            ///< as expected
    TimePoint doubted_from{};           ///< when the replica is asked whether it is at the load
    StoreLoads* store = nullptr;        ///< counts the load, if it is one from the weight store
    std::optional<ModelName> room_for;  ///< unloads something for that model
    TimePoint room_since{};
    std::optional<ModelName> unloading;
    TimePoint unloading_since{};
    TimePoint not_before{};  ///< of the next order
    int unanswered = 0;      ///< inspections in a row
    /// What the last inspection showed and what was ordered since, beyond the reports. Reports can be older.
    std::set<ModelName> models;
    std::set<AdapterKey> adapters;
    TimePoint inspected{};
  };
  /// A replica that may get orders, as the plan sees it.
  struct Candidate {
    const ReplicaRecord* record = nullptr;
    Engine* engine = nullptr;
    std::optional<double> used_mb;  ///< worked out where it is asked for, see usedOf()
    TimePoint claimed_until{};      ///< a model that is more urgent will use it until then
  };
  using Candidates = std::vector<Candidate>;
  using CopyCounts = std::map<ModelName, std::size_t>;
  using Capacities = std::map<ModelName, double>;
  using HoldersByModel = std::map<ModelName, std::vector<Candidate*>>;
  struct WantedModel {
    double urgency = 0;
    bool missing = false;  ///< no replica holds it
    const wire::HostedModel* model = nullptr;
  };
  /// The most urgent first.
  using WantedModels = std::vector<WantedModel>;
  class NearWeights;
  /// What gives way on a replica.
  struct Victim {
    ModelName model;
    double worth = 0;
    double evictable_mb = 0;  ///< of all that may give way there
    bool running = false;
  };
  /// One way to place a model.
  struct Option {
    Candidate* candidate = nullptr;
    std::optional<ModelName> victim;
    TimePoint ready{};
    double cost = 0;
    bool possible_now = false;
  };
  struct Placement {
    std::optional<TimePoint> ready;  ///< when the model should serve; none: it can't be told
    UnplacedReason reason = UnplacedReason::None;
    std::uint32_t near_replicas = 0;
  };
  struct Note {
    TimePoint at{};
  };
  /// A load that a former life of a replica was ordered and didn't answer for: its present life may carry it
  /// out until then.
  struct StrayLoad {
    double megabytes = 0;
    TimePoint until{};
  };

  // model_placer.cc
  /// Forgets replicas, and former lives of replicas, that are gone.
  void followLives(TimePoint now);
  void settleFinished(Candidates& candidates, TimePoint now);
  static void settleUnload(Candidate& candidate);
  void noteExpected(const wire::HostedService& service, const Candidates& candidates, TimePoint now);
  static bool loadIsLate(const Engine& engine, TimePoint now);
  /// Ends the order or the inspection of this number; nullptr: it isn't known any more.
  std::map<ReplicaId, Engine>::iterator takePending(OrderNumber number);
  Candidates candidatesOf(const wire::HostedService& service, const std::set<ReplicaId>& unreachable,
                          TimePoint now);
  double& usedOf(const wire::HostedService& service, Candidate& candidate);
  double usedMegabytes(const ReplicaRecord& record, const Engine& engine,
                       const wire::EngineTraits& traits) const;
  void indexModels(const wire::EngineTraits& traits);
  const wire::HostedModel* modelNamed(const ModelName& name) const;
  /// Adapters on a replica or on their way, as far as they may be there.
  static std::set<AdapterKey> adaptersOf(const ReplicaRecord& record, const Engine& engine);
  bool ready(const Candidate& candidate, TimePoint now) const;
  void placeAdapters(const wire::HostedService& service, Candidates& candidates, TimePoint now);
  void loadAdapter(const wire::HostedService& service, const ModelKey& key,
                   const std::vector<Candidate*>& holders, TimePoint now);
  HoldersByModel holdersOf(const std::vector<ModelKey>& keys, Candidates& candidates) const;

  // model_placer_models.cc
  void placeModels(const wire::ServiceCatalog& catalog, const wire::HostedService& service,
                   Candidates& candidates, TimePoint now);
  WantedModels wantedModels(const wire::HostedService& service) const;
  std::optional<Placement> placeNear(const wire::HostedService& service, const wire::HostedModel& model,
                                     Candidates& candidates, const NearWeights& near, TimePoint now);
  Placement placeFromStore(const wire::HostedService& service, const wire::HostedModel& model,
                           Candidates& candidates, StoreLoads::Forecast& forecast, TimePoint now);
  StoreLoads& storeOf(const ServiceName& service);
  void notePlacement(const wire::HostedService& service, const WantedModel& item, const Placement& placement,
                     Duration longest_absence, TimePoint now);
  std::optional<Placement> comingRoom(const wire::HostedService& service, const wire::HostedModel& model,
                                      const Candidates& candidates, TimePoint now) const;
  std::optional<Option> optionOn(const wire::HostedService& service, const wire::HostedModel& model,
                                 Candidate& candidate, TimePoint now);
  TimePoint freeAt(const wire::HostedService& service, const Candidate& candidate, TimePoint now) const;
  std::optional<Victim> leastWorth(const wire::HostedService& service, const Candidate& candidate,
                                   TimePoint now) const;
  /// Worth of keeping the model on a replica; nullopt: it must stay.
  std::optional<double> keepWorth(const wire::HostedService& service, const ModelName& model,
                                  TimePoint now) const;
  Placement take(const wire::HostedService& service, const wire::HostedModel& model, const Option& option,
                 TimePoint now);
  void beginLoad(const wire::HostedService& service, const wire::HostedModel& model, Candidate& candidate,
                 TimePoint now);
  void forgetPromises(const wire::HostedService& service, const WantedModels& wanted);
  /// Copies that serve or are about to, by model.
  void countCopies(const Candidates& candidates, TimePoint now);
  std::size_t copies(const ModelName& model) const;
  /// The copies of a model as so many on replicas of full speed.
  double capacity(const ModelName& model) const;
  Capacities lostCapacities(const Candidates& candidates) const;
  double slownessOf(const ReplicaId& replica) const;
  double urgency(const wire::HostedService& service, const ModelName& model, const KeyDemand& demand) const;
  static void dropReservations(Candidates& candidates, const WantedModels& wanted, TimePoint now);
  /// Calls running or waiting for which one copy is enough.
  static double callsInHandPerCopy(const wire::HostedService& service);
  /// Copies on replicas of full speed for which the demand is enough.
  double wantedCapacity(const wire::HostedService& service, const ModelName& model) const;
  bool waitsForRuns(const wire::HostedService& service, const Engine& engine) const;

  // model_placer_orders.cc
  /// Orders, or first inspects a replica whose count of orders isn't known.
  void order(Candidate& candidate, OrderAction action, const ModelName& model, const std::string& adapter,
             double megabytes, TimePoint now);
  void inspect(Candidate& candidate, TimePoint now);
  static void forgetLoad(const ReplicaId& replica, Engine& engine, TimePoint now);
  static void takeState(Engine& engine, const ReplicaState& state);
  void settleDoubt(const ReplicaId& replica, Engine& engine, const ReplicaState& state, TimePoint now);
  void noteUnplaced(const wire::HostedService& service, const WantedModel& wanted, const Placement& placement,
                    TimePoint now);

  ModelPlacerSettings settings_;
  ReplicaRegistry& registry_;
  ModelDemand& demand_;
  NearestWeights nearest_weights_;
  std::map<ReplicaId, Engine> engines_;
  std::map<std::string, StrayLoad> strays_;  ///< by the name that the replica gives itself
  std::map<ServiceName, StoreLoads> stores_;
  std::map<ServiceModel, TimePoint>
      expected_;                     ///< when models that are missing should serve, by the last plan
  std::set<ServiceModel> promised_;  ///< their callers were told when to come back
  std::map<ServiceModel, Note> noted_;
  std::uint64_t next_number_ = 1;
  std::uint64_t loads_begun_ = 0;
  std::map<std::uint32_t, double> slowness_;
  Capacities lost_capacity_;    ///< what the copies lack that stand on slow replicas
  CopyCounts copies_;           ///< of the service that is planned, as the plan goes on
  std::set<ModelName> served_;  ///< models that some replica of the service serves
  std::unordered_map<std::string_view, const wire::HostedModel*> models_;  ///< of the service that is planned
  std::map<OrderNumber, ReplicaId> pending_orders_;
  std::size_t first_compared_ = 0;  ///< where the next comparison of replicas begins
  std::size_t compared_ = 0;
  /// That replicas of evacuated zones hold, of the service that is planned.
  std::set<ModelName> evacuated_models_;
  PlacerEffects effects_;
};

}  // namespace ferryrock::services
