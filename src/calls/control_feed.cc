#include "calls/control_feed.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Minimum interval between statuses, also for expedited ones.
constexpr Duration kLeastDistance = std::chrono::milliseconds(10);
/// A proof that expires within this time is requested from the leader explicitly; regular updates renew it
/// twice a second.
constexpr Duration kProofInHand = std::chrono::milliseconds(3000);
constexpr unsigned kTermShift = 40;

/// While no leader is known, members are queried this many times as often as they requested.
constexpr int kAskedAtOnce = 8;
/// The leader is considered lost after half this many status intervals without contact.
constexpr int kSilentIntervals = 5;

bool sameTerm(LogIndex left, LogIndex right) {
  return left.value >> kTermShift == right.value >> kTermShift;
}

}  // namespace

bool ControlFeed::accept(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now) {
  noteAnswer(from);
  if (update.revision < revision_) {
    return false;  // from a replaced leader, or delivered out of order
  }
  leader_ = from;
  named_leader_ = from;
  leader_heard_ = now;
  answered_ = true;
  leader_asked_interval_ = std::chrono::milliseconds(update.status_interval_ms);
  addMembers(update.members);
  directory_ = update.directory.value_or(directory_);
  const bool taken = update.table == 0 ? acceptTable(update) : acceptPart(update);
  missed_update_ = !taken;
  hurried_ = hurried_ || !taken || update.confirm;
  if (taken) {
    revision_ = update.revision;
    table_ = update.table;
  }
  return taken;
}

/// Accepts changes of the table of all replicas, or the full table.
bool ControlFeed::acceptTable(const wire::ServiceUpdate& update) {
  const bool whole = update.base == LogIndex{};
  const bool follows = table_ == 0 && sameTerm(update.base, revision_) && update.base <= revision_;
  return whole || follows;
}

/// Accepts a subscribed table if it is listed in full, or if its content digest matches the current table.
/// The match also holds for updates of a leader that didn't send the table itself.
bool ControlFeed::acceptPart(const wire::ServiceUpdate& update) {
  const bool whole = update.base == LogIndex{};
  return whole || update.table == table_;
}

void ControlFeed::accept(const NodeName& from, const wire::MemberList& list) {
  noteAnswer(from);
  answered_ = true;
  addMembers(list.nodes);
  if (list.status_interval_ms > 0) {
    asked_interval_[from] = std::chrono::milliseconds(list.status_interval_ms);
  } else {
    asked_interval_.erase(from);
  }
  if (leader_.empty() && !list.leader.empty() && list.leader != named_leader_) {
    named_leader_ = list.leader;
    hurried_ = true;
  }
}

/// Where members requested longer intervals, the leader passes the required information on to them.
void ControlFeed::tellAll() {
  tell_all_ = asked_interval_.empty();
  hurried_ = true;
}

void ControlFeed::addMembers(const std::vector<NodeName>& members) {
  members_.insert(members.begin(), members.end());
}

Duration ControlFeed::leaderInterval() const {
  if (!answered_) {
    return settings_.first_interval;
  }
  return std::max(settings_.leader_interval, leader_asked_interval_);
}

/// Interval while no leader is known. Members that request long intervals have many routers that query them.
Duration ControlFeed::askInterval() const {
  Duration longest = Duration::zero();
  for (const auto& [member, interval] : asked_interval_) {
    longest = std::max(longest, interval);
  }
  return answered_ ? std::max(settings_.leader_interval, longest / kAskedAtOnce) : settings_.first_interval;
}

Duration ControlFeed::memberInterval(const NodeName& member) const {
  const auto asked = asked_interval_.find(member);
  return asked == asked_interval_.end() ? settings_.member_interval
                                        : std::max(settings_.member_interval, asked->second);
}

Duration ControlFeed::answerLimit(const NodeName& member) const {
  const bool leads = member == leader_;
  return leads ? std::max(settings_.answer_limit, 2 * leader_asked_interval_) : settings_.answer_limit;
}

