#include "calls/control_feed.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Minimum interval between statuses, also for expedited ones.
constexpr Duration kMinStatusInterval = std::chrono::milliseconds(10);
/// A proof that expires within this time is requested from the leader explicitly; regular updates renew it
/// twice a second.
constexpr Duration kProofRenewalMargin = std::chrono::milliseconds(3000);
constexpr unsigned kTermShift = 40;

/// While no leader is known, members are queried this many times as often as they requested.
constexpr int kSearchRateFactor = 8;
/// The leader is considered lost after half this many status intervals without contact.
constexpr int kLeaderTimeoutHalfIntervals = 5;

bool sameTerm(LogIndex left, LogIndex right) {
  return left.value >> kTermShift == right.value >> kTermShift;
}

}  // namespace

bool ControlFeed::accept(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now) {
  recordAnswer(from);
  if (isStale(update)) {
    return false;
  }
  leader_ = from;
  suggested_leader_ = from;
  last_leader_contact_ = now;
  member_answered_ = true;
  leader_requested_interval_ = std::chrono::milliseconds(update.status_interval_ms);
  addMembers(update.members);
  directory_ = update.directory.value_or(directory_);
  const bool accepted = update.table == 0 ? acceptFullTable(update) : acceptSubscribedTable(update);
  missed_update_ = !accepted;
  expedited_ = expedited_ || !accepted || update.confirm;
  if (accepted) {
    revision_ = update.revision;
    table_ = update.table;
  }
  return accepted;
}

/// Accepts changes of the table of all replicas, or the full table.
bool ControlFeed::acceptFullTable(const wire::ServiceUpdate& update) {
  const bool full = update.base == LogIndex{};
  const bool follows = table_ == 0 && sameTerm(update.base, revision_) && update.base <= revision_;
  return full || follows;
}

/// Accepts a subscribed table if it is listed in full, or if its content digest matches the current table.
/// The match also holds for updates of a leader that didn't send the table itself.
bool ControlFeed::acceptSubscribedTable(const wire::ServiceUpdate& update) {
  const bool full = update.base == LogIndex{};
  return full || update.table == table_;
}

void ControlFeed::accept(const NodeName& from, const wire::MemberList& list) {
  recordAnswer(from);
  member_answered_ = true;
  addMembers(list.nodes);
  if (list.status_interval_ms > 0) {
    requested_intervals_[from] = std::chrono::milliseconds(list.status_interval_ms);
  } else {
    requested_intervals_.erase(from);
  }
  if (leader_.empty() && !list.leader.empty() && list.leader != suggested_leader_) {
    suggested_leader_ = list.leader;
    expedited_ = true;
  }
}

/// Where members requested longer intervals, the leader passes the required information on to them.
void ControlFeed::notifyAll() {
  notify_all_ = requested_intervals_.empty();
  expedited_ = true;
}

void ControlFeed::addMembers(const std::vector<NodeName>& members) {
  members_.insert(members.begin(), members.end());
}

Duration ControlFeed::leaderInterval() const {
  if (!member_answered_) {
    return settings_.initial_interval;
  }
  return std::max(settings_.leader_interval, leader_requested_interval_);
}

/// Interval while no leader is known. Members that request long intervals have many routers that query them.
Duration ControlFeed::searchInterval() const {
  Duration longest = Duration::zero();
  for (const auto& [member, interval] : requested_intervals_) {
    longest = std::max(longest, interval);
  }
  return member_answered_ ? std::max(settings_.leader_interval, longest / kSearchRateFactor)
                          : settings_.initial_interval;
}

Duration ControlFeed::memberInterval(const NodeName& member) const {
  const auto requested = requested_intervals_.find(member);
  return requested == requested_intervals_.end() ? settings_.member_interval
                                                 : std::max(settings_.member_interval, requested->second);
}

Duration ControlFeed::answerTimeout(const NodeName& member) const {
  const bool leads = member == leader_;
  return leads ? std::max(settings_.answer_timeout, 2 * leader_requested_interval_)
               : settings_.answer_timeout;
}

Duration ControlFeed::leaderTimeout() const {
  return std::max(settings_.leader_timeout, kLeaderTimeoutHalfIntervals * leader_requested_interval_ / 2);
}

void ControlFeed::confirm(const wire::ServiceUpdate& update, CatalogVersion held) {
  if (update.proved.incarnation == settings_.incarnation) {
    proof_.onConfirmed(update.proved.sequence, update.version, held);
  }
}

