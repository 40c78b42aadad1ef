#pragma once

#include <cstdint>
#include <optional>

#include "router/admission_queue.h"
#include "router/answer_assembler.h"
#include "router/replica_selector.h"
#include "router/router_node.h"

namespace ferryrock::router {

enum class RequestPhase : std::uint8_t {
  Resolving,   ///< the router asked for the name's table entry
  Claiming,    ///< the claim of its key isn't answered yet
  Waiting,     ///< for a replica
  BackingOff,  ///< for the next attempt
  Running,     ///< an attempt is under way
};

/// One try at running the request on one replica.
struct Attempt {
  AttemptId id;
  wire::ReplicaEndpoint replica;
  TimePoint sent{};
  TimePoint last_progress{};
  bool admitted = false;
  bool resumed = false;  ///< from then on no failure proves that it didn't run
  std::uint32_t resumes_without_progress = 0;
  std::optional<std::uint64_t> resuming_from;  ///< chunk that a resume asked for and that hasn't come yet
  std::optional<TimePoint> resume_at;          ///< a resume waits for its backoff
};

enum class ClaimState : std::uint8_t { NotNeeded, Asked, Granted };

/// A caller's request from its arrival to its final answer.
struct Request {
  RequestNumber number = 0;
  CallerRequest caller;
  RequestPhase phase = RequestPhase::Resolving;
  TimePoint arrived{};
  TimePoint phase_since{};
  TimePoint deadline{};
  std::int32_t priority = 0;
  bool repeatable = true;
  bool caller_slow = false;      ///< it doesn't read; its attempt's connection is paused
  bool caller_was_slow = false;  ///< its answer's timing says nothing about the engine
  bool caller_gone = false;      ///< a claimed request runs on without its caller, for the stored answer

  ClaimState claim = ClaimState::NotNeeded;
  std::uint32_t claim_attempt = 0;
  std::uint32_t claims_tried = 0;
  bool claim_answered = false;  ///< the cell has told what it knows of the key

  std::optional<Attempt> attempt;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  bool may_have_run = false;  ///< an attempt ended without proof that it didn't run
  ResultCode last_failure = ResultCode::Ok;
  std::optional<TimePoint> backoff_until;
  SelectionRequest selection;
  std::optional<CacheSource> cache_source;
  AnswerAssembler answer;
  std::optional<TimePoint> first_chunk;

  /// True while earlier calls with the same key, to any router, may have run without this router's knowledge.
  bool keyMayHaveRun() const { return caller.key.has_value() && !claim_answered; }

  /// Certain only while no attempt can have been admitted.
  Outcome outcomeIfEndedNow() const { return may_have_run || attempt ? Outcome::Unknown : Outcome::NotRun; }
};

}  // namespace ferryrock::router
