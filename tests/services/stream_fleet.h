#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "services/service_cluster.h"

namespace ferryrock::services {

/// Streams and what became of them, as callers see it.
struct StreamCounts {
  std::size_t begun = 0;             ///< new streams that callers asked for
  std::size_t served = 0;            ///< of those, streams that delivered an event
  std::size_t taken_up = 0;          ///< tries of callers to go on with a stream that was broken off
  std::size_t went_on = 0;           ///< of those, tries that delivered an event
  std::size_t servable = 0;          ///< part of taken_up: two replicas of the stream's version serve
  std::size_t servable_went_on = 0;  ///< of those, tries that delivered an event
  std::size_t of_versions = 0;       ///< streams with events of more than one software version or service
  std::size_t of_services = 0;       ///< streams with events of more than one service
  std::size_t mixed_answers = 0;     ///< answers, to one call each, with events of more than one version
};

/// A cell with real routers, and replicas of several software versions side by side whose events show their
/// version. Callers take a stream that was broken off up again at another router and name the call that
/// brought its first event, even at their third try.
class StreamFleet {
 public:
  StreamFleet(std::size_t routers, std::uint64_t seed);

  /// Starts a replica of the version; returns its number.
  std::size_t addReplica(const std::string& service, const std::optional<std::string>& version);
  /// The replica says that it leaves, and stops when its streams have ended.
  void drainReplica(std::size_t number);
  /// The replica breaks all its streams off and starts again, as this version.
  void crashReplica(std::size_t number, const std::string& next_version);
  /// The replica breaks all its streams off and goes on.
  void breakStreams(std::size_t number);
  /// Kills the router: its callers' connections break. It starts again at once with nothing in memory.
  void restartRouter(std::size_t number);
  void killMember(std::size_t number, Duration down);
  void killAllMembers(Duration down);
  /// All members lose power at once, and what their disks haven't synced.
  void powerOffAllMembers(Duration down);
  void cutRouterOff(std::size_t number, Duration duration);
  /// Runs the cell with new streams at this rate over all routers together.
  void streamFor(Duration time, double per_second, const std::string& path = "/llm/x");

  /// Callers wait this long before they take a stream up, in addition to their own pauses.
  Duration take_up_delay{};

  std::size_t replicaCount() const { return replicas_.size(); }
  std::vector<std::size_t> running(const std::string& service) const;

  ServiceCluster cluster;
  std::vector<RunningRouter*> routers;
  StreamCounts counts;
  Random random;
  std::map<ResultCode, std::size_t> refusals;
  std::map<std::string, std::size_t> begun_by_service;

 private:
  static constexpr Duration kHop = std::chrono::milliseconds(1);
  static constexpr Duration kFirstEvent = std::chrono::milliseconds(60);
  static constexpr Duration kGap = std::chrono::milliseconds(80);
  static constexpr Duration kHeartbeat = std::chrono::milliseconds(600);
  static constexpr std::uint64_t kEvents = 25;
  static constexpr int kMaxTries = 3;
  static constexpr std::size_t kMembers = 3;

  struct FleetReplica {
    std::string id;
    std::string service;
    std::string address;
    std::optional<std::string> version;
    bool up = true;
    bool leaving = false;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
  };
  /// A caller's stream over all its tries.
  struct Stream {
    std::string first_call;  ///< call that brought the first event
    std::uint64_t last_event = 0;
    int tries = 0;
    bool finished = false;
    std::string path;
    std::set<std::pair<std::string, std::string>> versions;  ///< services and versions of its events
  };
  struct Try {
    std::shared_ptr<Stream> stream;
    bool resumes = false;
    bool servable = false;
    bool delivered = false;
    std::set<std::string> versions;  ///< of its events
    bool mixed = false;
    RunningRouter* router = nullptr;
  };
  struct Run {
    RunningRouter* router = nullptr;
    const calls::CallRouter* process = nullptr;
    calls::SendAttemptEffect sent;
    std::size_t replica = 0;
    std::uint64_t life = 0;
    std::uint64_t next_event = 0;
  };
  using CallKey = std::pair<NodeName, calls::CallNumber>;
  using AttemptKey = std::pair<NodeName, calls::AttemptNumber>;

  void onEffect(RunningRouter& router, const calls::Effect& effect);
  void arrive(RunningRouter& router, const calls::SendAttemptEffect& sent);
  void produce(const AttemptKey& key);
  void fail(const AttemptKey& key);
  void onEvent(const CallKey& call, const std::string& bytes);
  void onBroken(const CallKey& call);
  void call(RunningRouter& router, const std::shared_ptr<Stream>& stream);
  void takeUpLater(const std::shared_ptr<Stream>& stream);
  void sendHeartbeat(std::size_t number);
  /// True if two replicas of the version that began the stream serve.
  bool isServable(const Stream& stream) const;
  std::optional<std::size_t> replicaAt(const std::string& address) const;

  std::vector<FleetReplica> replicas_;
  std::map<CallKey, Try> tries_;
  std::map<AttemptKey, Run> runs_;
  std::uint64_t next_call_ = 1;
};

}  // namespace ferryrock::services
