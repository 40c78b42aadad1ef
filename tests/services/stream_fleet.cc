#include "services/stream_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <charconv>
#include <cmath>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr const char* kModel = "m0";

wire::ServiceCatalog streamCatalog() {
  wire::ServiceCatalog catalog = makeCatalog(1);
  wire::HostedService other = catalog.services.back();
  other.name = ServiceName("other");
  catalog.services.push_back(other);
  wire::CallRoute split = catalog.routes.back();
  split.name = RouteName("split");
  split.path_prefix = "/split/";
  split.targets = {{ServiceName("llm"), 1}, {ServiceName("other"), 1}};
  catalog.routes.push_back(split);
  for (wire::CallRoute& route : catalog.routes) {
    route.kind = wire::CallKind::Streaming;
    route.resumable = true;
    route.timeout_ms = 20'000;
    route.target_latency_ms = 1'000;
    route.max_attempts = 3;
  }
  return catalog;
}

/// "SERVICE VERSION NUMBER"
std::string eventText(const std::string& service, const std::string& version, std::uint64_t number) {
  return service + " " + version + " " + std::to_string(number);
}

}  // namespace

StreamFleet::StreamFleet(std::size_t router_count, std::uint64_t seed)
    : cluster(kMembers, 1, seed), random(seed) {
  cluster.on_router_effect = [this](RunningRouter& router, const calls::Effect& effect) {
    onEffect(router, effect);
  };
  REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
  for (std::size_t i = 0; i < router_count; ++i) {
    routers.push_back(&cluster.addCallRouter("edge-" + std::to_string(i)));
  }
  REQUIRE(cluster.replaceAcknowledged(streamCatalog()));
}

std::size_t StreamFleet::addReplica(const std::string& service, const std::optional<std::string>& version) {
  const std::size_t number = replicas_.size();
  FleetReplica replica;
  replica.id = "r" + std::to_string(number) + "-0";
  replica.service = service;
  replica.address = "10.1.0." + std::to_string(number) + ":80";
  replica.version = version;
  replicas_.push_back(replica);
  sendHeartbeat(number);
  return number;
}

void StreamFleet::sendHeartbeat(std::size_t number) {
  cluster.schedule(kHeartbeat, [this, number] { sendHeartbeat(number); });
  FleetReplica& replica = replicas_[number];
  if (!replica.up) {
    return;
  }
  for (std::size_t i = 0; i < kMembers; ++i) {
    ServiceMember& member = cluster.member((number + i) % kMembers);
    if (member.control) {
      wire::ReplicaReport report = makeReport(replica.id, replica.service, ++replica.sequence);
      report.address = replica.address;
      report.slots = 64;
      report.leaving = replica.leaving;
      report.held = {{ModelName(kModel), {}}};
      report.version = replica.version;
      cluster.report(member, report);
      return;
    }
  }
}

std::vector<std::size_t> StreamFleet::running(const std::string& service) const {
  std::vector<std::size_t> numbers;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].up && !replicas_[i].leaving && replicas_[i].service == service) {
      numbers.push_back(i);
    }
  }
  return numbers;
}

void StreamFleet::drainReplica(std::size_t number) {
  replicas_[number].leaving = true;
  cluster.schedule(6s, [this, number] { replicas_[number].up = false; });
}

void StreamFleet::breakStreams(std::size_t number) {
  std::vector<AttemptKey> broken;
  for (const auto& [key, run] : runs_) {
    if (run.replica == number) {
      broken.push_back(key);
    }
  }
  for (const AttemptKey& key : broken) {
    fail(key);
  }
}

void StreamFleet::crashReplica(std::size_t number, const std::string& next_version) {
  FleetReplica& replica = replicas_[number];
  ++replica.life;
  replica.id = "r" + std::to_string(number) + "-" + std::to_string(replica.life);
  replica.version = next_version;
  replica.sequence = 0;
  breakStreams(number);
}

void StreamFleet::killMember(std::size_t number, Duration down) {
  ServiceMember& member = cluster.member(number);
  if (member.control) {
    cluster.kill(member);
    cluster.schedule(down, [this, &member] { cluster.start(member); });
  }
}

void StreamFleet::killAllMembers(Duration down) {
  for (std::size_t i = 0; i < kMembers; ++i) {
    killMember(i, down);
  }
}

