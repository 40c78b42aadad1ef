#include "services/report_relay.h"

#include <algorithm>
#include <utility>

namespace ferryrock::services {
namespace {

/// In a small fleet every fifth unchanged report is relayed in full, for members that joined since the last
/// one.
constexpr std::uint64_t kWholeReportEvery = 5;
/// In a large fleet one in this many unchanged reports is relayed to all members. Members that don't lead
/// remove a silent replica only after a minute, so that they need heartbeats less often than the leader.
constexpr std::uint64_t kToldToAllEvery = 16;
/// Maximum delay of unchanged reports, which are relayed in batches.
constexpr Duration kRelayDelay = std::chrono::milliseconds(100);
/// Minimum time between two batches with changes.
constexpr Duration kChangeSpacing = std::chrono::milliseconds(10);
/// A replica without a report to this member for longer than this is assumed to report to another member.
constexpr Duration kReportsHere = std::chrono::seconds(3);
/// A report takes some 150 bytes.
constexpr std::size_t kReportsPerMessage = 400;

}  // namespace

void ReportRelay::onReport(const wire::ReplicaReport& report, bool changed, bool large_fleet, TimePoint now) {
  heard_here_[report.id] = now;
  if (large_fleet) {
    relayInLarge(report, changed, now);
  } else {
    relayToAll(report, changed, now);
  }
}

void ReportRelay::relayToAll(const wire::ReplicaReport& report, bool changed, TimePoint now) {
  if (changed || report.sequence % kWholeReportEvery == 0) {
    batches_.to_all.reports.push_back(report);
  } else {
    batches_.to_all.alive.push_back({report.id, report.sequence});
  }
  dueAt(changed ? now : now + kRelayDelay);
}

void ReportRelay::relayInLarge(const wire::ReplicaReport& report, bool changed, TimePoint now) {
  if (changed) {
    batches_.to_all.reports.push_back(report);
    dueAt(std::max(now, taken_ + kChangeSpacing));
    return;
  }
  if (report.sequence % kToldToAllEvery == 0) {
    batches_.to_all.alive.push_back({report.id, report.sequence});
    batches_.to_leader.reports.push_back(report);
  } else {
    batches_.to_leader.alive.push_back({report.id, report.sequence});
  }
  dueAt(now + kRelayDelay);
}

void ReportRelay::dueAt(TimePoint time) {
  due_ = std::min(due_, time);
}

void ReportRelay::forgetMoved(TimePoint now) {
  std::erase_if(heard_here_, [now](const auto& item) { return now - item.second > kReportsHere; });
}

ReportRelay::Batches ReportRelay::take(TimePoint now) {
  due_ = TimePoint::max();
  taken_ = now;
  forgetMoved(now);
  return std::exchange(batches_, {});
}

std::vector<wire::ReplicaReports> ReportRelay::whole(const ReplicaRegistry& registry, TimePoint now) {
  forgetMoved(now);
  std::vector<wire::ReplicaReports> messages;
  for (const auto& [id, heard] : heard_here_) {
    const ReplicaRecord* record = registry.find(id);
    if (record == nullptr) {
      continue;
    }
    if (messages.empty() || messages.back().reports.size() == kReportsPerMessage) {
      messages.emplace_back();
    }
    messages.back().reports.push_back(record->report);
  }
  return messages;
}

}  // namespace ferryrock::services
