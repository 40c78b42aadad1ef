#include "control/claim_table.h"

#include <algorithm>

#include "wire/codec.h"

namespace ferryrock::control {
namespace {

using wire::ClaimOutcome;
using wire::CommandResult;

/// Leaders advance the clock in steps; a claim made just before a step must not lose that time.
constexpr std::int64_t kClockStepMs = 20'000;
constexpr std::int64_t kMaximumRetentionMs = 7LL * 24 * 3600 * 1000;

}  // namespace

/// Not in the unnamed namespace, where its comparison would be an unused function.
struct StoredClaims {
  std::int64_t clock = 0;
  std::uint64_t next_answer = 1;
  std::vector<Claim> claims;
  FERRYROCK_FIELDS(StoredClaims, clock, next_answer, claims)
};

namespace {

CommandResult refusal(ResultCode code, std::string detail) {
  CommandResult result;
  result.code = code;
  result.detail = std::move(detail);
  result.outcome = ClaimOutcome::Unknown;
  return result;
}

/// What a stored claim says to someone who may not run the request now.
CommandResult storedResult(const Claim& claim) {
  CommandResult result;
  result.attempt = claim.attempt;
  result.outcome = claim.outcome;
  result.http_status = claim.http_status;
  switch (claim.outcome) {
    case ClaimOutcome::Open:
      result.code = ResultCode::ClaimInProgress;
      result.detail = "attempt " + std::to_string(claim.attempt) + " of this key is claimed by request " +
                      claim.request.value;
      break;
    case ClaimOutcome::Ran:
      if (claim.answer_kept == AnswerKept::Whole) {
        result.answer = claim.answer;
      } else {
        result.code = ResultCode::AnswerNoLongerKept;
        result.detail = "the request ran, its answer is no longer kept";
      }
      break;
    case ClaimOutcome::NotRun:
      break;
    case ClaimOutcome::Unknown:
      result.code = ResultCode::OutcomeUnknown;
      result.detail = "whether attempt " + std::to_string(claim.attempt) + " ran isn't known";
      break;
  }
  return result;
}

bool isOutcome(ClaimOutcome outcome) {
  return outcome == ClaimOutcome::Ran || outcome == ClaimOutcome::NotRun || outcome == ClaimOutcome::Unknown;
}

}  // namespace

CommandResult ClaimTable::apply(const wire::ClaimCommand& command) {
  const auto found = claims_.find(command.key);
  if (found == claims_.end()) {
    if (command.attempt != 1) {
      return refusal(ResultCode::OutcomeUnknown, "the claim of the earlier attempt is no longer kept");
    }
    if (claims_.size() >= limits_.max_claims) {
      CommandResult full = refusal(ResultCode::QueueFull, "the cell holds the most claims that it may");
      full.outcome = ClaimOutcome::NotRun;
      return full;
    }
    Claim& claim = claims_[command.key];
    claim.key = command.key;
    claim.body_hash = command.body_hash;
    return grant(claim, command);
  }
  Claim& claim = found->second;
  if (claim.body_hash != command.body_hash) {
    return refusal(ResultCode::KeyReusedForOtherRequest, "the key was used with another body");
  }
  const bool resent =
      claim.attempt == command.attempt && claim.request == command.request && claim.router == command.router;
  if (resent && claim.outcome == ClaimOutcome::Open) {
    CommandResult result;
    result.attempt = claim.attempt;
    return result;
  }
  if (claim.outcome == ClaimOutcome::NotRun && command.attempt == claim.attempt + 1) {
    return grant(claim, command);
  }
  return storedResult(claim);
}

CommandResult ClaimTable::grant(Claim& claim, const wire::ClaimCommand& command) {
  claim.attempt = command.attempt;
  claim.router = command.router;
  claim.request = command.request;
  claim.outcome = ClaimOutcome::Open;
  claim.http_status = 0;
  setExpiry(claim, std::max(command.retention_ms, claim.retention_ms));
  open_by_router_[claim.router].insert(claim.key);
  CommandResult result;
  result.attempt = claim.attempt;
  return result;
}

CommandResult ClaimTable::apply(const wire::RecordOutcomeCommand& command) {
  if (!isOutcome(command.outcome)) {
    return refusal(ResultCode::InvalidField, "an outcome must be ran, not run or unknown");
  }
  const auto found = claims_.find(command.key);
  if (found == claims_.end()) {
    return refusal(ResultCode::AnswerNoLongerKept, "the claim is no longer kept");
  }
  Claim& claim = found->second;
  const bool settles_unknown =
      claim.outcome == ClaimOutcome::Unknown && command.outcome != ClaimOutcome::Unknown;
  const bool open = claim.outcome == ClaimOutcome::Open;
  if (command.attempt != claim.attempt || !(open || settles_unknown)) {
    return storedResult(claim);
  }
  if (open) {
    open_by_router_[claim.router].erase(claim.key);
    if (open_by_router_[claim.router].empty()) {
      open_by_router_.erase(claim.router);
    }
  }
  claim.outcome = command.outcome;
  claim.http_status = command.http_status;
  setExpiry(claim, claim.retention_ms);
  if (command.outcome == ClaimOutcome::Ran) {
    storeAnswer(claim, command.answer);
  }
  CommandResult result;
  result.attempt = claim.attempt;
  result.outcome = claim.outcome;
  result.http_status = claim.http_status;
  return result;
}

CommandResult ClaimTable::apply(const wire::ExpireClaimsCommand& command) {
  clock_ = std::max(clock_, command.time);
  while (!expiries_.empty() && expiries_.begin()->first <= clock_) {
    const IdempotencyKey key = expiries_.begin()->second;
    eraseClaim(key);
  }
  return {};
}

const Claim* ClaimTable::find(const IdempotencyKey& key) const {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

std::vector<ClaimAttempt> ClaimTable::openClaimsOf(const NodeName& router, std::size_t limit) const {
  std::vector<ClaimAttempt> attempts;
  const auto open = open_by_router_.find(router);
  if (open == open_by_router_.end()) {
    return attempts;
  }
  for (const IdempotencyKey& key : open->second) {
    if (attempts.size() == limit) {
      break;
    }
    attempts.push_back({key, claims_.at(key).attempt});
  }
  return attempts;
}

void ClaimTable::setExpiry(Claim& claim, std::int64_t retention_ms) {
  expiries_.erase({claim.expires_at, claim.key});
  claim.retention_ms = std::clamp<std::int64_t>(retention_ms, 0, kMaximumRetentionMs);
  claim.expires_at = clock_ + claim.retention_ms + kClockStepMs;
  expiries_.insert({claim.expires_at, claim.key});
}

void ClaimTable::storeAnswer(Claim& claim, const std::string& answer) {
  if (answer.size() > limits_.max_answer_bytes) {
    claim.answer_kept = AnswerKept::Dropped;
    return;
  }
  claim.answer = answer;
  claim.answer_kept = AnswerKept::Whole;
  claim.answer_number = next_answer_++;
  answers_[claim.answer_number] = claim.key;
  answers_bytes_ += answer.size();
  dropOldestAnswers();
}

void ClaimTable::dropAnswer(Claim& claim) {
  answers_bytes_ -= claim.answer.size();
  answers_.erase(claim.answer_number);
  claim.answer.clear();
  claim.answer.shrink_to_fit();
  claim.answer_number = 0;
  claim.answer_kept = AnswerKept::Dropped;
}

void ClaimTable::dropOldestAnswers() {
  while (answers_bytes_ > limits_.max_answers_bytes && !answers_.empty()) {
    const IdempotencyKey oldest = answers_.begin()->second;
    dropAnswer(claims_.at(oldest));
  }
}

void ClaimTable::eraseClaim(const IdempotencyKey& key) {
  Claim& claim = claims_.at(key);
  if (claim.answer_kept == AnswerKept::Whole) {
    dropAnswer(claim);
  }
  const auto open = open_by_router_.find(claim.router);
  if (open != open_by_router_.end() && open->second.erase(key) > 0 && open->second.empty()) {
    open_by_router_.erase(open);
  }
  expiries_.erase({claim.expires_at, key});
  claims_.erase(key);
}

void ClaimTable::index(const Claim& claim) {
  expiries_.insert({claim.expires_at, claim.key});
  if (claim.outcome == ClaimOutcome::Open) {
    open_by_router_[claim.router].insert(claim.key);
  }
  if (claim.answer_kept == AnswerKept::Whole) {
    answers_[claim.answer_number] = claim.key;
    answers_bytes_ += claim.answer.size();
  }
}

std::string ClaimTable::serialize() const {
  StoredClaims stored;
  stored.clock = clock_;
  stored.next_answer = next_answer_;
  stored.claims.reserve(claims_.size());
  for (const auto& [key, claim] : claims_) {
    stored.claims.push_back(claim);
  }
  return wire::encode(stored);
}

void ClaimTable::restore(std::string_view bytes) {
  auto stored = wire::decode<StoredClaims>(bytes);
  *this = ClaimTable(limits_);
  clock_ = stored.clock;
  next_answer_ = stored.next_answer;
  for (Claim& claim : stored.claims) {
    index(claim);
    IdempotencyKey key = claim.key;
    claims_.emplace(std::move(key), std::move(claim));
  }
}

}  // namespace ferryrock::control
