#include "services/status_receipts.h"

namespace ferryrock::services {
namespace {

/// Maximum number of receipts per router: more than accumulate until the cell's next heartbeat, after 100 ms,
/// and its responses.
constexpr std::size_t kMaxReceipts = 12;
/// Minimum time between two receipts of a router; routers with urgent requests report their status every 10
/// ms.
constexpr Duration kMinReceiptInterval = std::chrono::milliseconds(40);

}  // namespace

void StatusReceipts::onStatus(const wire::CallRouterStatus& status, TimePoint now) {
  std::deque<Receipt>& of_router = receipts_[status.router];
  if (!of_router.empty() && of_router.back().incarnation == status.incarnation &&
      now - of_router.back().arrived_at < kMinReceiptInterval) {
    return;
  }
  of_router.push_back({status.incarnation, status.sequence, now});
  if (of_router.size() > kMaxReceipts) {
    of_router.pop_front();
  }
}

wire::ProvedStatus StatusReceipts::provedBy(const NodeName& router, TimePoint followed) const {
  const auto found = receipts_.find(router);
  if (found == receipts_.end()) {
    return {};
  }
  const std::deque<Receipt>& of_router = found->second;
  for (auto receipt = of_router.rbegin(); receipt != of_router.rend(); ++receipt) {
    if (receipt->arrived_at <= followed) {
      return {receipt->incarnation, receipt->sequence};
    }
  }
  return {};
}

}  // namespace ferryrock::services