bool ControlFeed::due(TimePoint now) const {
  return notify_all_ || now >= nextDeadline();
}

TimePoint ControlFeed::nextDeadline() const {
  TimePoint next = expedited_ ? last_status_ + kMinStatusInterval : TimePoint::max();
  next = std::min(next, next_leader_status_);
  // Members that requested longer intervals get their statuses together with the leader's: a separate step
  // for each would also send a status to the leader.
  if (leader_.empty() || !requested_intervals_.empty()) {
    return next;
  }
  for (const NodeName& member : members_) {
    const auto due = next_member_status_.find(member);
    const bool is_leader = member == leader_;
    next = is_leader ? next : std::min(next, due == next_member_status_.end() ? TimePoint{} : due->second);
  }
  return next;
}

/// Returns the members that are due. While no leader is known these are all members, or only a few if longer
/// intervals were requested.
std::set<NodeName> ControlFeed::membersDue(TimePoint now) {
  if (leader_.empty() && !notify_all_ && !requested_intervals_.empty()) {
    return membersToQuery();
  }
  std::set<NodeName> due;
  for (const NodeName& member : members_) {
    const auto next = next_member_status_.find(member);
    const bool turn = next == next_member_status_.end() || now >= next->second;
    if (member != leader_ && (notify_all_ || leader_.empty() || turn)) {
      due.insert(member);
    }
  }
  return due;
}

/// Returns the leader named by other members, and the next member in turn.
std::set<NodeName> ControlFeed::membersToQuery() {
  std::set<NodeName> requested;
  if (!suggested_leader_.empty()) {
    requested.insert(suggested_leader_);
  }
  auto next = members_.upper_bound(last_queried_);
  next = next == members_.end() ? members_.begin() : next;
  if (next != members_.end()) {
    last_queried_ = *next;
    requested.insert(*next);
  }
  return requested;
}

std::vector<wire::SendEffect> ControlFeed::statuses(RouterState state, TimePoint now) {
  const bool leader_timed_out = !last_leader_contact_ || now - *last_leader_contact_ > leaderTimeout();
  if (leader_timed_out && !leader_.empty()) {
    leader_ = NodeName{};
    suggested_leader_ = NodeName{};
  }
  const std::set<NodeName> due = membersDue(now);
  wire::CallRouterStatus status;
  status.router = settings_.router;
  status.zone = settings_.zone;
  status.address = settings_.address;
  status.incarnation = settings_.incarnation;
  status.sequence = ++sequence_;
  status.accepting = state.accepting;
  status.catalog = state.catalog;
  status.crash_digest = state.crash_digest;
  status.revision = revision_;
  status.missed_update = missed_update_;
  status.subscribes = true;
  status.table = table_;
  status.directory = wire::directoryDigest(directory_);
  status.relay_address = settings_.relay_address;
  status.partitioned = state.partitioned;
  status.relays = state.relays;
  status.alive_ms = state.alive_ms;
  status.needs_catalog_proof = proof_.isNeeded() && !proof_.holds(now + kProofRenewalMargin);
  proof_.onStatusSent(sequence_, now);
  wire::CallRouterStatus leader_status = status;
  leader_status.model_calls = std::move(state.model_calls);
  leader_status.unreachable = std::move(state.unreachable);
  leader_status.local_loads = std::move(state.local_loads);
  leader_status.event_gaps = std::move(state.event_gaps);
  leader_status.retry_uses = std::move(state.retry_uses);
  if (holdsSubscribedTable()) {
    leader_status.interests = std::move(state.interests);
  }
  std::vector<wire::SendEffect> sends;
  for (const NodeName& member : due) {
    sends.push_back({member, leader_.empty() ? leader_status : status});
    next_member_status_[member] = now + memberInterval(member);
  }
  if (!leader_.empty()) {
    sends.push_back({leader_, std::move(leader_status)});
  }
  for (const wire::SendEffect& send : sends) {
    unanswered_since_.try_emplace(send.to, now);
  }
  last_status_ = now;
  next_leader_status_ = now + (leader_.empty() ? searchInterval() : leaderInterval());
  expedited_ = false;
  notify_all_ = false;
  return sends;
}

std::vector<NodeName> ControlFeed::unresponsiveMembers(TimePoint now) {
  std::vector<NodeName> members;
  for (auto& [member, since] : unanswered_since_) {
    if (now - since >= answerTimeout(member)) {
      members.push_back(member);
      since = now;
    }
  }
  return members;
}

}  // namespace ferryrock::calls
