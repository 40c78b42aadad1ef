#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/identifiers.h"
#include "common/random.h"
#include "common/result_code.h"
#include "common/time.h"
#include "wire/messages.h"

/// One router as logic without input or output: table, admission, balancing, retries, claims, streams, drain.
/// Run by router_process and by the simulator.
namespace ferryrock::router {

/// Outcome told to the caller in X-Ferryrock-Outcome.
enum class Outcome : std::uint8_t { Ran, NotRun, Unknown };

/// A caller's request after the shell has checked its HTTP form.
struct CallerRequest {
  RequestId id;
  ModelName model;
  std::string path;  ///< "/v1/chat/completions" or "/v1/completions"
  std::string body;  ///< the JSON as the caller sent it
  bool stream = false;
  std::optional<Duration> timeout;
  std::optional<std::int32_t> priority;
  std::optional<IdempotencyKey> key;
  std::string session;            ///< `user` field or X-Session-Id; keeps its replica while it lives
  std::uint64_t prefix_hash = 0;  ///< of the prompt's first part, for warm prefixes
  std::uint64_t prompt_bytes = 0;
  std::uint32_t max_tokens = 0;  ///< of the body; 0: not given. Only for estimating the running time.
};

/// One piece of generated text from the engine. number counts from 0 within the request, over all attempts.
struct StreamChunk {
  std::uint64_t number = 0;
  std::string text;           ///< generated text of this piece
  std::string finish_reason;  ///< empty until the last one
};

/// End of an answer as the engine states it.
struct StreamEnd {
  std::uint64_t count = 0;  ///< chunks of the whole answer
  std::uint64_t prompt_tokens = 0;
  std::uint64_t completion_tokens = 0;
};

/// How an attempt failed; decides whether the request can have run.
enum class AttemptFailure : std::uint8_t {
  NotSent,            ///< no byte left: not run
  RefusedUnadmitted,  ///< the engine says that it was not admitted, for another reason than below: not run
  SentNoProof,        ///< sent, and nothing is known
  StreamCut,          ///< admitted and cut off, or a resume failed in whatever way: it ran at least partly
  EngineError,        ///< admitted and failed on the engine: it ran at least partly
  RefusedDraining,    ///< 503 before admission, the replica is leaving: not run
  RefusedFull,        ///< 429 before admission, the engine's queue is full: not run
  RefusedNotHeld,     ///< 404 or 409 before admission, the engine doesn't hold the slot (any more): not run
  RefusedInvalid,     ///< 400, 413 or 422 before admission, the request itself is at fault: not run
};

/// A living attempt whose cache is worth taking along: export there, import at the new replica, best effort.
/// Its CancelEffect follows the dispatch; a shell that uses the source holds that cancel back until the
/// export is done.
struct CacheSource {
  AttemptId attempt;
  std::string url;  ///< of the engine that holds the cache
};

/// Effect: send an attempt to an engine. from_chunk > 0 continues an answer: the engine gets the text so far.
struct DispatchEffect {
  AttemptId attempt;
  RequestId request;
  wire::ReplicaEndpoint replica;
  ModelName model;
  std::string path;
  std::string body;
  std::int32_t priority = 0;
  Duration deadline_left{};
  std::uint64_t from_chunk = 0;
  std::string text_so_far;
  bool fresh_connection = false;
  std::optional<IdempotencyKey> key;
  std::optional<CacheSource> cache_source;  ///< the shell may ignore it: the text so far is enough
};

/// Effect: read on in an attempt that lost its connection or a chunk, on the same engine; it replaces a
/// connection that is still open. Its failures are reported by onFailure() under the same attempt.
struct ResumeEffect {
  AttemptId attempt;
  wire::ReplicaEndpoint replica;
  std::uint64_t from_chunk = 0;
};

/// Effect: stop the attempt on the engine and forget its connection.
struct CancelEffect {
  AttemptId attempt;
  wire::ReplicaEndpoint replica;
};

/// Effect: stop or continue reading an attempt's connection, because its caller reads slowly.
struct PauseEffect {
  AttemptId attempt;
  bool pause = true;
};

/// Effect: hand a chunk to the caller of a stream.
struct CallerChunkEffect {
  RequestId request;
  StreamChunk chunk;
};

/// Effect: the whole answer, or for a stream its proper end.
struct CallerAnswerEffect {
  RequestId request;
  std::string text;
  std::string finish_reason;
  StreamEnd end;
  bool replayed = false;  ///< the stored answer of a resent key
};

/// Effect: a refusal, or an error end that a stream's caller can't mistake for an end.
struct CallerFailureEffect {
  RequestId request;
  ResultCode code = ResultCode::Internal;
  Outcome outcome = Outcome::NotRun;
  std::string detail;
  std::optional<Duration> retry_after;
};

using Effect = std::variant<wire::SendEffect, DispatchEffect, ResumeEffect, CancelEffect, PauseEffect,
                            CallerChunkEffect, CallerAnswerEffect, CallerFailureEffect>;
using Effects = std::vector<Effect>;

struct RouterSettings {
  NodeName node;
  ZoneName zone;
  std::vector<NodeName> control_members;
  std::uint64_t incarnation = 0;
  WallMilliseconds wall_time_at_start = 0;  ///< wall time at createRouterNode(); stamps claims
  std::size_t max_waiting = 10'000;         ///< over all services
  std::size_t max_waiting_bytes = 256 << 20;
  std::size_t max_caller_buffer_bytes = 1 << 20;  ///< per stream, before the engine's connection is paused
  Duration status_interval = std::chrono::milliseconds(1000);
  Duration demand_interval = std::chrono::milliseconds(100);
  Duration stall_timeout = std::chrono::seconds(10);  ///< without a chunk
  std::string balancing = "least-loaded";             ///< or "two-choices", "round-robin", "random"
  std::uint64_t seed = 1;
};

/// A row of the platform's list as the router reads it by itself.
struct LeavingEngine {
  EngineName engine;
  std::optional<Duration> leaves_in;  ///< time that is left, if the list says so
};

/// Counts for metrics.
struct RouterCounts {
  std::uint64_t accepted = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed_streams = 0;
  std::uint64_t moved_streams = 0;
  std::uint64_t late_chunks_dropped = 0;
  std::uint64_t waiting = 0;
  std::uint64_t running = 0;
};

/// Used by one thread.
class RouterNode {
 public:
  virtual ~RouterNode() = default;

