#include "calls/stream_origin_client.h"

#include <algorithm>

#include "common/hashing.h"

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// A member answers within some 10 ms; one that doesn't within this time is busy or gone.
constexpr Duration kReplyTimeout = 250ms;
/// A member that hasn't answered within this time is asked once more: the query may have been dropped.
constexpr Duration kRepeatAfter = 80ms;
/// Maximum number of queries to each member in an interval, half of the transport's send queue.
constexpr std::size_t kQueriesPerBatch = 8;
constexpr Duration kBatchInterval = 5ms;
/// Interval at which running streams are reported again, to members that have started since.
constexpr Duration kRepetitionInterval = 2s;
/// Time for which this router itself remembers streams, and their maximum number.
constexpr Duration kRetention = 60s;
constexpr std::size_t kMaxKnown = 20'000;

}  // namespace

void StreamOriginClient::onMember(const NodeName& member, bool keeps_origins) {
  if (keeps_origins) {
    members_.insert(member);
  } else {
    members_.erase(member);
  }
}

void StreamOriginClient::onRunning(const wire::StreamOrigin& origin, TimePoint now) {
  if (origin.stream.empty()) {
    return;
  }
  remember(origin, now);
  running_.insert(origin.stream);
  report(origin);
  next_repetition_ = std::min(next_repetition_, now + kRepetitionInterval);
}

void StreamOriginClient::remember(const wire::StreamOrigin& origin, TimePoint now) {
  if (known_.insert_or_assign(origin.stream, origin).second) {
    known_since_.emplace_back(now, origin.stream);
  }
  forgetOld(now);
}

/// A stream that still runs stays known.
void StreamOriginClient::forgetOld(TimePoint now) {
  while (!known_since_.empty() &&
         (now - known_since_.front().first > kRetention || known_since_.size() > kMaxKnown)) {
    if (!running_.contains(known_since_.front().second)) {
      known_.erase(known_since_.front().second);
    }
    known_since_.pop_front();
  }
}

/// The members with the highest hashes, so that a change of the members moves few streams.
void StreamOriginClient::report(const wire::StreamOrigin& origin) {
  std::vector<std::pair<std::uint64_t, NodeName>> ranked;
  for (const NodeName& member : members_) {
    ranked.emplace_back(stableHash(origin.stream.value + " " + member.value), member);
  }
  const std::size_t copies = std::min(kCopies, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(copies), ranked.end(),
                    std::greater<>());
  for (std::size_t i = 0; i < copies; ++i) {
    reports_[ranked[i].second].origins.push_back(origin);
  }
}

std::optional<wire::StreamOrigin> StreamOriginClient::find(const RequestId& stream) const {
  const auto found = known_.find(stream);
  return found == known_.end() ? std::nullopt : std::optional(found->second);
}

bool StreamOriginClient::ask(const RequestId& stream, TimePoint now) {
  if (stream.empty() || members_.empty()) {
    return false;
  }
  if (queries_.try_emplace(stream, Query{std::nullopt, false, members_}).second) {
    to_send_.push_back(stream);
    sendQueries(now);
  }
  return true;
}

void StreamOriginClient::sendQueries(TimePoint now) {
  if (now - batch_began_ >= kBatchInterval) {
    batch_began_ = now;
    sent_in_batch_ = 0;
  }
  while (!to_send_.empty() && sent_in_batch_ < kQueriesPerBatch) {
    const auto query = queries_.find(to_send_.front());
    to_send_.pop_front();
    if (query == queries_.end()) {
      continue;
    }
    ++sent_in_batch_;
    query->second.repeated = query->second.sent_at.has_value();
    query->second.sent_at = query->second.sent_at.value_or(now);
    for (const NodeName& member : query->second.unanswered) {
      messages_.push_back({member, wire::StreamOriginQuery{query->first}});
    }
  }
}

std::optional<StreamOriginAnswer> StreamOriginClient::accept(const NodeName& from,
                                                             const wire::StreamOriginReply& reply,
                                                             TimePoint now) {
  const auto query = queries_.find(reply.stream);
  if (query == queries_.end()) {
    return std::nullopt;
  }
  query->second.unanswered.erase(from);
  if (!reply.origin && !query->second.unanswered.empty()) {
    return std::nullopt;
  }
  queries_.erase(query);
  if (reply.origin) {
    remember(*reply.origin, now);
  }
  return StreamOriginAnswer{reply.stream, reply.origin};
}

std::vector<StreamOriginAnswer> StreamOriginClient::tick(TimePoint now) {
  std::vector<StreamOriginAnswer> answers;
  for (auto item = queries_.begin(); item != queries_.end();) {
    Query& query = item->second;
    const Duration waited = query.sent_at ? now - *query.sent_at : Duration::zero();
    if (waited >= kReplyTimeout) {
      answers.push_back({item->first, std::nullopt, false});
      item = queries_.erase(item);
      continue;
    }
    if (waited >= kRepeatAfter && !std::exchange(query.repeated, true)) {
      to_send_.push_back(item->first);
    }
    ++item;
  }
  sendQueries(now);
  if (now >= next_repetition_) {
    for (const RequestId& stream : running_) {
      report(known_.at(stream));
    }
    next_repetition_ = running_.empty() ? TimePoint::max() : now + kRepetitionInterval;
  }
  return answers;
}

std::vector<wire::SendEffect> StreamOriginClient::takeMessages() {
  for (auto& [member, origins] : std::exchange(reports_, {})) {
    messages_.push_back({member, std::move(origins)});
  }
  return std::exchange(messages_, {});
}

TimePoint StreamOriginClient::nextDeadline() const {
  TimePoint deadline = next_repetition_;
  if (!to_send_.empty()) {
    deadline = std::min(deadline, batch_began_ + kBatchInterval);
  }
  for (const auto& [stream, query] : queries_) {
    if (query.sent_at) {
      deadline = std::min(deadline, *query.sent_at + (query.repeated ? kReplyTimeout : kRepeatAfter));
    }
  }
  return deadline;
}

}  // namespace ferryrock::calls
