#include "services/stream_origin_store.h"

namespace ferryrock::services {

wire::StreamOrigins StreamOriginStore::accept(const wire::StreamOrigins& reported, TimePoint now) {
  wire::StreamOrigins to_store;
  for (const wire::StreamOrigin& origin : reported.origins) {
    if (origin.stream.empty()) {
      continue;
    }
    const auto known = origins_.find(origin.stream.value);
    const bool stored = known != origins_.end() && now - known->second.stored_at < kRetention / 2;
    if (!stored) {
      to_store.origins.push_back(origin);
    }
    record(origin, now, stored ? known->second.stored_at : now);
  }
  expire(now);
  return to_store;
}

void StreamOriginStore::restore(const wire::StreamOrigins& stored, TimePoint now) {
  for (const wire::StreamOrigin& origin : stored.origins) {
    record(origin, now, now);
  }
}

void StreamOriginStore::record(const wire::StreamOrigin& origin, TimePoint now, TimePoint stored_at) {
  origins_[origin.stream.value] = {origin, now, stored_at};
  reports_.emplace_back(now, origin.stream.value);
  while (origins_.size() > kMaxStreams) {
    removeOldest();
  }
}

wire::StreamOriginReply StreamOriginStore::answer(const wire::StreamOriginQuery& query) {
  const auto found = origins_.find(query.stream.value);
  ++(found == origins_.end() ? counts_.unknown : counts_.found);
  return {query.stream, found == origins_.end() ? std::nullopt : std::optional(found->second.origin)};
}

void StreamOriginStore::expire(TimePoint now) {
  while (!reports_.empty() && now - reports_.front().first > kRetention) {
    removeOldest();
  }
}

void StreamOriginStore::removeOldest() {
  const auto& [reported_at, stream] = reports_.front();
  const auto found = origins_.find(stream);
  if (found != origins_.end() && found->second.reported_at == reported_at) {
    origins_.erase(found);
  }
  reports_.pop_front();
}

}  // namespace ferryrock::services
