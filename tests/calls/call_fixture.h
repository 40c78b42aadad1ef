#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "calls/call_router.h"

namespace ferryrock::calls {

/// A call router under a virtual clock that records the effects it returns.
class CallFixture {
 public:
  explicit CallFixture(double retry_slack = 100)
      : retry_slack_(retry_slack), router_(settings(retry_slack), log_, now) {}

  /// Applies the catalog: /safe/ is repeatable, /once/ at most once, /stream/ a resumable stream, /single/ a
  /// stream that can't be resumed, and /model/ a stream on a service with models. Each route has a time limit
  /// of 1 s (/model/ 1.6 s) and up to 3 attempts.
  void begin() {
    wire::ServiceUpdate update;
    update.catalog = catalog(1);
    send(update);
    keepAlive();
  }
  /// Sends an update without changes.
  void keepAlive() {
    wire::ServiceUpdate update;
    update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
    send(update);
  }
  /// Sends the update of a leader that grants each service the slack of the retry budget, once.
  void send(wire::ServiceUpdate update) {
    update.revision = LogIndex{(std::uint64_t{1} << 40) | ++revision_};
    update.retry_credits = retryCredits();
    take(router_.receive({NodeName("control-1"), update}, now));
  }
  wire::RetryCredits retryCredits() const {
    constexpr std::int64_t kLeaseMs = 3'600'000;
    wire::RetryCredits credits;
    credits.lease_ms = kLeaseMs;
    for (const Effect& effect : all) {
      const auto* sent = std::get_if<wire::SendEffect>(&effect);
      const auto* status = sent == nullptr ? nullptr : std::get_if<wire::CallRouterStatus>(&sent->message);
      credits.status_sequence = status == nullptr ? credits.status_sequence : status->sequence;
    }
    const auto slack = static_cast<std::uint32_t>(retry_slack_);
    credits.grants = {{ServiceName("desk"), slack, slack}, {ServiceName("llm"), slack, slack}};
    return credits;
  }
  static wire::RoutedReplica replica(const std::string& id, const std::string& service = "desk") {
    wire::RoutedReplica replica;
    replica.id = ReplicaId(id);
    replica.service = ServiceName(service);
    replica.address = id + ":80";
    replica.slots = 4;
    replica.version = "v1";
    return replica;
  }
  void addReplicas(const std::vector<wire::RoutedReplica>& replicas) {
    wire::ServiceUpdate update;
    update.base = LogIndex{(std::uint64_t{1} << 40) | 1};
    update.replicas = replicas;
    send(update);
  }
  CallNumber call(const std::string& path, const std::string& model = "", const std::string& adapter = "") {
    CallRequest request;
    request.number = CallNumber{++calls_};
    request.id = RequestId("call-" + std::to_string(calls_));
    request.host = "Example:80";
    request.path = path;
    request.time_limit = std::chrono::seconds(10);
    request.model = ModelName(model);
    request.adapter = adapter;
    request.fingerprint = fingerprint;
    request.shared_parts = parts;
    take(router_.onCall(request, now));
    return CallNumber{calls_};
  }
  void pass(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now = std::min(end, std::max(now + std::chrono::milliseconds(1), router_.nextDeadline()));
      take(router_.tick(now));
    }
  }
  void take(Effects effects) {
    for (Effect& effect : effects) {
      if (const auto* probe = std::get_if<ProbeReplicaEffect>(&effect)) {
        probed_.push_back(probe->replica);
      }
      all.push_back(std::move(effect));
    }
  }
  /// Returns the last effect of the kind; nullptr: none.
  template <class Kind>
  const Kind* last() const {
    for (auto effect = all.rbegin(); effect != all.rend(); ++effect) {
      if (const auto* found = std::get_if<Kind>(&*effect)) {
        return found;
      }
    }
    return nullptr;
  }
  template <class Kind>
  std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const Effect& e) { return std::holds_alternative<Kind>(e); }));
  }
  AttemptNumber attempt() const { return last<SendAttemptEffect>()->attempt; }
  void answer(int status, bool proven_not_run = false) {
    take(router_.onAnswer(attempt(), {status, proven_not_run}, now));
  }
  /// Passes a notice from the replica of the last attempt.
  void notice(const ReplicaNotice& notice) {
    take(router_.onNotice(last<SendAttemptEffect>()->replica, notice, now));
  }
  /// The replica refuses the call without running it and requests a backoff of this duration.
  void refuseWithBackoff(Duration duration) {
    notice({false, duration, ""});
    answer(503, true);
  }
  std::size_t sentTo(const std::string& id) const {
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&id](const Effect& effect) {
      const auto* sent = std::get_if<SendAttemptEffect>(&effect);
      return sent != nullptr && sent->replica.value == id;
    }));
  }
  void fail(AttemptFailure failure) {
    take(router_.onFailure(attempt(), failure, "scripted", now));
    answerProbes();
  }
  /// Answers all pending probes.
  void answerProbes() {
    while (!probed_.empty()) {
      const ReplicaId replica = probed_.back();
      probed_.pop_back();
      take(router_.onProbed(replica, probe_outcome, now));
    }
  }
  void event(std::uint64_t id) {
    take(router_.onStreamEvent(attempt(), id, "id: " + std::to_string(id) + "\n\n", now));
  }

  static wire::ServiceCatalog catalog(std::uint64_t version);
  static CallRouterSettings settings(double retry_slack) {
    CallRouterSettings settings;
    settings.feed.router = NodeName("edge-1");
    settings.feed.seeds = {NodeName("control-1"), NodeName("control-2")};
    settings.retries.slack = retry_slack;
    return settings;
  }

  TimePoint now{std::chrono::seconds(1000)};
  std::vector<Effect> all;
  wire::CallFingerprint fingerprint{1, 1};           ///< fingerprint of subsequent calls
  std::vector<std::string> parts;                    ///< prompt parts of subsequent calls
  ProbeOutcome probe_outcome = ProbeOutcome::Alive;  ///< result of each probe
  CallRouter& router() { return router_; }

 private:
  double retry_slack_;
  NoEventLog log_;
  CallRouter router_;
  std::uint64_t calls_ = 0;
  std::uint64_t revision_ = 0;
  std::vector<ReplicaId> probed_;  ///< probes without an answer so far
};

inline wire::ServiceCatalog CallFixture::catalog(std::uint64_t version) {
  wire::ServiceCatalog catalog;
  catalog.version = CatalogVersion{version};
  wire::HostedService desk;
  desk.name = ServiceName("desk");
  wire::HostedService llm;
  llm.name = ServiceName("llm");
  llm.engine.emplace();
  catalog.services = {desk, llm};
  const auto add = [&catalog](const char* prefix, wire::CallKind kind, const char* service) -> auto& {
    wire::CallRoute route;
    route.name = RouteName(prefix);
    route.host = "example";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout_ms = 1000;
    route.target_latency_ms = 200;
    route.max_attempts = 3;
    route.targets = {{ServiceName(service), 1}};
    catalog.routes.push_back(route);
    return catalog.routes.back();
  };
  add("/safe/", wire::CallKind::Repeatable, "desk");
  add("/once/", wire::CallKind::AtMostOnce, "desk");
  add("/single/", wire::CallKind::Streaming, "desk");
  add("/stream/", wire::CallKind::Streaming, "desk").resumable = true;
  add("/model/", wire::CallKind::Streaming, "llm").timeout_ms = 1600;
  return catalog;
}

}  // namespace ferryrock::calls
