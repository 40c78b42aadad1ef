#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "calls/call_router.h"
#include "common/event_log.h"
#include "common/random.h"
#include "services/service_control.h"
#include "storage/log_storage.h"
#include "storage/memory_file_system.h"
#include "storage/record_journal.h"

/// A cell of service control members under a virtual clock, with a network that delays and drops messages,
/// disks that lose unsynced writes on a power loss, and simulated routers and replicas.
namespace ferryrock::services {

struct ServiceMember {
  NodeName node;
  MemberId id;
  bool founder = false;
  std::unique_ptr<storage::MemoryDisk> disk;
  std::unique_ptr<storage::LogStorage> storage;
  std::unique_ptr<storage::MemoryDisk> origin_disk;  ///< lost together with the other one
  std::unique_ptr<storage::RecordJournal> origin_journal;
  std::unique_ptr<ServiceControl> control;  ///< null while the member is stopped
  std::uint64_t starts = 0;
  std::vector<consensus::PersistEffect> unsynced;
  bool disk_hangs = false;
  bool disk_failed = false;  ///< a write failed and the storage has not been repaired since
  TimePoint frozen_until{};
  std::map<std::uint64_t, AnswerEffect> answers;
};

/// A minimal router that reports its status and applies updates as the production router does.
struct ScriptedRouter {
  wire::CallRouterStatus status;
  std::vector<wire::ModelCallCounts> model_calls;
  std::map<ReplicaId, wire::RoutedReplica> replicas;
  std::vector<CatalogVersion> versions;  ///< versions that were in force, in order
  std::size_t updates = 0;               ///< number of updates received
  std::size_t sent_updates = 0;          ///< number of updates sent to the router, received or not
  bool silent = false;
};

/// Counts the calls that a router admits, and those that it balances by the fleet load.
class AdmissionLog : public EventLog {
 public:
  void write(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    admitted += event == "call.admitted" ? 1 : 0;
    balanced += event == "call.balanced" ? 1 : 0;
  }
  std::size_t admitted = 0;
  std::size_t balanced = 0;  ///< calls sent by the load aggregated over all routers
};

/// The production call router.
struct RunningRouter {
  NodeName node;
  AdmissionLog log;
  std::unique_ptr<calls::CallRouter> logic;
  std::uint64_t calls = 0;
  TimePoint frozen_until{};
};

class ServiceCluster {
 public:
  explicit ServiceCluster(std::size_t founders, std::uint32_t tolerated_losses, std::uint64_t seed = 7,
                          const balance::RetryBudgetSettings& retries = {});

  TimePoint now() const { return time_; }
  ServiceMember& member(std::size_t number) { return *members_.at(number); }
  ServiceMember* leader();
  /// Starts another process that requests to join the cell. If the address is a member's, the process takes
  /// over that address.
  ServiceMember& addMember(const std::string& address);
  /// Sets the nodes that members which are added or started later contact first.
  void setSeeds(std::vector<NodeName> seeds) { seeds_ = std::move(seeds); }
  void kill(ServiceMember& member);
  /// Stops the member as planned: its process ends once it may, at the latest after the production limit.
  void stop(ServiceMember& member);
  /// Stops the member and discards its unsynced writes, as a power loss does.
  void powerOff(ServiceMember& member);
  /// Starts the member; after wipe(), under a new identity.
  void start(ServiceMember& member);
  void wipe(ServiceMember& member);
  void isolate(const NodeName& node);
  void heal() { isolated_.clear(); }
  /// The open connection between the two nodes silently drops all messages in both directions, without a
  /// reset. A newly opened connection works.
  void silence(const NodeName& one, const NodeName& other) { silent_links_.insert(std::minmax(one, other)); }
  /// Drops all messages between the two nodes, over new connections too.
  void cutLink(const NodeName& one, const NodeName& other) { cut_links_.insert(std::minmax(one, other)); }

  ScriptedRouter& addRouter(const std::string& name);
  RunningRouter& addCallRouter(const std::string& name);
  /// Replaces the router by a new process at the same address, which may still receive messages sent to the
  /// previous one.
  void restart(RunningRouter& router);
  /// Until this time has passed, the router processes neither messages nor ticks.
  void freeze(RunningRouter& router, Duration duration) { router.frozen_until = time_ + duration; }
  void freeze(ServiceMember& member, Duration duration) { member.frozen_until = time_ + duration; }
  /// A call with this API key arrives at the router.
  void call(RunningRouter& router, const std::string& key);
  /// Setting of members that are started later.
  bool publishes_loads = false;
  /// Setting of routers that are added or restarted later.
  std::optional<Duration> key_lifetime;
  /// Handles the effects of routers on callers and replicas; may be empty.
  std::function<void(RunningRouter&, const calls::Effect&)> on_router_effect;
  /// Delivers an event to the member; while the member is frozen, the event is queued.
  void act(ServiceMember& member, const std::function<Effects(ServiceControl&, TimePoint)>& action);
  /// Delivers an event to the router; while the router is frozen, the event is queued.
  void actRouter(RunningRouter& router,
                 const std::function<calls::Effects(calls::CallRouter&, TimePoint)>& action);
  void schedule(Duration delay, std::function<void()> action) { after(delay, std::move(action)); }

