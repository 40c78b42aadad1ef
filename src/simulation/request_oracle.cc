#include "simulation/request_oracle.h"

#include "emulator/model/generated_text.h"

namespace ferryrock::simulation {
namespace {

/// A final answer may pass the deadline by the time that it takes to notice and tell.
constexpr Duration kLatenessSlack = std::chrono::milliseconds(50);

}  // namespace

void RequestOracle::onSent(const RequestId& request, const ExpectedRequest& expected) {
  ++counts_.sent;
  State state;
  state.expected = expected;
  requests_.emplace(request, std::move(state));
}

RequestOracle::State* RequestOracle::find(const RequestId& request, const std::string& what) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    fail_(what + " for " + request.value + ", which nobody sent");
    return nullptr;
  }
  return &found->second;
}

std::string RequestOracle::expectedText(const ExpectedRequest& expected) const {
  emulator::GeneratedText generated(expected.served, expected.prompt);
  std::string text;
  for (std::uint64_t i = 0; i < expected.max_tokens; ++i) {
    text += generated.token(i);
  }
  return text;
}

void RequestOracle::onChunk(const RequestId& request, const router::StreamChunk& chunk) {
  State* state = find(request, "a chunk");
  if (state == nullptr) {
    return;
  }
  if (state->ended) {
    fail_("a chunk after the end of " + request.value);
  }
  if (chunk.number != state->chunks) {
    fail_("chunk " + std::to_string(chunk.number) + " of " + request.value + " where " +
          std::to_string(state->chunks) + " was due");
  }
  ++state->chunks;
  state->text += chunk.text;
  if (!expectedText(state->expected).starts_with(state->text)) {
    fail_("a stream of " + request.value + " isn't its own answer");
  }
}

void RequestOracle::end(const RequestId& request, State& state, TimePoint now) {
  if (state.ended) {
    fail_(request.value + " ended twice");
  }
  state.ended = true;
  if (!state.lateness_excused && now > state.expected.deadline + kLatenessSlack) {
    fail_(request.value + " ended " + std::to_string(toMilliseconds(now - state.expected.deadline)) +
          " ms after its deadline");
  }
}

void RequestOracle::onAnswer(const RequestId& request, const router::CallerAnswerEffect& answer,
                             TimePoint now) {
  State* state = find(request, "an answer");
  if (state == nullptr) {
    return;
  }
  end(request, *state, now);
  ++counts_.answered;
  const std::string expected = expectedText(state->expected);
  const std::string& got = state->chunks > 0 ? state->text : answer.text;
  if (got != expected) {
    fail_("the answer of " + request.value + " isn't whole or isn't its own");
  }
}

void RequestOracle::onFailure(const RequestId& request, const router::CallerFailureEffect& failure,
                              TimePoint now) {
  State* state = find(request, "a refusal");
  if (state == nullptr) {
    return;
  }
  end(request, *state, now);
  state->told = failure.outcome;
  if (failure.outcome == router::Outcome::NotRun) {
    ++counts_.refused_not_run;
    if (state->ran || state->chunks > 0) {
      fail_(request.value + " was refused as not run (" + std::to_string(static_cast<int>(failure.code)) +
            "), but it ran");
    }
  } else if (failure.outcome == router::Outcome::Ran) {
    ++counts_.failed_ran;
  } else {
    ++counts_.failed_unknown;
    counts_.failed_unknown_without_key += state->expected.key ? 0 : 1;
  }
}

void RequestOracle::onCut(const RequestId& request) {
  if (State* state = find(request, "a cut")) {
    state->ended = true;
    ++counts_.cut;
  }
}

void RequestOracle::onLeft(const RequestId& request) {
  if (State* state = find(request, "a leave")) {
    state->ended = true;
    ++counts_.left;
  }
}

void RequestOracle::excuseLateness(const RequestId& request) {
  if (State* state = find(request, "an excuse")) {
    state->lateness_excused = true;
  }
}

void RequestOracle::checkNoneOpen(TimePoint now) {
  for (const auto& [request, state] : requests_) {
    if (!state.ended && state.expected.deadline + kLatenessSlack < now) {
      fail_(request.value + " was never answered");
      return;
    }
  }
}

void RequestOracle::onRunBegin(const EngineName& engine, const emulator::RunBeginRecord& run) {
  State* state = find(run.request, "a run on " + engine.value);
  if (state == nullptr) {
    return;
  }
  state->ran = true;
  if (state->told == router::Outcome::NotRun) {
    fail_(run.request.value + " runs on " + engine.value + " after it was refused as not run");
  }
  if (run.key.empty() || state->expected.repeatable) {
    return;
  }
  std::set<AttemptId>& runs = fresh_runs_[run.key];
  if (run.from_chunk == 0) {
    runs.insert(run.attempt);
  }
  if (runs.size() > 1) {
    fail_("key " + run.key.value + " runs a second time on " + engine.value);
  }
}

}  // namespace ferryrock::simulation