void StreamFleet::powerOffAllMembers(Duration down) {
  for (std::size_t i = 0; i < kMembers; ++i) {
    ServiceMember& member = cluster.member(i);
    cluster.powerOff(member);
    cluster.schedule(down, [this, &member] { cluster.start(member); });
  }
}

void StreamFleet::cutRouterOff(std::size_t number, Duration duration) {
  cluster.isolate(routers[number]->node);
  cluster.schedule(duration, [this] { cluster.heal(); });
}

void StreamFleet::restartRouter(std::size_t number) {
  RunningRouter& router = *routers[number];
  std::vector<CallKey> broken;
  for (const auto& [key, attempt] : tries_) {
    if (attempt.router == &router) {
      broken.push_back(key);
    }
  }
  std::erase_if(runs_, [&router](const auto& item) { return item.second.router == &router; });
  cluster.restart(router);
  for (const CallKey& key : broken) {
    onBroken(key);
  }
}

std::optional<std::size_t> StreamFleet::replicaAt(const std::string& address) const {
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].address == address && replicas_[i].up) {
      return i;
    }
  }
  return std::nullopt;
}

void StreamFleet::onEffect(RunningRouter& router, const calls::Effect& effect) {
  if (const auto* sent = std::get_if<calls::SendAttemptEffect>(&effect)) {
    cluster.schedule(kHop, [this, &router, process = router.logic.get(), sent = *sent] {
      if (router.logic.get() == process) {
        arrive(router, sent);
      }
    });
  } else if (const auto* cancelled = std::get_if<calls::CancelAttemptEffect>(&effect)) {
    runs_.erase({router.node, cancelled->attempt});
  } else if (const auto* event = std::get_if<calls::PassEventEffect>(&effect)) {
    onEvent({router.node, event->call}, event->bytes);
  } else if (const auto* finished = std::get_if<calls::FinishStreamEffect>(&effect)) {
    const auto found = tries_.find({router.node, finished->call});
    if (found != tries_.end()) {
      found->second.stream->finished = true;
      tries_.erase(found);
    }
  } else if (const auto* broken = std::get_if<calls::BreakStreamEffect>(&effect)) {
    onBroken({router.node, broken->call});
  } else if (const auto* refused = std::get_if<calls::RefuseCallEffect>(&effect)) {
    ++refusals[refused->code];
    onBroken({router.node, refused->call});
  } else if (const auto* probe = std::get_if<calls::ProbeReplicaEffect>(&effect)) {
    const auto at = replicaAt(probe->address);
    const bool alive = at && replicas_[*at].id == probe->replica.value;
    const auto outcome = alive ? calls::ProbeOutcome::Alive : calls::ProbeOutcome::Terminated;
    cluster.schedule(2 * kHop, [this, &router, replica = probe->replica, outcome] {
      cluster.actRouter(router, [replica, outcome](calls::CallRouter& logic, TimePoint now) {
        return logic.onProbed(replica, outcome, now);
      });
    });
  }
}

/// A replica that has the address of another one by now answers as such, without running the call.
void StreamFleet::arrive(RunningRouter& router, const calls::SendAttemptEffect& sent) {
  const auto number = replicaAt(sent.address);
  if (!number || replicas_[*number].id != sent.replica.value) {
    cluster.actRouter(router, [attempt = sent.attempt](calls::CallRouter& logic, TimePoint now) {
      return logic.onAnswer(attempt, {421, true}, now);
    });
    return;
  }
  const AttemptKey key{router.node, sent.attempt};
  runs_[key] = {&router, router.logic.get(),      sent,
                *number, replicas_[*number].life, sent.resume_after.value_or(0) + 1};
  cluster.schedule(kFirstEvent, [this, key] { produce(key); });
}

void StreamFleet::produce(const AttemptKey& key) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  const FleetReplica& replica = replicas_[run.replica];
  RunningRouter& router = *run.router;
  const calls::AttemptNumber attempt = run.sent.attempt;
  if (run.next_event > kEvents) {
    runs_.erase(found);
    cluster.actRouter(router, [attempt](calls::CallRouter& logic, TimePoint now) {
      return logic.onStreamEnd(attempt, now);
    });
    return;
  }
  const std::uint64_t number = run.next_event++;
  const std::string text = eventText(replica.service, replica.version.value_or("unnamed"), number);
  cluster.schedule(kGap, [this, key] { produce(key); });
  cluster.actRouter(router, [attempt, number, text](calls::CallRouter& logic, TimePoint now) {
    return logic.onStreamEvent(attempt, number, text, now);
  });
}

