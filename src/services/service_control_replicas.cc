#include <algorithm>
#include <utility>

#include "common/hashing.h"
#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

/// A replica waits about a second for a response before it tries another member; both limits are below that.
constexpr Duration kNoticeTimeout = std::chrono::milliseconds(850);
constexpr Duration kForwardTimeout = std::chrono::milliseconds(900);
/// A new leader has received a status of every router in contact within this time.
constexpr Duration kRouterReportPeriod = std::chrono::milliseconds(1500);
/// Minimum time between two checks of pending leave notices in a large fleet.
constexpr Duration kNoticeCheckInterval = std::chrono::milliseconds(10);

}  // namespace

Effects ServiceControlImpl::onReport(ControlRequestNumber request_number,
                                     const wire::ReplicaReport& report_or_notice, TimePoint now) {
  const wire::ReplicaReport report = withCurrentIncarnation(report_or_notice);
  const ReportOutcome outcome = acceptReport(report, now);
  if (outcome != ReportOutcome::Stale) {
    relay_.onReport(report, outcome == ReportOutcome::Changed, hasManyReplicas(), now);
    if (now >= relay_.due()) {
      flushRelay(now);
    }
  }
  if (!hasLeaderContact()) {
    // The report was applied above nevertheless, so that the next leader's first tables contain the replica.
    answer(request_number, ResultCode::NoQuorum, "this member has no contact with a leader");
  } else if (!report.leaving) {
    effects_.emplace_back(AnswerEffect{
        request_number, ResultCode::Ok, {}, {}, leaderHttp(), nextReportAddress(report.id, now)});
  } else if (node_->leads()) {
    updateLeadership(now);
    NoticeOrigin origin;
    origin.local_request = request_number.value;
    beginNotice(origin, report, now);
  } else {
    const std::uint64_t number = next_id_++;
    forwarded_.emplace(number, ForwardedNotice{request_number, now + kForwardTimeout});
    send(node_->log().leader(), wire::LeaveRequest{number, report});
  }
  return finish(now);
}

/// Few replicas report to the leader directly, which has the least delay. Each of them costs the leader a
/// connection and a response per heartbeat, so many replicas are distributed among the other members, which
/// relay the reports to the leader in batches.
std::string ServiceControlImpl::nextReportAddress(const ReplicaId& replica, TimePoint now) const {
  if (!hasManyReplicas()) {
    return leaderHttp();
  }
  if (!node_->leads()) {
    return settings_.http;
  }
  std::vector<std::string> members = membership_manager_.servingMembers(node_->log().membership(), now);
  if (members.empty()) {
    members.push_back(settings_.http);
  }
  return members[stableHash(replica.value) % members.size()];
}

/// A bare leave notice identifies its replica by name, without the start time of its incarnation.
wire::ReplicaReport ServiceControlImpl::withCurrentIncarnation(
    const wire::ReplicaReport& report_or_notice) const {
  wire::ReplicaReport report = report_or_notice;
  if (report.address.empty()) {
    report.id = registry_.currentIncarnation(report.id);
  }
  return report;
}

/// Returns true for every service if there is no catalog yet.
bool ServiceControlImpl::isConfigured(const ServiceName& service) const {
  const std::vector<wire::HostedService>& services = node_->hosted().catalog().services;
  return services.empty() ||
         std::any_of(services.begin(), services.end(),
                     [&service](const wire::HostedService& hosted) { return hosted.name == service; });
}

ReportOutcome ServiceControlImpl::acceptReport(const wire::ReplicaReport& report, TimePoint now) {
  const ReportOutcome outcome = registry_.accept(report, now, isConfigured(report.service));
  if (node_->hosted().leaving(report.id)) {
    registry_.markLeaving(report.id);
  }
  return outcome;
}

/// Applies committed leave notices to the registry. Every member does this, so that a new leader doesn't open
/// a replica again whose notice an earlier leader acknowledged.
void ServiceControlImpl::applyLeaveNotices() {
  const std::uint64_t changes = node_->hosted().leavingChanges();
  closeLeavers(changes - std::exchange(applied_leaving_changes_, changes));
}

