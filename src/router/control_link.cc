#include "router/control_link.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ferryrock::router {
namespace {

/// Status intervals without a leader's word after which the cell counts as unavailable.
constexpr int kIntervalsUntilUnavailable = 3;
/// Few names are always sent whole, so that a lost message heals with the next one.
constexpr std::size_t kFewInterests = 32;
/// Every so many status messages carry all names, so that members that don't lead hear of names whose message
/// was lost. The leader itself asks for them when it misses a status.
constexpr std::uint64_t kWholeEvery = 30;
/// With many names the whole sets are rarer: on average no status carries more names than this for them.
constexpr std::uint64_t kNamesPerStatus = 16;
/// A new interest is told at once, but statuses keep this distance.
constexpr Duration kShortestStatusDistance = std::chrono::milliseconds(20);

}  // namespace

ControlLink::ControlLink(NodeName node, ZoneName zone, std::vector<NodeName> members,
                         std::uint64_t incarnation, Duration status_interval, TimePoint now)
    : node_(std::move(node)),
      zone_(std::move(zone)),
      members_(std::move(members)),
      incarnation_(incarnation),
      status_interval_(status_interval),
      last_heard_(now),
      next_status_(now) {}

void ControlLink::onUpdate(const NodeName& from, const wire::TableUpdate& update, const TableChange& change,
                           TimePoint now) {
  if (update.term < leader_term_) {
    return;
  }
  if (update.term > leader_term_ || leader_ != from || update.requests_interests) {
    leader_knows_interests_ = false;
    next_status_ = std::min(next_status_, std::max(now, last_status_ + kShortestStatusDistance));
  } else {
    leader_knows_interests_ = true;
  }
  leader_term_ = update.term;
  onAnswer(from, now);
  if (!change.applied) {
    return;
  }
  if (last_status_ >= last_removal_) {
    removed_.clear();
  }
  if (update.full) {
    for (const auto& [name, last_use] : interests_) {
      missing_.insert(name);
    }
  }
  needs_full_table_ = !change.digest_matches;
  if (needs_full_table_) {
    leader_knows_interests_ = false;
    next_status_ = std::min(next_status_, std::max(now, last_status_ + kShortestStatusDistance));
  }
}

void ControlLink::onAnswer(const NodeName& from, TimePoint now) {
  leader_ = from;
  last_heard_ = now;
  ever_heard_ = true;
}

bool ControlLink::addInterest(const ModelName& name, TimePoint now) {
  const auto [position, added] = interests_.insert_or_assign(name, now);
  if (!added) {
    return false;
  }
  removed_.erase(name);
  missing_.insert(name);
  next_status_ = std::min(next_status_, std::max(now, last_status_ + kShortestStatusDistance));
  return true;
}

void ControlLink::removeInterest(const ModelName& name, TimePoint now) {
  if (interests_.erase(name) > 0) {
    last_removal_ = now;
    missing_.erase(name);
    removed_.insert(name);
  }
}

std::vector<ModelName> ControlLink::unusedSince(TimePoint before) const {
  std::vector<ModelName> names;
  for (const auto& [name, last_use] : interests_) {
    if (last_use < before) {
      names.push_back(name);
    }
  }
  return names;
}

bool ControlLink::available(TimePoint now) const {
  return now < unavailableAt();
}

TimePoint ControlLink::unavailableAt() const {
  return last_heard_ + kIntervalsUntilUnavailable * status_interval_;
}

bool ControlLink::sendsAllInterests() const {
  return needs_full_table_ || !leader_knows_interests_ || interests_.size() <= kFewInterests ||
         sequence_ >= last_whole_set_ + statusesBetweenWholeSets();
}

std::uint64_t ControlLink::statusesBetweenWholeSets() const {
  return std::max<std::uint64_t>(kWholeEvery, interests_.size() / kNamesPerStatus);
}

wire::RouterStatus ControlLink::makeStatus(const RoutingTable& table) {
  wire::RouterStatus status;
  status.router = node_;
  status.zone = zone_;
  status.incarnation = incarnation_;
  status.sequence = ++sequence_;
  status.tree_version = table.treeVersion();
  status.revision = needs_full_table_ ? LogIndex{} : table.revision();
  status.digest = needs_full_table_ ? 0 : table.digest();
  status.all_interests = sendsAllInterests();
  std::erase_if(missing_, [&table](const ModelName& name) {
    return table.find(name) != nullptr || table.knownAbsent(name);
  });
  if (status.all_interests) {
    last_whole_set_ = sequence_;
    for (const auto& [name, last_use] : interests_) {
      status.added_interests.push_back(name);
    }
  } else {
    status.added_interests.assign(missing_.begin(), missing_.end());
  }
  status.removed_interests.assign(removed_.begin(), removed_.end());
  return status;
}

std::vector<wire::SendEffect> ControlLink::tick(const RoutingTable& table, TimePoint now) {
  std::vector<wire::SendEffect> effects;
  if (now < next_status_) {
    return effects;
  }
  const wire::RouterStatus status = makeStatus(table);
  for (const auto& member : members_) {
    effects.push_back(wire::SendEffect{member, status});
  }
  last_status_ = now;
  next_status_ = now + status_interval_;
  return effects;
}

}  // namespace ferryrock::router
