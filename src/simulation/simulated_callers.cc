#include "simulation/simulated_callers.h"

#include <utility>

#include "common/hashing.h"
#include "simulation/oracle.h"
#include "simulation/process_directory.h"

namespace ferryrock::simulation {
namespace {

constexpr int kMaximumResends = 3;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::uint64_t kShortestAnswer = 4;
constexpr std::uint64_t kLongestAnswer = 60;

}  // namespace

SimulatedCallers::SimulatedCallers(SimulationContext& context, Random random, const CallerSettings& settings)
    : context_(context), random_(std::move(random)), settings_(settings) {
  for (const CallerTarget& target : settings_.targets) {
    total_weight_ += target.weight;
  }
}

void SimulatedCallers::run(TimePoint until) {
  until_ = until;
  scheduleNext();
}

void SimulatedCallers::scheduleNext() {
  const double gap = random_.exponential(kNanosecondsPerSecond / settings_.requests_per_second);
  context_.events.after(Duration(static_cast<Duration::rep>(gap)), [this] {
    if (context_.events.now() >= until_) {
      return;
    }
    const CallerTarget& target = pickTarget();
    const bool burst = random_.chance(settings_.burst_chance);
    const std::uint32_t requests = burst ? settings_.burst_size : 1;
    for (std::uint32_t i = 0; i < requests; ++i) {
      if (SimulatedRouter* router = pickRouter()) {
        sendOne(target, *router);
      }
    }
    scheduleNext();
  });
}

const CallerTarget& SimulatedCallers::pickTarget() {
  double left = random_.unit() * total_weight_;
  for (const CallerTarget& target : settings_.targets) {
    left -= target.weight;
    if (left < 0) {
      return target;
    }
  }
  return settings_.targets.back();
}

SimulatedRouter* SimulatedCallers::pickRouter() {
  const auto& routers = context_.directory.routers();
  std::vector<SimulatedRouter*> running;
  for (const auto& [name, router] : routers) {
    if (router->running() && !router->paused()) {
      running.push_back(router);
    }
  }
  return running.empty() ? nullptr : running[random_.below(running.size())];
}

void SimulatedCallers::sendOne(const CallerTarget& target, SimulatedRouter& router) {
  KeyedRequest keyed;
  keyed.target = target;
  router::CallerRequest& caller = keyed.request.caller;
  caller.model = target.name;
  caller.path = "/v1/chat/completions";
  caller.stream = random_.chance(0.5);
  const auto spread = static_cast<double>((settings_.longest_deadline - settings_.shortest_deadline).count());
  caller.timeout =
      settings_.shortest_deadline + Duration(static_cast<Duration::rep>(random_.unit() * spread));
  caller.priority = static_cast<std::int32_t>(random_.below(3));
  keyed.request.prompt = "prompt " + std::to_string(random_.below(1000));
  keyed.request.max_tokens = kShortestAnswer + random_.below(kLongestAnswer - kShortestAnswer);
  caller.max_tokens = static_cast<std::uint32_t>(keyed.request.max_tokens);
  caller.body = keyed.request.prompt + "/" + std::to_string(keyed.request.max_tokens);
  caller.prompt_bytes = keyed.request.prompt.size();
  caller.prefix_hash = stableHash(keyed.request.prompt);
  if (!target.repeatable || random_.chance(settings_.key_chance)) {
    caller.key = IdempotencyKey{"key-" + std::to_string(next_key_++)};
  }
  send(keyed, router);
}

void SimulatedCallers::send(const KeyedRequest& keyed, SimulatedRouter& router) {
  SimulatedRequest request = keyed.request;
  request.caller.id = RequestId{"request-" + std::to_string(next_request_++)};
  const RequestId id = request.caller.id;
  ExpectedRequest expected;
  expected.served = keyed.target.served;
  expected.prompt = request.prompt;
  expected.max_tokens = request.max_tokens;
  expected.key = request.caller.key;
  expected.repeatable = keyed.target.repeatable;
  expected.deadline = context_.events.now() + *request.caller.timeout;
  RequestOracle& oracle = context_.oracle.requests();
  oracle.onSent(id, expected);
  open_[id] = router.name();
  context_.trace.write(context_.events.now(), router.name(),
                       "gets " + id.value + " for " + keyed.target.name.value);

  CallerCallbacks callbacks;
  // A caller that has left hears nothing of what its router hadn't noticed yet.
  callbacks.on_chunk = [this, id](const router::StreamChunk& chunk) {
    if (!open_.contains(id)) {
      return;
    }
    context_.oracle.requests().onChunk(id, chunk);
  };
  callbacks.on_answer = [this, id](const router::CallerAnswerEffect& answer) {
    if (open_.erase(id) == 0) {
      return;
    }
    context_.trace.write(context_.events.now(), "caller", "got the answer of " + id.value);
    context_.oracle.requests().onAnswer(id, answer, context_.events.now());
  };
  callbacks.on_failure = [this, id, keyed](const router::CallerFailureEffect& failure) {
    if (open_.erase(id) == 0) {
      return;
    }
    context_.trace.write(context_.events.now(), "caller",
                         id.value + " failed with " + std::to_string(static_cast<int>(failure.code)));
    context_.oracle.requests().onFailure(id, failure, context_.events.now());
    onFailure(keyed, failure);
  };
  callbacks.on_cut = [this, id, keyed] {
    if (open_.erase(id) == 0) {
      return;
    }
    context_.oracle.requests().onCut(id);
    resendLater(keyed);
  };
  const bool leaves = random_.chance(settings_.leave_chance);
  SimulatedRouter* target = &router;
  router.perform([target, request, callbacks] { target->request(request, callbacks); });
  if (leaves) {
    context_.events.after(Duration(static_cast<Duration::rep>(random_.unit() * kNanosecondsPerSecond)),
                          [this, id, target] {
                            if (open_.erase(id) > 0) {
                              ++context_.faults[static_cast<std::size_t>(FaultKind::CallerLeaves)];
                              context_.oracle.requests().onLeft(id);
                              target->perform([target, id] { target->callerGone(id); });
                            }
                          });
  }
}

void SimulatedCallers::onFailure(const KeyedRequest& keyed, const router::CallerFailureEffect& failure) {
  const bool in_progress = failure.code == ResultCode::ClaimInProgress;
  if (failure.outcome == router::Outcome::Unknown || in_progress) {
    resendLater(keyed);
  }
}

void SimulatedCallers::resendLater(KeyedRequest keyed) {
  if (!keyed.request.caller.key || keyed.resends >= kMaximumResends || context_.events.now() >= until_) {
    return;
  }
  ++keyed.resends;
  const double wait = random_.exponential(2 * kNanosecondsPerSecond);
  context_.events.after(Duration(static_cast<Duration::rep>(wait)), [this, keyed] {
    if (SimulatedRouter* router = pickRouter()) {
      send(keyed, *router);
    }
  });
}

void SimulatedCallers::excuseRequestsAt(const std::string& router) {
  for (const auto& [request, at] : open_) {
    if (at == router) {
      context_.oracle.requests().excuseLateness(request);
    }
  }
}

}  // namespace ferryrock::simulation