/// A router that was out of contact may still use a replica whose notice an earlier leader acknowledged.
void ServiceControlImpl::closeLatestLeavers() {
  constexpr std::uint64_t kClosedByNewLeader = 256;
  closeLeavers(kClosedByNewLeader);
}

void ServiceControlImpl::closeLeavers(std::uint64_t count) {
  const std::deque<ReplicaId>& leaving = node_->hosted().leavingByAge();
  const auto taken = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(count, leaving.size()));
  for (auto id = leaving.end() - taken; id != leaving.end(); ++id) {
    registry_.markLeaving(*id);
    if (leader_) {
      registry_.closeUnknown(*id);
    }
  }
}

void ServiceControlImpl::flushRelay(TimePoint now) {
  const ReportRelay::Batches batches = relay_.take(now);
  const auto hasContent = [](const wire::ReplicaReports& reports) {
    return !reports.reports.empty() || !reports.alive.empty();
  };
  if (hasContent(batches.to_all)) {
    for (const NodeName& node : memberNodes()) {
      if (node != self_) {
        send(node, batches.to_all);
      }
    }
  }
  const NodeName& leader = node_->log().leader();
  if (hasContent(batches.to_leader) && !leader.empty() && leader != self_) {
    send(leader, batches.to_leader);
  }
}

/// Sends a new leader the full reports of the replicas that report to this member. With many replicas the
/// leader otherwise receives only heartbeats of unchanged replicas, and its registry may lack some of them.
void ServiceControlImpl::sendReportsToNewLeader(TimePoint now) {
  const NodeName& leader = node_->log().leader();
  const Term term = node_->log().term();
  if (leader.empty() || (leader == reported_leader_ && term == reported_term_)) {
    return;
  }
  reported_leader_ = leader;
  reported_term_ = term;
  if (leader == self_ || !hasManyReplicas()) {
    return;
  }
  for (wire::ReplicaReports& reports : relay_.fullReports(registry_, now)) {
    send(leader, std::move(reports));
  }
}

void ServiceControlImpl::beginNotice(NoticeOrigin origin, const wire::ReplicaReport& report, TimePoint now) {
  LeaveNotice notice;
  notice.origin = std::move(origin);
  notice.replica = report.id;
  notice.deadline = now + kNoticeTimeout;
  notices_.add(std::move(notice));
  if (!node_->hosted().leaving(report.id) && leaving_proposed_.insert(report.id).second) {
    propose(LeavingProposal{report.id}, wire::ReplicaLeavingCommand{report.id}, now);
  }
}

void ServiceControlImpl::answerNotice(const LeaveNotice& notice, bool bound, std::string detail) {
  if (notice.origin.local_request) {
    answer(ControlRequestNumber{*notice.origin.local_request},
           bound ? ResultCode::Ok : ResultCode::NotBoundEverywhere, std::move(detail));
  } else {
    send(notice.origin.member, wire::LeaveReply{notice.origin.number, bound});
  }
}

/// A leave notice binds once it is committed, every router in contact that may use the replica holds a table
/// that reflects the notice, and a quorum has confirmed this member's leadership after that.
void ServiceControlImpl::checkNotices(TimePoint now) {
  if (notices_.all().empty() || (isLargeFleet() && now < leader_->next_notice_check)) {
    return;
  }
  leader_->next_notice_check = now + kNoticeCheckInterval;
  std::uint64_t read = 0;
  for (LeaveNotice& notice : notices_.all()) {
    if (!node_->hosted().leaving(notice.replica)) {
      continue;
    }
    if (!notice.revision) {
      closeForNotice(notice);
    }
    const bool routers_reported = now - leader_->since >= kRouterReportPeriod;
    if (!notice.confirmation_pending && routers_reported && routersHold(notice, now)) {
      read = read == 0 ? next_id_ : read;
      notice.confirmation_pending = true;
      notice.read = read;
    }
  }
  if (read != 0) {
    confirmRead(NoticeRead{}, now);
  }
  for (const LeaveNotice& notice :
       notices_.takeIf([now](const LeaveNotice& waiting) { return now >= waiting.deadline; })) {
    answerNotice(notice, false, describePendingNotice(notice, now));
  }
}

