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

/// A cell of service control members under a virtual clock, with a network that delays and cuts, disks that
/// lose what wasn't synced, and scripted routers and replicas.
namespace ferryrock::services {

struct ServiceMember {
  NodeName node;
  MemberId id;
  bool founder = false;
  std::unique_ptr<storage::MemoryDisk> disk;
  std::unique_ptr<storage::LogStorage> storage;
  std::unique_ptr<ServiceControl> control;  ///< null: stopped
  std::uint64_t starts = 0;
  std::vector<consensus::PersistEffect> unsynced;
  bool disk_hangs = false;
  bool disk_failed = false;  ///< and wasn't mended since
  TimePoint frozen_until{};
  std::map<std::uint64_t, AnswerEffect> answers;
};

/// A router that tells its status and takes updates as the product's does.
struct ScriptedRouter {
  wire::CallRouterStatus status;
  std::vector<wire::ModelWant> wants;
  std::map<ReplicaId, wire::RoutedReplica> replicas;
  std::vector<CatalogVersion> versions;  ///< in force, one after the other
  std::size_t updates = 0;               ///< that it got
  std::size_t sent_updates = 0;          ///< that were sent to it, whether it takes them or not
  bool silent = false;
};

/// Counts the calls that a router admits, and those that it sends by what it was told.
class AdmissionLog : public EventLog {
 public:
  void write(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    admitted += event == "call.admitted" ? 1 : 0;
    balanced += event == "call.balanced" ? 1 : 0;
  }
  std::size_t admitted = 0;
  std::size_t balanced = 0;  ///< sent by the load over all routers
};

/// The product's own router of calls.
struct RunningRouter {
  NodeName node;
  AdmissionLog log;
  std::unique_ptr<calls::CallRouter> logic;
  std::uint64_t calls = 0;
  TimePoint frozen_until{};
};

class ServiceCluster {
 public:
  explicit ServiceCluster(std::size_t founders, std::uint32_t losses_borne, std::uint64_t seed = 7);

  TimePoint now() const { return time_; }
  ServiceMember& member(std::size_t number) { return *members_.at(number); }
  ServiceMember* leader();
  /// Starts another process that asks to join; address_of: takes that member's address.
  ServiceMember& addMember(const std::string& address);
  void kill(ServiceMember& member);
  /// Power is lost.
  void powerOff(ServiceMember& member);
  /// Starts again; with an emptied disk under a new identity.
  void start(ServiceMember& member);
  void wipe(ServiceMember& member);
  void isolate(const NodeName& node);
  void heal() { cuts_.clear(); }
  /// The open connection between the two falls silent for good, in both directions and without a reset. One
  /// that is opened anew works.
  void silence(const NodeName& one, const NodeName& other) { silent_.insert(std::minmax(one, other)); }
  /// Nothing passes between the two, over a new connection neither.
  void cutLink(const NodeName& one, const NodeName& other) { cut_links_.insert(std::minmax(one, other)); }

  ScriptedRouter& addRouter(const std::string& name);
  RunningRouter& addCallRouter(const std::string& name);
  /// Another process at the same address; messages to the one before may still come to it.
  void restart(RunningRouter& router);
  /// Takes messages and looks at its clock again only after this time.
  void freeze(RunningRouter& router, Duration duration) { router.frozen_until = time_ + duration; }
  void freeze(ServiceMember& member, Duration duration) { member.frozen_until = time_ + duration; }
  /// A call with the key arrives at the router.
  void call(RunningRouter& router, const std::string& key);
  /// Of members that are started later.
  bool tells_loads = false;
  /// Of routers that are added or restarted later.
  std::optional<Duration> key_lifetime;
  /// Takes what routers do towards callers and replicas; may be empty.
  std::function<void(RunningRouter&, const calls::Effect&)> on_router_effect;
  /// Hands the member an event; one that comes while it is frozen waits.
  void act(ServiceMember& member, const std::function<Effects(ServiceControl&, TimePoint)>& action);
  /// Hands the router an event; one that comes while it is frozen waits.
  void actRouter(RunningRouter& router,
                 const std::function<calls::Effects(calls::CallRouter&, TimePoint)>& action);
  void schedule(Duration delay, std::function<void()> action) { after(delay, std::move(action)); }

