#include "services/catalog_spread.h"

namespace ferryrock::services {
namespace {

/// Minimum time between two scans of the routers; a large fleet has some 300 of them.
constexpr Duration kLookInterval = std::chrono::milliseconds(50);
/// Time between two reports of routers that are behind, and before the first report.
constexpr Duration kWordInterval = std::chrono::seconds(1);

}  // namespace

std::optional<CatalogSpreadEffect> CatalogSpread::look(CatalogVersion version,
                                                       const std::map<NodeName, RouterRecord>& routers,
                                                       TimePoint now) {
  if (version > version_) {
    version_ = version;
    since_ = now;
    everywhere_ = false;
    next_look_ = now;
    next_word_ = now + kWordInterval;
  }
  if (everywhere_ || now < next_look_) {
    return std::nullopt;
  }
  next_look_ = now + kLookInterval;
  const CatalogSpreadEffect spread = count(routers, now);
  everywhere_ = spread.behind == 0;
  if (!everywhere_ && now < next_word_) {
    return std::nullopt;
  }
  next_word_ = now + kWordInterval;
  return spread;
}

CatalogSpreadEffect CatalogSpread::count(const std::map<NodeName, RouterRecord>& routers,
                                         TimePoint now) const {
  CatalogSpreadEffect spread;
  spread.version = version_;
  spread.since = now - since_;
  for (const auto& [name, record] : routers) {
    if (now - record.heard > out_of_touch_) {
      continue;
    }
    ++spread.routers;
    if (record.status.catalog >= version_) {
      continue;
    }
    if (++spread.behind == 1) {
      spread.router = name;
      spread.held = record.status.catalog;
      spread.silent = now - record.heard;
    }
  }
  return spread;
}

}  // namespace ferryrock::services
