#include "control/table_publisher.h"

#include <algorithm>
#include <utility>

namespace ferryrock::control {
namespace {

/// Bits of a revision below the term: more than 10^12 changes per term.
constexpr unsigned kCounterBits = 40;
/// A status that arrives so soon after an update was probably sent before it arrived.
constexpr Duration kCrossingTime = std::chrono::milliseconds(300);
/// Longer for each entry of the update: a large one takes its time on the way and at the router, and sending
/// it again meanwhile would only make that longer.
constexpr Duration kCrossingTimePerEntry = std::chrono::microseconds(200);
/// Entries after which a flush ends; the other routers' updates are left to the next one, so that many tables
/// at once don't keep the member from its heartbeats.
constexpr std::size_t kEntriesPerFlush = 500;
/// An expected load time is announced anew when it is off by more than this part.
constexpr std::int64_t kExpectationTolerance = 4;

std::uint64_t digestOf(const ModelName& name, const std::optional<wire::RouteEntry>& entry) {
  return entry ? wire::entryDigest(*entry) : wire::absentDigest(name);
}

/// Keeps the announced expectation while the new one is near it, so that a countdown isn't a stream of
/// updates.
void steadyExpectation(const wire::RouteEntry& before, wire::RouteEntry& after) {
  const std::int64_t difference = after.expected_load_ms > before.expected_load_ms
                                      ? after.expected_load_ms - before.expected_load_ms
                                      : before.expected_load_ms - after.expected_load_ms;
  if (after.expected_load_ms != 0 && difference * kExpectationTolerance <= before.expected_load_ms) {
    after.expected_load_ms = before.expected_load_ms;
  }
}

}  // namespace

TablePublisher::TablePublisher(Term term, MemberId leader, const RouteEntrySource& source)
    : term_(term), leader_(leader), source_(source), revision_((term.value << kCounterBits) + 1) {}

LogIndex TablePublisher::nextRevision() {
  revision_ = revision_.next();
  return revision_;
}

void TablePublisher::onStatus(const RouterRecord& record, const StatusNews& news, TimePoint now) {
  const auto [position, first] = routers_.try_emplace(record.router);
  RouterTable& table = position->second;
  if (first || news.restarted) {
    forgetInterests(record.router, table);
    table = RouterTable{};
    for (const ModelName& name : record.interests) {
      subscribe(record.router, table, name, now);
    }
  } else {
    for (const ModelName& name : news.removed) {
      unsubscribe(record.router, table, name);
    }
    for (const ModelName& name : news.added) {
      subscribe(record.router, table, name, now);
    }
  }
  table.interests_known = record.interests_known;
  if (record.revision > table.held && table.crossing_until) {
    table.crossing_until.reset();
    extendCrossing(table, 0, now);
  }
  table.held = record.revision;
  table.held_digest = record.digest;
  compareWithHeld(table, now);
  to_send_.insert(record.router);
}

void TablePublisher::compareWithHeld(RouterTable& table, TimePoint now) const {
  const LogIndex first_of_term{term_.value << kCounterBits};
  // A router that reports no revision asks for a full table.
  const bool asks_for_all = table.held == LogIndex{};
  const bool crossed =
      !asks_for_all && table.held != table.base && table.crossing_until && now < *table.crossing_until;
  if (crossed) {
    return;
  }
  table.crossing_until.reset();
  if (table.held < first_of_term) {
    startFromHeld(table);
    return;
  }
  if (table.held == table.base) {
    const bool same = table.held_digest == table.sent_digest;
    table.full_wanted = table.full_wanted || !same;
    table.digest_differed = !same;
    if (same) {
      acknowledge(table);
    }
    return;
  }
  table.full_wanted = table.full_wanted || table.held > table.base;
  table.base = table.held;
  resendUnacknowledged(table);
}

/// The router's table is of an earlier leader: it is kept when it is the same as the one that it should have.
void TablePublisher::startFromHeld(RouterTable& table) {
  table.base = table.held;
  table.full_wanted = table.held == LogIndex{} || table.held_digest != table.digest;
  if (!table.full_wanted) {
    table.sent_digest = table.digest;
    table.unacknowledged.clear();
    table.unsent.clear();
  }
}

void TablePublisher::markChanged(RouterTable& table, const ModelName& name, LogIndex revision) {
  table.unacknowledged[name] = revision;
  table.unsent.insert(name);
}

void TablePublisher::acknowledge(RouterTable& table) {
  std::erase_if(table.unacknowledged, [&table](const auto& item) { return item.second <= table.base; });
}

void TablePublisher::resendUnacknowledged(RouterTable& table) {
  for (const auto& [name, revision] : table.unacknowledged) {
    table.unsent.insert(name);
  }
}

void TablePublisher::onRouterGone(const NodeName& router) {
  const auto found = routers_.find(router);
  if (found == routers_.end()) {
    return;
  }
  forgetInterests(router, found->second);
  routers_.erase(found);
  to_send_.erase(router);
}

void TablePublisher::forgetInterests(const NodeName& router, RouterTable& table) {
  const std::set<ModelName> interests = table.interests;
  for (const ModelName& name : interests) {
    unsubscribe(router, table, name);
  }
}

TablePublisher::PublishedName& TablePublisher::publish(const ModelName& name, TimePoint now) {
  const auto [position, first] = names_.try_emplace(name);
  if (first) {
    position->second.entry = source_.entry(name, now);
    position->second.digest = digestOf(name, position->second.entry);
    setBase(name, std::nullopt, position->second.entry);
  }
  return position->second;
}

void TablePublisher::subscribe(const NodeName& router, RouterTable& table, const ModelName& name,
                               TimePoint now) {
  if (!table.interests.insert(name).second) {
    return;
  }
  PublishedName& published = publish(name, now);
  published.routers.insert(router);
  table.digest ^= published.digest;
  markChanged(table, name, nextRevision());
}

void TablePublisher::unsubscribe(const NodeName& router, RouterTable& table, const ModelName& name) {
  if (table.interests.erase(name) == 0) {
    return;
  }
  const auto found = names_.find(name);
  table.digest ^= found->second.digest;
  table.sent_digest ^= found->second.digest;
  table.unacknowledged.erase(name);
  table.unsent.erase(name);
  found->second.routers.erase(router);
  if (found->second.routers.empty()) {
    setBase(name, found->second.entry, std::nullopt);
    names_.erase(found);
  }
}

void TablePublisher::setBase(const ModelName& name, const std::optional<wire::RouteEntry>& before,
                             const std::optional<wire::RouteEntry>& after) {
  if (before) {
    const auto names = names_by_base_.find(before->settings.base);
    names->second.erase(name);
    if (names->second.empty()) {
      names_by_base_.erase(names);
    }
  }
  if (after) {
    names_by_base_[after->settings.base].insert(name);
  }
}

void TablePublisher::refreshName(const ModelName& name, TimePoint now) {
  const auto found = names_.find(name);
  if (found == names_.end()) {
    return;
  }
  PublishedName& published = found->second;
  std::optional<wire::RouteEntry> entry = source_.entry(name, now);
  if (entry && published.entry) {
    steadyExpectation(*published.entry, *entry);
  }
  const std::uint64_t digest = digestOf(name, entry);
  if (digest == published.digest) {
    return;
  }
  setBase(name, published.entry, entry);
  const std::uint64_t difference = digest ^ published.digest;
  published.entry = std::move(entry);
  published.digest = digest;
  const LogIndex revision = nextRevision();
  for (const NodeName& router : published.routers) {
    RouterTable& table = routers_.at(router);
    table.digest ^= difference;
    markChanged(table, name, revision);
    to_send_.insert(router);
  }
}

void TablePublisher::refreshBase(const ModelName& base, TimePoint now) {
  const auto found = names_by_base_.find(base);
  if (found == names_by_base_.end()) {
    return;
  }
  const std::set<ModelName> names = found->second;
  for (const ModelName& name : names) {
    refreshName(name, now);
  }
}

void TablePublisher::onTreeVersion() {
  nextRevision();
  for (const auto& [router, table] : routers_) {
    to_send_.insert(router);
  }
}

std::vector<wire::SendEffect> TablePublisher::flush(TimePoint now) {
  std::vector<wire::SendEffect> effects;
  std::size_t entries = 0;
  while (!to_send_.empty() && entries < kEntriesPerFlush) {
    const NodeName router = to_send_.extract(to_send_.begin()).value();
    RouterTable& table = routers_.at(router);
    wire::TableUpdate update = makeUpdate(table);
    const std::size_t update_entries = update.entries.size();
    entries += update_entries;
    effects.push_back({router, std::move(update)});
    if (table.interests_known) {
      table.base = revision_;
      table.sent_digest = table.digest;
      table.full_wanted = false;
      table.digest_differed = false;
      table.unsent.clear();
      extendCrossing(table, update_entries, now);
    }
  }
  return effects;
}

/// Counts from the first update since the router last got further. Were it counted from the latest one,
/// changes that follow each other as closely as the statuses would keep a router with a gap waiting for as
/// long as they go on.
void TablePublisher::extendCrossing(RouterTable& table, std::size_t entries, TimePoint now) {
  table.crossing_until = table.crossing_until.value_or(now + kCrossingTime) +
                         kCrossingTimePerEntry * static_cast<Duration::rep>(entries);
}

wire::TableUpdate TablePublisher::makeUpdate(RouterTable& table) const {
  wire::TableUpdate update;
  update.term = term_;
  update.leader = leader_;
  update.tree_version = source_.treeVersion();
  update.base_revision = table.base;
  if (!table.interests_known) {
    update.revision = table.base;
    update.digest = table.held_digest;
    update.requests_interests = true;
    return update;
  }
  update.revision = revision_;
  update.digest = table.digest;
  update.full = table.full_wanted;
  update.requests_interests = table.digest_differed;
  if (table.full_wanted) {
    for (const ModelName& name : table.interests) {
      addEntry(update, name);
    }
  } else {
    for (const ModelName& name : table.unsent) {
      addEntry(update, name);
    }
  }
  return update;
}

void TablePublisher::addEntry(wire::TableUpdate& update, const ModelName& name) const {
  const PublishedName& published = names_.at(name);
  if (published.entry) {
    update.entries.push_back(*published.entry);
  } else {
    update.removed.push_back(name);
  }
}

}  // namespace ferryrock::control
