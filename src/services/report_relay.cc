#include "services/report_relay.h"

#include <algorithm>
#include <utility>

namespace ferryrock::services {
namespace {

/// Reports that say nothing new are told whole now and then, for members that joined since.
constexpr std::uint64_t kWholeReportEvery = 5;
/// In a large fleet: reports between two that all members hear of, of the minute after which a member that
/// doesn't lead forgets a silent replica.
constexpr std::uint64_t kToldToAllEvery = 16;
constexpr Duration kRelayDelay = std::chrono::milliseconds(100);
/// Between two batches with changes.
constexpr Duration kChangeSpacing = std::chrono::milliseconds(10);
/// A replica that was silent here for longer reports elsewhere.
constexpr Duration kReportsHere = std::chrono::seconds(3);
/// Some 150 bytes each.
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
