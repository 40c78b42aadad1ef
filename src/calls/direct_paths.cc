#include "calls/direct_paths.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Attempts without any progress for this long count as silent. Longer than the usual wait for a first event.
constexpr Duration kSilenceTime = std::chrono::milliseconds(700);
/// Number of silent attempts, and of replicas they were sent to, that put the router in doubt.
constexpr std::size_t kMinSilentAttempts = 3;
constexpr std::size_t kMinSilentReplicas = 2;

}  // namespace

void DirectPaths::onSent(AttemptNumber attempt, const ReplicaId& replica, TimePoint now) {
  outstanding_[attempt] = {replica, now};
}

void DirectPaths::onPaused(AttemptNumber attempt) {
  const auto found = outstanding_.find(attempt);
  if (found != outstanding_.end()) {
    found->second.paused = true;
  }
}

void DirectPaths::onResumed(AttemptNumber attempt, TimePoint now) {
  const auto found = outstanding_.find(attempt);
  if (found != outstanding_.end()) {
    found->second.paused = false;
    found->second.silent_since = now;
  }
}

void DirectPaths::onProgress(TimePoint now) {
  last_progress_ = now;
  unreachable_.clear();
}

void DirectPaths::onUnreachable(const std::string& replica_address, TimePoint now) {
  unreachable_since_ = unreachable_.empty() ? now : unreachable_since_;
  unreachable_.insert(replica_address);
}

bool DirectPaths::anyOpenTo(const ReplicaId& other_than) const {
  return std::any_of(outstanding_.begin(), outstanding_.end(),
                     [&other_than](const auto& item) { return item.second.replica != other_than; });
}

bool DirectPaths::isSilent(TimePoint now) const {
  if (now - last_progress_ < kSilenceTime || outstanding_.size() < kMinSilentAttempts) {
    return false;
  }
  std::size_t attempts = 0;
  std::set<ReplicaId> replicas;
  for (const auto& [number, attempt] : outstanding_) {
    if (!attempt.paused && now - attempt.silent_since >= kSilenceTime) {
      ++attempts;
      replicas.insert(attempt.replica);
    }
  }
  return attempts >= kMinSilentAttempts && replicas.size() >= kMinSilentReplicas;
}

}  // namespace ferryrock::calls
