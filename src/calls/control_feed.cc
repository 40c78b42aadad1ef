#include "calls/control_feed.h"

#include <algorithm>

namespace ferryrock::calls {
namespace {

/// Hurried statuses keep this distance.
constexpr Duration kLeastDistance = std::chrono::milliseconds(10);
/// A proof that ends sooner is asked to be renewed out of turn; regular updates renew it twice a second.
constexpr Duration kProofInHand = std::chrono::milliseconds(3000);
constexpr unsigned kTermShift = 40;

bool sameTerm(LogIndex left, LogIndex right) {
  return left.value >> kTermShift == right.value >> kTermShift;
}

}  // namespace

bool ControlFeed::accept(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now) {
  noteAnswer(from);
  if (update.revision < revision_) {
    return false;  // of a leader that was replaced, or overtaken on its way
  }
  leader_ = from;
  leader_heard_ = now;
  answered_ = true;
  members_.insert(update.members.begin(), update.members.end());
  directory_ = update.directory.value_or(directory_);
  const bool whole = update.base == LogIndex{};
  const bool follows = sameTerm(update.base, revision_) && update.base <= revision_;
  if (!whole && !follows) {
    missed_update_ = true;
    hurried_ = true;
    return false;
  }
  missed_update_ = false;
  hurried_ = hurried_ || update.confirm;
  revision_ = update.revision;
  return true;
}

void ControlFeed::accept(const NodeName& from, const wire::MemberList& list) {
  noteAnswer(from);
  answered_ = true;
  members_.insert(list.nodes.begin(), list.nodes.end());
}

void ControlFeed::confirm(const wire::ServiceUpdate& update, CatalogVersion held) {
  if (update.proved.incarnation == settings_.incarnation) {
    proof_.onConfirmed(update.proved.sequence, update.version, held);
  }
}

bool ControlFeed::due(TimePoint now) const {
  return tell_all_ || now >= next_member_status_ || now >= next_leader_status_ ||
         (hurried_ && now >= last_status_ + kLeastDistance);
}

TimePoint ControlFeed::nextDeadline() const {
  const TimePoint regular = std::min(next_leader_status_, next_member_status_);
  return hurried_ ? std::min(regular, last_status_ + kLeastDistance) : regular;
}

std::vector<wire::SendEffect> ControlFeed::statuses(RouterNews news, TimePoint now) {
  const bool leader_silent = !leader_heard_ || now - *leader_heard_ > settings_.leader_silence;
  if (leader_silent) {
    leader_ = NodeName{};
  }
  const bool all = tell_all_ || leader_.empty() || now >= next_member_status_;
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
  status.directory = wire::directoryDigest(directory_);
  status.wants_proof = proof_.isNeeded() && !proof_.holds(now + kProofInHand);
  proof_.onStatusSent(sequence_, now);
  wire::CallRouterStatus leaders = status;
  leaders.wants = std::move(news.wants);
  leaders.unreachable = std::move(news.unreachable);
  leaders.uses = std::move(news.uses);
  leaders.paces = std::move(news.paces);
  std::vector<wire::SendEffect> sends;
  for (const NodeName& member : members_) {
    if (member != leader_ && all) {
      sends.push_back({member, leader_.empty() ? leaders : status});
    }
  }
  if (!leader_.empty()) {
    sends.push_back({leader_, std::move(leaders)});
  }
  for (const wire::SendEffect& send : sends) {
    unanswered_since_.try_emplace(send.to, now);
  }
  last_status_ = now;
  next_leader_status_ = now + (answered_ ? settings_.leader_interval : settings_.first_interval);
  if (all) {
    next_member_status_ = now + settings_.member_interval;
  }
  hurried_ = false;
  tell_all_ = false;
  return sends;
}

std::vector<NodeName> ControlFeed::unansweringMembers(TimePoint now) {
  std::vector<NodeName> members;
  for (auto& [member, since] : unanswered_since_) {
    if (now - since >= settings_.answer_limit) {
      members.push_back(member);
      since = now;
    }
  }
  return members;
}

}  // namespace ferryrock::calls