  /// The router tells its status out of turn.
  void tell(ScriptedRouter& router);

  void runFor(Duration duration);
  bool runUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(30));

  std::uint64_t replace(ServiceMember& member, std::uint64_t version);
  std::uint64_t replace(ServiceMember& member, const wire::ServiceCatalog& catalog);
  std::uint64_t read(ServiceMember& member);
  std::uint64_t evacuate(ServiceMember& member, const std::string& zone, bool evacuated);
  std::uint64_t report(ServiceMember& member, const wire::ReplicaReport& report);
  /// nullopt: not answered yet.
  static std::optional<ResultCode> codeOf(const ServiceMember& member, std::uint64_t question);
  /// Replaces at whoever leads until it is acknowledged; false if it never was.
  bool replaceAcknowledged(std::uint64_t version, Duration limit = std::chrono::seconds(30));
  bool replaceAcknowledged(const wire::ServiceCatalog& catalog, Duration limit = std::chrono::seconds(30));
  /// Evacuates a zone, or gives it back, at whoever leads until it is acknowledged; false if it never was.
  bool evacuateAcknowledged(const std::string& zone, bool evacuated);
  /// Reads at whoever leads until it is answered.
  std::string readConfirmed();

  /// Orders that left, with their senders; answered as taken.
  std::vector<std::pair<NodeName, OrderReplicaEffect>> orders;
  std::vector<std::pair<NodeName, TimePoint>> order_times;
  std::size_t loads_told = 0;          ///< updates that tell the load of replicas
  std::size_t catalogs_by_others = 0;  ///< sent by members that don't lead
  std::size_t entries_sent = 0;        ///< replicas that updates list
  std::size_t catalogs_sent = 0;       ///< updates that bring a catalog
  std::map<NodeName, std::size_t> updates_to;
  std::size_t limit_messages = 0;  ///< of routers and leaders, about limits of replicas
  std::size_t lives_told = 0;      ///< replicas that members tell each other as alive, or whole
  /// Updates that a member sent in answer to one event, at most.
  std::size_t most_updates_per_event = 0;
  /// Replicas listed by the updates that left within one tick, at most.
  std::size_t most_entries_per_tick = 0;

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  bool askLeader(const std::function<std::uint64_t(ServiceMember&)>& ask, Duration limit);
  void after(Duration delay, std::function<void()> action);
  bool step(TimePoint limit);
  void sync(ServiceMember& member, std::uint64_t starts);
  void deliver(const NodeName& from, const NodeName& to, const wire::Message& message);
  void beatRouter(ScriptedRouter& router);
  void takeUpdate(ScriptedRouter& router, const wire::ServiceUpdate& update);
  void tickRouter(RunningRouter& router);
  void receive(RunningRouter& router, const wire::Envelope& envelope);
  void countEntries(const NodeName& to, const wire::Message& message);
  void carryOut(RunningRouter& router, const calls::Effects& effects);

  Random random_;
  std::uint32_t losses_borne_;
  TimePoint time_{std::chrono::seconds(1000)};
  std::uint64_t next_order_ = 1;
  std::uint64_t next_question_ = 1;
  TimePoint entries_since_{};
  std::size_t entries_per_tick_ = 0;
  std::size_t updates_of_event_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<ServiceMember>> members_;
  std::vector<NodeName> seeds_;
  std::vector<wire::Member> founders_;
  std::map<NodeName, std::unique_ptr<ScriptedRouter>> routers_;
  std::map<NodeName, std::unique_ptr<RunningRouter>> call_routers_;
  std::set<NodeName> cuts_;
  std::set<std::pair<NodeName, NodeName>> silent_;  ///< the smaller name first
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

/// A catalog with one plain service "desk" and one service "llm" with three models of 60 MB on replicas of
/// 130.
wire::ServiceCatalog makeCatalog(std::uint64_t version);
wire::ReplicaReport makeReport(const std::string& id, const std::string& service, std::uint64_t sequence);

}  // namespace ferryrock::services
