#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/commands.h"

/// At most once for requests that may not be repeated. Replicated state, logic only.
namespace ferryrock::control {

/// Bounds of the claim table. They take part in applying commands, so they must be the same on every member.
struct ClaimLimits {
  std::size_t max_answer_bytes = 1 << 20;    ///< a longer answer isn't kept, only that the request ran
  std::size_t max_answers_bytes = 64 << 20;  ///< of all answers; the oldest are dropped first
  std::size_t max_claims = 200'000;          ///< further claims are refused as not run
};

/// Whether the stored answer of a claim that ran can still be given.
enum class AnswerKept : std::uint8_t { None = 0, Whole = 1, Dropped = 2 };

/// One key, claimed for one attempt at a time.
struct Claim {
  IdempotencyKey key;
  std::uint64_t body_hash = 0;
  std::uint32_t attempt = 1;
  NodeName router;
  RequestId request;
  wire::ClaimOutcome outcome = wire::ClaimOutcome::Open;
  int http_status = 0;
  std::string answer;
  AnswerKept answer_kept = AnswerKept::None;
  std::uint64_t answer_number = 0;  ///< order in which answers were stored; 0: none is kept
  std::int64_t retention_ms = 0;
  std::int64_t expires_at = 0;  ///< on the claim clock
  FERRYROCK_FIELDS(Claim, key, body_hash, attempt, router, request, outcome, http_status, answer, answer_kept,
                   answer_number, retention_ms, expires_at)
};

/// Names one attempt of one key.
struct ClaimAttempt {
  IdempotencyKey key;
  std::uint32_t attempt = 1;
};

/// Claims by key. A claim lives until its retention ends on the claim clock; only whole answers are dropped
/// sooner, by the bound on bytes, and never the fact that the request ran. apply() is deterministic and costs
/// O(log claims).
class ClaimTable {
 public:
  explicit ClaimTable(const ClaimLimits& limits) : limits_(limits) {}

  wire::CommandResult apply(const wire::ClaimCommand& command);
  wire::CommandResult apply(const wire::RecordOutcomeCommand& command);
  wire::CommandResult apply(const wire::ExpireClaimsCommand& command);

  std::size_t size() const { return claims_.size(); }
  std::size_t answersBytes() const { return answers_bytes_; }
  /// Milliseconds on the claim clock.
  std::int64_t clock() const { return clock_; }
  const Claim* find(const IdempotencyKey& key) const;
  /// Attempts that a router claimed and whose outcome isn't recorded, at most limit of them.
  std::vector<ClaimAttempt> openClaimsOf(const NodeName& router, std::size_t limit) const;

  std::string serialize() const;
  void restore(std::string_view bytes);

 private:
  wire::CommandResult grant(Claim& claim, const wire::ClaimCommand& command);
  void setExpiry(Claim& claim, std::int64_t retention_ms);
  void storeAnswer(Claim& claim, const std::string& answer);
  void dropAnswer(Claim& claim);
  void dropOldestAnswers();
  void eraseClaim(const IdempotencyKey& key);
  void index(const Claim& claim);

  ClaimLimits limits_;
  std::int64_t clock_ = 0;
  std::uint64_t next_answer_ = 1;
  std::size_t answers_bytes_ = 0;
  std::map<IdempotencyKey, Claim> claims_;
  std::map<std::uint64_t, IdempotencyKey> answers_;  ///< by answer_number
  std::set<std::pair<std::int64_t, IdempotencyKey>> expiries_;
  std::map<NodeName, std::set<IdempotencyKey>> open_by_router_;
};

}  // namespace ferryrock::control