/// Routers may know a replica that this leader has no record of from an earlier leader, and keep it until the
/// first complete table. The notice then binds with the update that lists the replica as removed.
void ServiceControlImpl::closeForNotice(LeaveNotice& notice) {
  const bool became_known = registry_.currentIncarnation(notice.replica) != notice.replica;
  if (became_known) {
    return;  // the notice that is sent again names the incarnation
  }
  registry_.markLeaving(notice.replica);
  registry_.closeUnknown(notice.replica);
  applyReplicaChanges();
  const ReplicaRecord* record = registry_.find(notice.replica);
  const std::uint64_t change =
      record == nullptr ? registry_.closedUnknown().at(notice.replica) : record->leaving_change;
  notice.revision = leader_->feed.revisionAt(change);
  notice.closing_count = leader_->tables.closings();
  leader_->push_to_all = leader_->push_to_all || !leader_->has_subscriptions;
}

/// Describes why a leave notice doesn't bind yet, for the error message.
std::string ServiceControlImpl::describePendingNotice(const LeaveNotice& notice, TimePoint now) const {
  if (!notice.revision) {
    return "the leave notice isn't committed yet";
  }
  std::size_t behind = 0;
  std::string first;
  for (const auto& [name, record] : directory_.routers()) {
    if (subscribes(record.status) || holdsOrOutOfTouch(record, *notice.revision, now)) {
      continue;
    }
    if (++behind == 1) {
      first = name.value + " holds revision " + std::to_string(record.status.revision.value) + " of " +
              std::to_string(notice.revision->value) + ", last contact " +
              std::to_string(toMilliseconds(now - record.last_contact)) + " ms ago";
    }
  }
  const auto user =
      leader_->tables.findUser(notice.replica, notice.closing_count,
                               [&](const NodeName& router) { return isSubscriberInTouch(router, now); });
  if (behind == 0 && user) {
    return "router " + user->value + " may still use the replica";
  }
  return behind == 0 ? "a quorum hasn't confirmed the leadership yet"
                     : std::to_string(behind) + " routers hold older revisions: " + first;
}

/// A leave notice doesn't wait for a router that is out of contact.
bool ServiceControlImpl::holdsOrOutOfTouch(const RouterRecord& record, LogIndex revision,
                                           TimePoint now) const {
  return now - record.last_contact > settings_.router_contact_timeout ||
         leader_->feed.holds(record.status, revision);
}

bool ServiceControlImpl::routersHold(const LeaveNotice& notice, TimePoint now) const {
  const bool held_by_all =
      std::all_of(directory_.routers().begin(), directory_.routers().end(), [&](const auto& item) {
        return subscribes(item.second.status) || holdsOrOutOfTouch(item.second, *notice.revision, now);
      });
  return held_by_all &&
         !leader_->tables.findUser(notice.replica, notice.closing_count,
                                   [&](const NodeName& router) { return isSubscriberInTouch(router, now); });
}

/// For a new leader the last contact with a router counts as no earlier than the start of its leadership,
/// since it may not have received that router's statuses before.
bool ServiceControlImpl::isSubscriberInTouch(const NodeName& router, TimePoint now) const {
  const auto record = directory_.routers().find(router);
  if (record == directory_.routers().end()) {
    return false;
  }
  const TimePoint last_contact = std::max(record->second.last_contact, leader_->since);
  return now - last_contact <= settings_.router_contact_timeout;
}

void ServiceControlImpl::expireForwarded(TimePoint now) {
  std::erase_if(forwarded_, [&](const auto& item) {
    const bool late = now >= item.second.deadline;
    if (late) {
      answer(item.second.request_number, ResultCode::NotBoundEverywhere,
             "the leader didn't respond to the leave notice within " +
                 std::to_string(toMilliseconds(kForwardTimeout)) + " ms");
    }
    return late;
  });
}

}  // namespace ferryrock::services
