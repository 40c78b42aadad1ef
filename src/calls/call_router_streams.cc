#include <algorithm>
#include <utility>

#include "calls/call_router.h"

/// The part of CallRouter that keeps a stream at the software version that began it: within one answer, and
/// over the calls by which its caller resumes it.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// Retry time of a caller whose stream a member may know that hasn't answered.
constexpr Duration kRetryOriginLater = 200ms;

std::string_view view(const std::string& text) {
  return text;
}

std::string_view versionName(const std::optional<std::string>& version) {
  return version ? view(*version) : std::string_view("unknown");
}

}  // namespace

bool CallRouter::routesTo(const wire::CallRoute& route, const ServiceName& service) {
  return std::any_of(route.targets.begin(), route.targets.end(), [&service](const wire::RouteTarget& target) {
    return target.service == service && target.weight > 0;
  });
}

bool CallRouter::resumesStream(const Call& call) {
  return call.request.resume_after && call.route->kind == wire::CallKind::Streaming;
}

bool CallRouter::findSource(CallPointer call, TimePoint now) {
  Call& state = call->second;
  if (state.need.source) {
    return true;
  }
  const RequestId& stream = state.request.resumes;
  if (const auto origin = origins_.find(stream)) {
    ++counts_.origins_known;
    setOrigin(state, *origin);
    return true;
  }
  if (origins_.ask(stream, now)) {
    awaiting_origin_[stream].push_back(call->first);
    setTimer(call);
  } else {
    refuseUnknownOrigin(call,
                        stream.empty() ? "the call doesn't name the stream that it resumes"
                                       : "no control member keeps the origins of streams",
                        std::nullopt, now);
  }
  return false;
}

void CallRouter::setOrigin(Call& call, const wire::StreamOrigin& origin) {
  call.origin = origin;
  call.need.source = StreamSource{origin.version, origin.replica};
}

void CallRouter::resolveOrigin(const StreamOriginAnswer& answer, TimePoint now) {
  const auto waiting = awaiting_origin_.find(answer.stream);
  if (waiting == awaiting_origin_.end()) {
    return;
  }
  const std::vector<CallNumber> numbers = std::move(waiting->second);
  awaiting_origin_.erase(waiting);
  for (const CallNumber number : numbers) {
    const CallPointer call = calls_.find(number);
    if (call == calls_.end()) {
      continue;
    }
    if (answer.origin) {
      ++counts_.origins_asked;
      setOrigin(call->second, *answer.origin);
      beginCall(call, now);
    } else {
      refuseUnknownOrigin(
          call,
          answer.complete ? "no control member knows the stream" : "not all control members answered in time",
          answer.complete ? std::nullopt : std::optional<Duration>(kRetryOriginLater), now);
    }
  }
}

void CallRouter::refuseUnknownOrigin(CallPointer call, const std::string& detail,
                                     std::optional<Duration> retry_after, TimePoint now) {
  ++counts_.origins_unknown;
  log_.write(LogLevel::Warning, "stream.origin_unknown",
             {{"request", view(call->second.request.id.value)},
              {"stream", view(call->second.request.resumes.value)},
              {"detail", view(detail)}});
  refuse(call, ResultCode::StreamOriginUnknown, detail, retry_after, now);
}

void CallRouter::logResumedStream(const Call& call, const Replica& replica) {
  log_.write(LogLevel::Info, "stream.resumed",
             {{"request", view(call.request.id.value)},
              {"stream", view(call.request.resumes.value)},
              {"after_event", static_cast<std::int64_t>(*call.request.resume_after)},
              {"service", view(call.origin->service.value)},
              {"began_at", view(call.origin->replica.value)},
              {"began_version", versionName(call.origin->version)},
              {"replica", view(replica.routed.id.value)},
              {"version", versionName(replica.routed.version)}});
}

/// The origin is reported before the event leaves the router. If the report is lost, nobody continues the
/// stream.
void CallRouter::recordSource(Call& call, TimePoint now) {
  if (!call.need.source) {
    const Replica* replica = replicas_.find(call.attempt->replica);
    wire::StreamOrigin origin;
    origin.stream = call.request.id;
    origin.service = call.need.service;
    origin.version = replica == nullptr ? std::nullopt : replica->routed.version;
    origin.replica = call.attempt->replica;
    setOrigin(call, origin);
  }
  if (!call.started && call.origin && call.route->resumable) {
    origins_.onRunning(*call.origin, now);
  }
}

/// The caller may take the stream up again where a replica of the version is known. A subscribed table may
/// lack replicas that the next one lists.
bool CallRouter::refuseWithoutVersion(CallPointer call, const Choice& choice, TimePoint now) {
  const bool none_holds = choice.failure == ChoiceFailure::NoReplica ||
                          (choice.failure == ChoiceFailure::NotHeld && !feed_.holdsSubscribedTable());
  if (!call->second.need.source || choice.unreachable || choice.recheck_at || !none_holds) {
    return false;
  }
  refuseVersionGone(call, "no replica of the version that began the stream", now);
  return true;
}

void CallRouter::refuseVersionGone(CallPointer call, const std::string& detail, TimePoint now) {
  ++counts_.version_gone;
  refuse(call, ResultCode::StreamVersionGone, detail, std::nullopt, now);
}

}  // namespace ferryrock::calls
