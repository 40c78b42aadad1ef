#include "tenancy/catalog_proof.h"

#include <algorithm>

namespace ferryrock::tenancy {
namespace {

/// Number of sent statuses that are kept: at four per second, more than any proof lifetime needs.
constexpr std::size_t kMaxRetainedStatuses = 64;

}  // namespace

void CatalogProof::onStatusSent(std::uint64_t sequence, TimePoint now) {
  sent_.push_back({sequence, now});
  if (sent_.size() > kMaxRetainedStatuses) {
    sent_.pop_front();
  }
}

void CatalogProof::onConfirmed(std::uint64_t sequence, CatalogVersion confirmed, CatalogVersion held) {
  if (held < confirmed) {
    return;
  }
  const auto found = std::find_if(sent_.begin(), sent_.end(),
                                  [sequence](const Sent& sent) { return sent.sequence == sequence; });
  if (found == sent_.end()) {
    return;
  }
  proved_ = proved_ ? std::max(*proved_, found->at) : found->at;
}

}  // namespace ferryrock::tenancy
