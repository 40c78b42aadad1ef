#include "control/router_registry.h"

#include <algorithm>
#include <iterator>

namespace ferryrock::control {
namespace {

/// Replaces the interests by the whole set that the status carries.
void replaceInterests(RouterRecord& record, const wire::RouterStatus& status, StatusNews& news) {
  const std::set<ModelName> wanted(status.added_interests.begin(), status.added_interests.end());
  std::set_difference(wanted.begin(), wanted.end(), record.interests.begin(), record.interests.end(),
                      std::back_inserter(news.added));
  std::set_difference(record.interests.begin(), record.interests.end(), wanted.begin(), wanted.end(),
                      std::back_inserter(news.removed));
  record.interests = wanted;
  record.interests_known = true;
}

void editInterests(RouterRecord& record, const wire::RouterStatus& status, StatusNews& news) {
  for (const ModelName& name : status.added_interests) {
    if (record.interests.insert(name).second) {
      news.added.push_back(name);
    }
  }
  for (const ModelName& name : status.removed_interests) {
    if (record.interests.erase(name) > 0) {
      news.removed.push_back(name);
    }
  }
}

}  // namespace

std::optional<StatusNews> RouterRegistry::accept(const wire::RouterStatus& status, TimePoint now) {
  RouterRecord& record = routers_[status.router];
  const bool known = record.incarnation != 0 || record.sequence != 0;
  if (known && status.incarnation < record.incarnation) {
    return std::nullopt;
  }
  StatusNews news;
  news.replaced = known && status.incarnation > record.incarnation;
  news.restarted = !known || news.replaced;
  if (!news.restarted && status.sequence <= record.sequence) {
    return std::nullopt;
  }
  if (news.restarted) {
    by_last_heard_.erase({record.last_heard, status.router});
    record = RouterRecord{};
    record.router = status.router;
    record.last_heard = now;
  }
  const bool gap = news.restarted || status.sequence != record.sequence + 1;
  record.zone = status.zone;
  record.incarnation = status.incarnation;
  record.sequence = status.sequence;
  record.tree_version = status.tree_version;
  record.revision = status.revision;
  record.digest = status.digest;
  if (status.all_interests) {
    replaceInterests(record, status, news);
  } else {
    record.interests_known = record.interests_known && !gap;
    editInterests(record, status, news);
  }
  hear(record, now);
  return news;
}

void RouterRegistry::hear(RouterRecord& record, TimePoint now) {
  by_last_heard_.erase({record.last_heard, record.router});
  record.last_heard = now;
  by_last_heard_.insert({now, record.router});
}

std::vector<NodeName> RouterRegistry::removeSilentSince(TimePoint before) {
  std::vector<NodeName> gone;
  while (!by_last_heard_.empty() && by_last_heard_.begin()->first < before) {
    gone.push_back(by_last_heard_.begin()->second);
    routers_.erase(gone.back());
    by_last_heard_.erase(by_last_heard_.begin());
  }
  return gone;
}

std::optional<TimePoint> RouterRegistry::oldestHeard() const {
  if (by_last_heard_.empty()) {
    return std::nullopt;
  }
  return by_last_heard_.begin()->first;
}

const RouterRecord* RouterRegistry::find(const NodeName& router) const {
  const auto found = routers_.find(router);
  return found == routers_.end() ? nullptr : &found->second;
}

}  // namespace ferryrock::control