  /// The request's id must not be in use; each request gets exactly one CallerAnswerEffect or
  /// CallerFailureEffect, unless onCallerGone() is called for it first.
  virtual Effects onRequest(CallerRequest request, TimePoint now) = 0;
  virtual Effects onCallerGone(const RequestId& request, TimePoint now) = 0;
  /// The caller's connection holds this many bytes that it hasn't read.
  virtual Effects onCallerBuffer(const RequestId& request, std::size_t bytes, TimePoint now) = 0;

  /// Events of attempts. Those of attempts that have ended are dropped and counted. An event that a
  /// connection carries for another attempt than its own is dropped by the shell, and reported as StreamCut.
  virtual Effects onAdmitted(const AttemptId& attempt, TimePoint now) = 0;
  virtual Effects onChunk(const AttemptId& attempt, const StreamChunk& chunk, TimePoint now) = 0;
  virtual Effects onEnd(const AttemptId& attempt, const StreamEnd& end, TimePoint now) = 0;
  virtual Effects onFailure(const AttemptId& attempt, AttemptFailure failure, const std::string& reason,
                            TimePoint now) = 0;
  /// Load that the engine piggybacked on an answer; it lags.
  virtual void onReportedLoad(const EngineName& engine, std::uint32_t running, std::uint32_t waiting,
                              TimePoint now) = 0;

  virtual Effects receive(const wire::Envelope& envelope, TimePoint now) = 0;
  virtual Effects onLeavingEngines(const std::vector<LeavingEngine>& engines, TimePoint now) = 0;
  virtual Effects tick(TimePoint now) = 0;
  virtual TimePoint nextDeadline() const = 0;

  /// Planned stop: nothing new is accepted; drained() once the last request has ended.
  virtual Effects beginDrain(TimePoint now) = 0;
  virtual bool drained() const = 0;
  /// True once a table confirmed by a leader (or an own snapshot) is in force.
  virtual bool ready() const = 0;

  virtual TreeVersion treeVersion() const = 0;
  virtual RouterCounts counts() const = 0;
  virtual std::vector<ModelName> knownModels() const = 0;
  /// The table's bytes, for the router's own file; lets it start when control is away.
  virtual std::string serializeTable() const = 0;
  virtual void restoreTable(std::string_view bytes) = 0;
};

std::unique_ptr<RouterNode> createRouterNode(const RouterSettings& settings, TimePoint now);

}  // namespace ferryrock::router