  /// Sends the router's status immediately, in addition to the periodic reports.
  void sendStatus(ScriptedRouter& router);

  void runFor(Duration duration);
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(30));

  std::uint64_t replace(ServiceMember& member, std::uint64_t version);
  std::uint64_t replace(ServiceMember& member, const wire::ServiceCatalog& catalog);
  std::uint64_t read(ServiceMember& member);
  std::uint64_t evacuate(ServiceMember& member, const std::string& zone, bool evacuated);
  std::uint64_t report(ServiceMember& member, const wire::ReplicaReport& report);
  /// Result of the request; nullopt: not answered yet.
  static std::optional<ResultCode> codeOf(const ServiceMember& member, std::uint64_t request_number);
  /// Replaces the catalog at the current leader, retrying until it is acknowledged; false after the time
  /// limit.
  bool replaceAcknowledged(std::uint64_t version, Duration limit = std::chrono::seconds(30));
  bool replaceAcknowledged(const wire::ServiceCatalog& catalog, Duration limit = std::chrono::seconds(30));
  /// Evacuates or restores a zone at the current leader, retrying until it is acknowledged; false after the
  /// time limit.
  bool evacuateAcknowledged(const std::string& zone, bool evacuated);
  /// Reads the catalog at the current leader, retrying until it is answered.
  std::string readConfirmed();

  /// Orders sent, with their senders; each is answered as accepted.
  std::vector<std::pair<NodeName, OrderReplicaEffect>> orders;
  std::vector<std::pair<NodeName, TimePoint>> order_times;
  std::size_t load_updates_sent = 0;   ///< updates that contain the load of replicas
  std::size_t catalogs_by_others = 0;  ///< catalog updates sent to routers by members that don't lead
  std::size_t entries_sent = 0;        ///< replica entries in updates
  std::size_t catalogs_sent = 0;       ///< updates that contain a catalog
  std::map<NodeName, std::size_t> updates_to;
  std::size_t limit_messages = 0;  ///< messages between routers and leaders about replica limits
  std::size_t replica_reports_relayed =
      0;  ///< replica reports, full or unchanged, that members send each other
  /// Maximum number of updates that a member sent in response to one event.
  std::size_t max_updates_per_event = 0;
  /// Maximum number of replica entries in updates sent within one tick.
  std::size_t max_entries_per_tick = 0;

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  bool requestFromLeader(const std::function<std::uint64_t(ServiceMember&)>& send_request, Duration limit);
  void after(Duration delay, std::function<void()> action);
  bool step(TimePoint limit);
  void sync(ServiceMember& member, std::uint64_t starts);
  void continueStop(ServiceMember& member, std::uint64_t starts, TimePoint deadline);
  void deliver(const NodeName& from, const NodeName& to, const wire::Message& message);
  void sendStatusPeriodically(ScriptedRouter& router);
  void applyUpdate(ScriptedRouter& router, const wire::ServiceUpdate& update);
  void tickRouter(RunningRouter& router);
  void receive(RunningRouter& router, const wire::Envelope& envelope);
  void countEntries(const NodeName& to, const wire::Message& message);
  void carryOut(RunningRouter& router, const calls::Effects& effects);

  Random random_;
  std::uint32_t tolerated_losses_;
  balance::RetryBudgetSettings retries_;
  TimePoint time_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 1;
  std::uint64_t next_request_ = 1;
  TimePoint tick_begin_{};
  std::size_t entries_per_tick_ = 0;
  std::size_t event_updates_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<ServiceMember>> members_;
  std::vector<NodeName> seeds_;
  std::vector<wire::Member> founders_;
  std::map<NodeName, std::unique_ptr<ScriptedRouter>> routers_;
  std::map<NodeName, std::unique_ptr<RunningRouter>> call_routers_;
  std::set<NodeName> isolated_;
  std::set<std::pair<NodeName, NodeName>> silent_links_;  ///< smaller name first
  std::set<std::pair<NodeName, NodeName>> cut_links_;

  class Clock : public TimeSource {
   public:
    explicit Clock(const TimePoint& time) : time_(time) {}
    TimePoint monotonicTime() override { return time_; }
    WallMilliseconds wallTime() override { return toMilliseconds(time_.time_since_epoch()); }

   private:
    const TimePoint& time_;
  };
  Clock clock_{time_};
};

/// A catalog with a service "desk" without models and a service "llm" with three models of 60 MB on replicas
/// of 130 MB.
wire::ServiceCatalog makeCatalog(std::uint64_t version);
wire::ReplicaReport makeReport(const std::string& id, const std::string& service, std::uint64_t sequence);

}  // namespace ferryrock::services
