#include <algorithm>
#include <utility>

#include "common/hashing.h"
#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

constexpr std::uint64_t kWholeReportEvery = 5;
/// Replicas that report to the leader itself. A leader held 19 MB with 300, 67 MB with 1,000 and more than
/// its 256 MB with 3,000 of them (`sweep` of okl-tbilisi-large, e11005a).
constexpr std::size_t kReplicasAtLeader = 400;
constexpr Duration kRelayDelay = std::chrono::milliseconds(100);
/// A replica waits about a second for its answer; then it asks elsewhere.
constexpr Duration kNoticeLimit = std::chrono::milliseconds(850);
constexpr Duration kForwardLimit = std::chrono::milliseconds(900);
/// A new leader has heard of every router in touch after this time.
constexpr Duration kRoutersReport = std::chrono::milliseconds(1500);

}  // namespace

Effects ServiceControlImpl::onReport(QuestionNumber question, const wire::ReplicaReport& told,
                                     TimePoint now) {
  const wire::ReplicaReport report = withCurrentLife(told);
  const ReportNews news = learn(report, now);
  if (news != ReportNews::Late) {
    relay(report, news == ReportNews::Changed, now);
  }
  if (!hearsLeader()) {
    // Learned all the same: whoever leads next has the replica in its first tables.
    answer(question, ResultCode::NoQuorum, "this member hears no leader");
  } else if (!report.leaving) {
    effects_.emplace_back(
        AnswerEffect{question, ResultCode::Ok, {}, {}, leaderHttp(), nextReportAddress(report.id, now)});
  } else if (node_->leads()) {
    followLeadership(now);
    NoticeOrigin origin;
    origin.question = question.value;
    beginNotice(origin, report, now);
  } else {
    const std::uint64_t number = next_id_++;
    forwarded_.emplace(number, ForwardedNotice{question, now + kForwardLimit});
    send(node_->log().leader(), wire::LeaveRequest{number, report});
  }
  return finish(now);
}

/// The leader hears of a few replicas at first hand, which is soonest. Each costs it a connection and an
/// answer in a heartbeat, so that many of them are shared among the members; the others tell it what they
/// hear in batches.
std::string ServiceControlImpl::nextReportAddress(const ReplicaId& replica, TimePoint now) const {
  if (registry_.replicas().size() <= kReplicasAtLeader) {
    return leaderHttp();
  }
  if (!node_->leads()) {
    return settings_.http;
  }
  std::vector<std::string> members = keeper_.servingMembers(node_->log().membership(), now);
  members.push_back(settings_.http);
  return members[stableHash(replica.value) % members.size()];
}

/// A bare notice names its replica without the start of its life.
wire::ReplicaReport ServiceControlImpl::withCurrentLife(const wire::ReplicaReport& told) const {
  wire::ReplicaReport report = told;
  if (report.address.empty()) {
    report.id = registry_.currentLife(report.id);
  }
  return report;
}

/// Without a catalog no service is known to be missing in it.
bool ServiceControlImpl::isConfigured(const ServiceName& service) const {
  const std::vector<wire::HostedService>& services = node_->hosted().catalog().services;
  return services.empty() ||
         std::any_of(services.begin(), services.end(),
                     [&service](const wire::HostedService& hosted) { return hosted.name == service; });
}

ReportNews ServiceControlImpl::learn(const wire::ReplicaReport& report, TimePoint now) {
  const ReportNews news = registry_.accept(report, now, isConfigured(report.service));
  if (node_->hosted().leaving(report.id)) {
    registry_.markLeaving(report.id);
  }
  return news;
}

/// What says nothing new is told in short, but now and then whole, for members that joined since.
void ServiceControlImpl::relay(const wire::ReplicaReport& report, bool changed, TimePoint now) {
  if (changed || report.sequence % kWholeReportEvery == 0) {
    relay_.reports.push_back(report);
  } else {
    relay_.alive.push_back({report.id, report.sequence});
  }
  if (changed) {
    flushRelay();
  } else if (relay_due_ == TimePoint::max()) {
    relay_due_ = now + kRelayDelay;
  }
}

