#include "services/catalog_rollout.h"

namespace ferryrock::services {
namespace {

/// Minimum time between two scans of the routers; a large fleet has some 300 of them.
constexpr Duration kScanInterval = std::chrono::milliseconds(50);
/// Time between two reports of routers that are behind, and before the first report.
constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

std::optional<CatalogRolloutEffect> CatalogRollout::poll(CatalogVersion version,
                                                         const std::map<NodeName, RouterRecord>& routers,
                                                         TimePoint now) {
  if (version > version_) {
    version_ = version;
    learned_at_ = now;
    complete_ = false;
    next_scan_ = now;
    next_report_ = now + kReportInterval;
  }
  if (complete_ || now < next_scan_) {
    return std::nullopt;
  }
  next_scan_ = now + kScanInterval;
  const CatalogRolloutEffect state = count(routers, now);
  complete_ = state.behind == 0;
  if (!complete_ && now < next_report_) {
    return std::nullopt;
  }
  next_report_ = now + kReportInterval;
  return state;
}

CatalogRolloutEffect CatalogRollout::count(const std::map<NodeName, RouterRecord>& routers,
                                           TimePoint now) const {
  CatalogRolloutEffect state;
  state.version = version_;
  state.since = now - learned_at_;
  for (const auto& [name, record] : routers) {
    if (now - record.last_contact > contact_timeout_) {
      continue;
    }
    ++state.routers;
    if (record.status.catalog >= version_) {
      continue;
    }
    if (++state.behind == 1) {
      state.router = name;
      state.held = record.status.catalog;
      state.last_contact_age = now - record.last_contact;
    }
  }
  return state;
}

}  // namespace ferryrock::services
