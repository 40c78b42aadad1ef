#include "emulator/model/cache_event_log.h"

#include <utility>

namespace ferryrock::emulator {

CacheEventLog::CacheEventLog(Duration lag, double loss, std::size_t history, Random random)
    : lag_(lag), loss_(loss), history_(history), random_(std::move(random)) {}

void CacheEventLog::append(TimePoint now, CacheEventKind kind, PrefixHash prefix) {
  const std::uint64_t number = ++last_number_;
  if (random_.chance(loss_)) {
    return;
  }
  entries_.push_back({now, {number, kind, prefix}});
  if (entries_.size() > history_) {
    entries_.pop_front();
  }
}

void CacheEventLog::record(TimePoint now, const PrefixCache::Change& change) {
  for (const PrefixHash prefix : change.removed) {
    append(now, CacheEventKind::Removed, prefix);
  }
  for (const PrefixHash prefix : change.stored) {
    append(now, CacheEventKind::Stored, prefix);
  }
}

CacheEventPage CacheEventLog::after(TimePoint now, std::uint64_t after) const {
  CacheEventPage page;
  if (after > last_number_) {
    after = 0;  // the reader's number is from an earlier incarnation
  }
  page.next = after;
  for (const Entry& entry : entries_) {
    if (entry.at + lag_ > now) {
      break;
    }
    if (entry.event.number > after) {
      page.events.push_back(entry.event);
      page.next = entry.event.number;
    }
  }
  return page;
}

}  // namespace ferryrock::emulator
