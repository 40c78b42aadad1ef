#include "services/report_relay.h"

#include <algorithm>
#include <utility>

namespace ferryrock::services {
namespace {

/// In a small fleet every fifth unchanged report is relayed in full, for members that joined since the last
/// one.
constexpr std::uint64_t kFullReportEvery = 5;
/// In a large fleet one in this many unchanged reports is relayed to all members. Members that don't lead
/// remove a silent replica only after a minute, so that they need heartbeats less often than the leader.
constexpr std::uint64_t kBroadcastEvery = 16;
/// Maximum delay of unchanged reports, which are relayed in batches.
constexpr Duration kMaxRelayDelay = std::chrono::milliseconds(100);
/// Minimum time between two batches with changes.
constexpr Duration kMinChangeInterval = std::chrono::milliseconds(10);
/// A replica without a report to this member for longer than this is assumed to report to another member.
constexpr Duration kLocalReportTtl = std::chrono::seconds(3);
/// A report takes some 150 bytes.
constexpr std::size_t kMaxReportsPerMessage = 400;

}  // namespace

void ReportRelay::onReport(const wire::ReplicaReport& report, bool changed, bool large_fleet, TimePoint now) {
  local_replicas_[report.id] = now;
  if (large_fleet) {
    relayInLargeFleet(report, changed, now);
  } else {
    relayInSmallFleet(report, changed, now);
  }
}

void ReportRelay::relayInSmallFleet(const wire::ReplicaReport& report, bool changed, TimePoint now) {
  if (changed || report.sequence % kFullReportEvery == 0) {
    batches_.to_all.reports.push_back(report);
  } else {
    batches_.to_all.alive.push_back({report.id, report.sequence});
  }
  scheduleFlush(changed ? now : now + kMaxRelayDelay);
}

void ReportRelay::relayInLargeFleet(const wire::ReplicaReport& report, bool changed, TimePoint now) {
  if (changed) {
    batches_.to_all.reports.push_back(report);
    scheduleFlush(std::max(now, last_flush_ + kMinChangeInterval));
    return;
  }
  if (report.sequence % kBroadcastEvery == 0) {
    batches_.to_all.alive.push_back({report.id, report.sequence});
    batches_.to_leader.reports.push_back(report);
  } else {
    batches_.to_leader.alive.push_back({report.id, report.sequence});
  }
  scheduleFlush(now + kMaxRelayDelay);
}

void ReportRelay::scheduleFlush(TimePoint time) {
  due_ = std::min(due_, time);
}

void ReportRelay::expireLocalReplicas(TimePoint now) {
  std::erase_if(local_replicas_, [now](const auto& item) { return now - item.second > kLocalReportTtl; });
}

ReportRelay::Batches ReportRelay::take(TimePoint now) {
  due_ = TimePoint::max();
  last_flush_ = now;
  expireLocalReplicas(now);
  return std::exchange(batches_, {});
}

std::vector<wire::ReplicaReports> ReportRelay::fullReports(const ReplicaRegistry& registry, TimePoint now) {
  expireLocalReplicas(now);
  std::vector<wire::ReplicaReports> messages;
  for (const auto& [id, last_report] : local_replicas_) {
    const ReplicaRecord* record = registry.find(id);
    if (record == nullptr) {
      continue;
    }
    if (messages.empty() || messages.back().reports.size() == kMaxReportsPerMessage) {
      messages.emplace_back();
    }
    messages.back().reports.push_back(record->report);
  }
  return messages;
}

}  // namespace ferryrock::services
