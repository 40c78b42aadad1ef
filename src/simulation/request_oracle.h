#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"
#include "emulator/model/journal.h"
#include "router/router_node.h"

namespace ferryrock::simulation {

/// What a caller asked for, as the oracle remembers it.
struct ExpectedRequest {
  ModelName served;  ///< the model that engines are asked for; its name decides the text
  std::string prompt;
  std::uint64_t max_tokens = 0;
  std::optional<IdempotencyKey> key;
  bool repeatable = true;
  TimePoint deadline;  ///< global time
};

/// How a caller's request ended, for the counts of a run.
struct RequestCounts {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_ran = 0;                  ///< ended as an error after it began to run
  std::uint64_t failed_unknown_without_key = 0;  ///< of these, requests that had no key
  std::uint64_t failed_unknown = 0;
  std::uint64_t cut = 0;   ///< its router died
  std::uint64_t left = 0;  ///< its caller left
};

/// The promises to callers: one end each, in time, whole, one's own, and truthful about what ran.
class RequestOracle {
 public:
  explicit RequestOracle(std::function<void(const std::string&)> fail) : fail_(std::move(fail)) {}

  void onSent(const RequestId& request, const ExpectedRequest& expected);
  void onChunk(const RequestId& request, const router::StreamChunk& chunk);
  void onAnswer(const RequestId& request, const router::CallerAnswerEffect& answer, TimePoint now);
  void onFailure(const RequestId& request, const router::CallerFailureEffect& failure, TimePoint now);
  void onCut(const RequestId& request);
  void onLeft(const RequestId& request);
  /// A pause of the request's router excuses its lateness.
  void excuseLateness(const RequestId& request);
  /// At the end of a run that left every request its time: none may be open.
  void checkNoneOpen(TimePoint now);

  void onRunBegin(const EngineName& engine, const emulator::RunBeginRecord& run);

  const RequestCounts& counts() const { return counts_; }

 private:
  struct State {
    ExpectedRequest expected;
    bool ended = false;
    bool ran = false;  ///< an attempt entered a batch
    bool lateness_excused = false;
    std::optional<router::Outcome> told;
    std::uint64_t chunks = 0;
    std::string text;
  };

  State* find(const RequestId& request, const std::string& what);
  void end(const RequestId& request, State& state, TimePoint now);
  std::string expectedText(const ExpectedRequest& expected) const;

  std::function<void(const std::string&)> fail_;
  RequestCounts counts_;
  std::map<RequestId, State> requests_;
  std::map<IdempotencyKey, std::set<AttemptId>> fresh_runs_;  ///< runs from the start, by key
};

}  // namespace ferryrock::simulation