void StreamFleet::fail(const AttemptKey& key) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) {
    return;
  }
  RunningRouter& router = *found->second.router;
  runs_.erase(found);
  cluster.actRouter(router, [attempt = key.second](calls::CallRouter& logic, TimePoint now) {
    return logic.onFailure(attempt, calls::AttemptFailure::OutcomeUnknown, "the replica broke off", now);
  });
}

void StreamFleet::onEvent(const CallKey& call, const std::string& bytes) {
  const auto found = tries_.find(call);
  if (found == tries_.end()) {
    return;
  }
  Try& attempt = found->second;
  Stream& stream = *attempt.stream;
  const std::size_t first = bytes.find(' ');
  const std::size_t second = bytes.rfind(' ');
  std::uint64_t number = 0;
  std::from_chars(bytes.data() + second + 1, bytes.data() + bytes.size(), number);
  CHECK(number == stream.last_event + 1);
  stream.last_event = number;
  const std::string service = bytes.substr(0, first);
  const std::string version = bytes.substr(first + 1, second - first - 1);
  attempt.versions.insert(version);
  if (attempt.versions.size() > 1 && !std::exchange(attempt.mixed, true)) {
    ++counts.mixed_answers;
  }
  const bool mixes = stream.versions.size() == 1 && stream.versions.insert({service, version}).second;
  stream.versions.insert({service, version});
  counts.of_versions += mixes ? 1 : 0;
  counts.of_services += mixes && stream.versions.begin()->first != stream.versions.rbegin()->first ? 1 : 0;
  if (!std::exchange(attempt.delivered, true)) {
    ++(attempt.resumes ? counts.went_on : counts.served);
    counts.servable_went_on += attempt.servable ? 1 : 0;
    begun_by_service[service] += attempt.resumes ? 0 : 1;
  }
}

void StreamFleet::onBroken(const CallKey& call) {
  const auto found = tries_.find(call);
  if (found == tries_.end()) {
    return;
  }
  const std::shared_ptr<Stream> stream = found->second.stream;
  tries_.erase(found);
  if (stream->last_event > 0 && stream->last_event < kEvents && stream->tries < kMaxTries) {
    takeUpLater(stream);
  }
}

bool StreamFleet::isServable(const Stream& stream) const {
  const std::pair<std::string, std::string>& began_at = *stream.versions.begin();
  return std::count_if(replicas_.begin(), replicas_.end(), [&began_at](const FleetReplica& replica) {
           return replica.up && !replica.leaving && replica.service == began_at.first &&
                  replica.version == began_at.second;
         }) >= 2;
}

void StreamFleet::takeUpLater(const std::shared_ptr<Stream>& stream) {
  const Duration pause = take_up_delay + std::chrono::milliseconds(20 + random.below(300));
  cluster.schedule(pause, [this, stream] { call(*routers[random.below(routers.size())], stream); });
}

void StreamFleet::call(RunningRouter& router, const std::shared_ptr<Stream>& stream) {
  calls::CallRequest request;
  request.number = calls::CallNumber{++router.calls};
  request.id = RequestId("call-" + std::to_string(next_call_++));
  request.host = "example";
  request.path = stream->path;
  request.time_limit = 15s;
  request.model = ModelName(kModel);
  request.fingerprint = {next_call_, next_call_};
  const bool resumes = stream->last_event > 0;
  if (resumes) {
    request.resume_after = stream->last_event;
    request.resumes = RequestId(stream->first_call);
  } else {
    stream->first_call = request.id.value;
  }
  ++stream->tries;
  const bool servable = resumes && isServable(*stream);
  counts.servable += servable ? 1 : 0;
  ++(resumes ? counts.taken_up : counts.begun);
  tries_[{router.node, request.number}] = Try{stream, resumes, servable, false, {}, false, &router};
  cluster.actRouter(
      router, [request](calls::CallRouter& logic, TimePoint now) { return logic.onCall(request, now); });
}

void StreamFleet::streamFor(Duration time, double per_second, const std::string& path) {
  const TimePoint end = cluster.now() + time;
  while (cluster.now() < end) {
    const double pause = -std::log(1 - random.unit()) / per_second;
    cluster.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
    auto stream = std::make_shared<Stream>();
    stream->path = path;
    call(*routers[random.below(routers.size())], stream);
  }
}

}  // namespace ferryrock::services