void ServiceControlImpl::flushRelay() {
  relay_due_ = TimePoint::max();
  const wire::ReplicaReports reports = std::exchange(relay_, {});
  if (reports.reports.empty() && reports.alive.empty()) {
    return;
  }
  for (const NodeName& node : memberNodes()) {
    if (node != self_) {
      send(node, reports);
    }
  }
}

void ServiceControlImpl::beginNotice(NoticeOrigin origin, const wire::ReplicaReport& report, TimePoint now) {
  LeaveNotice notice;
  notice.origin = std::move(origin);
  notice.replica = report.id;
  notice.deadline = now + kNoticeLimit;
  notices_.add(std::move(notice));
  if (!node_->hosted().leaving(report.id) && leaving_proposed_.insert(report.id).second) {
    propose(LeavingProposal{report.id}, wire::ReplicaLeavingCommand{report.id}, now);
  }
}

void ServiceControlImpl::answerNotice(const LeaveNotice& notice, bool bound, std::string detail) {
  if (notice.origin.question) {
    answer(QuestionNumber{*notice.origin.question}, bound ? ResultCode::Ok : ResultCode::NotBoundEverywhere,
           std::move(detail));
  } else {
    send(notice.origin.member, wire::LeaveReply{notice.origin.number, bound});
  }
}

/// A notice binds once it is committed, every router in touch holds a table that shows it, and a quorum has
/// confirmed after that that this member leads.
void ServiceControlImpl::settleNotices(TimePoint now) {
  std::uint64_t read = 0;
  for (LeaveNotice& notice : notices_.all()) {
    if (!node_->hosted().leaving(notice.replica)) {
      continue;
    }
    if (!notice.revision) {
      registry_.markLeaving(notice.replica);
      const ReplicaRecord* record = registry_.find(notice.replica);
      notice.revision = record == nullptr ? leader_->feed.revision() : leader_->feed.revisionAt(record->left);
      leader_->push_to_all = true;
    }
    const bool known_routers = now - leader_->since >= kRoutersReport;
    if (!notice.confirming && known_routers && routersHold(*notice.revision, now)) {
      read = read == 0 ? next_id_ : read;
      notice.confirming = true;
      notice.read = read;
    }
  }
  if (read != 0) {
    confirmRead(NoticeRead{}, now);
  }
  for (const LeaveNotice& notice :
       notices_.takeIf([now](const LeaveNotice& waiting) { return now >= waiting.deadline; })) {
    answerNotice(notice, false, whatUnbinds(notice, now));
  }
}

/// For whoever asks why a notice took so long.
std::string ServiceControlImpl::whatUnbinds(const LeaveNotice& notice, TimePoint now) const {
  if (!notice.revision) {
    return "it isn't committed yet";
  }
  std::size_t behind = 0;
  std::string first;
  for (const auto& [name, record] : directory_.routers()) {
    if (holdsOrOutOfTouch(record, *notice.revision, now)) {
      continue;
    }
    if (++behind == 1) {
      first = name.value + " holds revision " + std::to_string(record.status.revision.value) + " of " +
              std::to_string(notice.revision->value) + ", heard " +
              std::to_string(toMilliseconds(now - record.heard)) + " ms ago";
    }
  }
  return behind == 0 ? "leadership wasn't confirmed yet" : std::to_string(behind) + " routers lag: " + first;
}

/// A router that has been silent for longer than the limit isn't in touch: nothing binds it until it is.
bool ServiceControlImpl::holdsOrOutOfTouch(const RouterRecord& record, LogIndex revision,
                                           TimePoint now) const {
  return now - record.heard > settings_.router_out_of_touch || leader_->feed.holds(record.status, revision);
}

bool ServiceControlImpl::routersHold(LogIndex revision, TimePoint now) const {
  return std::all_of(directory_.routers().begin(), directory_.routers().end(),
                     [&](const auto& item) { return holdsOrOutOfTouch(item.second, revision, now); });
}

void ServiceControlImpl::giveUpForwarded(TimePoint now) {
  std::erase_if(forwarded_, [&](const auto& item) {
    const bool late = now >= item.second.deadline;
    if (late) {
      answer(item.second.question, ResultCode::NotBoundEverywhere, "the leader didn't answer in time");
    }
    return late;
  });
}

}  // namespace ferryrock::services