Duration ControlFeed::leaderSilence() const {
  return std::max(settings_.leader_silence, kSilentIntervals * leader_asked_interval_ / 2);
}

void ControlFeed::confirm(const wire::ServiceUpdate& update, CatalogVersion held) {
  if (update.proved.incarnation == settings_.incarnation) {
    proof_.onConfirmed(update.proved.sequence, update.version, held);
  }
}

bool ControlFeed::due(TimePoint now) const {
  return tell_all_ || now >= nextDeadline();
}

TimePoint ControlFeed::nextDeadline() const {
  TimePoint next = hurried_ ? last_status_ + kLeastDistance : TimePoint::max();
  next = std::min(next, next_leader_status_);
  // Members that requested longer intervals get their statuses together with the leader's: a separate step
  // for each would also send a status to the leader.
  if (leader_.empty() || !asked_interval_.empty()) {
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
  if (leader_.empty() && !tell_all_ && !asked_interval_.empty()) {
    return membersToAsk();
  }
  std::set<NodeName> due;
  for (const NodeName& member : members_) {
    const auto next = next_member_status_.find(member);
    const bool turn = next == next_member_status_.end() || now >= next->second;
    if (member != leader_ && (tell_all_ || leader_.empty() || turn)) {
      due.insert(member);
    }
  }
  return due;
}

/// Returns the leader named by other members, and the next member in turn.
std::set<NodeName> ControlFeed::membersToAsk() {
  std::set<NodeName> asked;
  if (!named_leader_.empty()) {
    asked.insert(named_leader_);
  }
  auto next = members_.upper_bound(last_asked_);
  next = next == members_.end() ? members_.begin() : next;
  if (next != members_.end()) {
    last_asked_ = *next;
    asked.insert(*next);
  }
  return asked;
}

std::vector<wire::SendEffect> ControlFeed::statuses(RouterNews news, TimePoint now) {
  const bool leader_silent = !leader_heard_ || now - *leader_heard_ > leaderSilence();
  if (leader_silent && !leader_.empty()) {
    leader_ = NodeName{};
    named_leader_ = NodeName{};
  }
  const std::set<NodeName> due = membersDue(now);
  wire::CallRouterStatus status;
  status.router = settings_.router;
  status.zone = settings_.zone;
  status.address = settings_.address;
  status.incarnation = settings_.incarnation;
  status.sequence = ++sequence_;
  status.accepting = news.accepting;
  status.catalog = news.catalog;
  status.crash_digest = news.crash_digest;
  status.revision = revision_;
  status.missed_update = missed_update_;
  status.subscribes = true;
  status.table = table_;
  status.directory = wire::directoryDigest(directory_);
  status.wants_proof = proof_.isNeeded() && !proof_.holds(now + kProofInHand);
  proof_.onStatusSent(sequence_, now);
  wire::CallRouterStatus leaders = status;
  leaders.wants = std::move(news.wants);
  leaders.unreachable = std::move(news.unreachable);
  leaders.uses = std::move(news.uses);
  leaders.paces = std::move(news.paces);
  if (holdsPart()) {
    leaders.interests = std::move(news.interests);
  }
  std::vector<wire::SendEffect> sends;
  for (const NodeName& member : due) {
    sends.push_back({member, leader_.empty() ? leaders : status});
    next_member_status_[member] = now + memberInterval(member);
  }
  if (!leader_.empty()) {
    sends.push_back({leader_, std::move(leaders)});
  }
  for (const wire::SendEffect& send : sends) {
    unanswered_since_.try_emplace(send.to, now);
  }
  last_status_ = now;
  next_leader_status_ = now + (leader_.empty() ? askInterval() : leaderInterval());
  hurried_ = false;
  tell_all_ = false;
  return sends;
}

std::vector<NodeName> ControlFeed::unansweringMembers(TimePoint now) {
  std::vector<NodeName> members;
  for (auto& [member, since] : unanswered_since_) {
    if (now - since >= answerLimit(member)) {
      members.push_back(member);
      since = now;
    }
  }
  return members;
}

}  // namespace ferryrock::calls
