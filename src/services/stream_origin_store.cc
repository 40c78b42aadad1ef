#include "services/stream_origin_store.h"

namespace ferryrock::services {

void StreamOriginStore::accept(const wire::StreamOrigins& reported, TimePoint now) {
  for (const wire::StreamOrigin& origin : reported.origins) {
    if (origin.stream.empty()) {
      continue;
    }
    origins_[origin.stream.value] = {origin, now};
    reports_.emplace_back(now, origin.stream.value);
  }
  while (origins_.size() > kMaxStreams) {
    removeOldest();
  }
  expire(now);
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
