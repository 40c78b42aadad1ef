#include "services/update_ledger.h"

namespace ferryrock::services {
namespace {

/// Updates that the router's status doesn't reflect within this time count as lost; routers report their
/// status more often.
constexpr Duration kDeliveryTimeout = std::chrono::milliseconds(400);

}  // namespace

wire::CallRouterStatus UpdateLedger::expected(const wire::CallRouterStatus& status, TimePoint now) {
  wire::CallRouterStatus expected = status;
  Sent& sent = sent_[status.router];
  const bool ahead = sent.revision > status.revision;
  if (ahead && !status.missed_update && now - sent.revision_reset_at < kDeliveryTimeout) {
    expected.revision = sent.revision;
  } else {
    sent.revision = status.revision;
    sent.revision_reset_at = now;
  }
  if (sent.catalog > status.catalog && now - sent.catalog_sent < kDeliveryTimeout) {
    expected.catalog = sent.catalog;
  }
  if (now - sent.directory_sent < kDeliveryTimeout) {
    expected.directory = sent.directory;
  }
  return expected;
}

void UpdateLedger::onSent(const NodeName& router, const wire::ServiceUpdate& update, TimePoint now) {
  Sent& sent = sent_[router];
  sent.last_sent = now;
  sent.revision = update.revision;
  if (update.loads) {
    sent.loads_sent = now;
  }
  if (update.catalog) {
    sent.catalog = update.catalog->version;
    sent.catalog_sent = now;
  }
  if (update.directory) {
    sent.directory = wire::directoryDigest(*update.directory);
    sent.directory_sent = now;
  }
}

TimePoint UpdateLedger::lastSent(const NodeName& router) const {
  const auto found = sent_.find(router);
  return found == sent_.end() ? TimePoint{} : found->second.last_sent;
}

TimePoint UpdateLedger::loadsSent(const NodeName& router) const {
  const auto found = sent_.find(router);
  return found == sent_.end() ? TimePoint{} : found->second.loads_sent;
}

void UpdateLedger::keepRouters(const std::map<NodeName, RouterRecord>& routers) {
  std::erase_if(sent_, [&routers](const auto& item) { return !routers.contains(item.first); });
}

}  // namespace ferryrock::services
