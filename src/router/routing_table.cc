#include "router/routing_table.h"

#include <utility>

#include "wire/codec.h"

namespace ferryrock::router {
/// The table as it lies in the router's own file.
/// Not in the unnamed namespace, where its comparison would be an unused function.
struct StoredTable {
  Term term;
  LogIndex revision;
  TreeVersion tree_version;
  std::vector<wire::RouteEntry> entries;
  std::vector<ModelName> absent;
  FERRYROCK_FIELDS(StoredTable, term, revision, tree_version, entries, absent)
};

bool RoutingTable::isOutdated(const wire::TableUpdate& update) const {
  if (!ready_) {
    return !update.full && update.base_revision != revision_;
  }
  if (update.term < term_ || update.tree_version < tree_version_) {
    return true;
  }
  if (update.term == term_ && update.revision < revision_) {
    return true;
  }
  return !update.full && update.base_revision != revision_;
}

TableChange RoutingTable::apply(const wire::TableUpdate& update, TimePoint now) {
  TableChange change;
  if (isOutdated(update)) {
    return change;
  }
  const bool same_position = ready_ && update.term == term_ && update.revision == revision_;
  // A delayed full table of the position already held must not take away names asked for since.
  if (update.full && !same_position) {
    replaceBy(update, change);
  }
  for (const auto& entry : update.entries) {
    put(entry, now, change);
  }
  for (const auto& name : update.removed) {
    markAbsent(name, change);
  }
  term_ = update.term;
  revision_ = update.revision;
  tree_version_ = update.tree_version;
  ready_ = true;
  change.applied = true;
  change.digest_matches = digest_ == update.digest;
  return change;
}

void RoutingTable::replaceBy(const wire::TableUpdate& update, TableChange& change) {
  std::set<ModelName> kept;
  for (const auto& entry : update.entries) {
    kept.insert(entry.settings.name);
  }
  for (auto row = rows_.begin(); row != rows_.end();) {
    if (kept.contains(row->first)) {
      ++row;
      continue;
    }
    change.changed.push_back(row->first);
    digest_ ^= row->second.digest;
    row = rows_.erase(row);
  }
  for (const auto& name : absent_) {
    digest_ ^= wire::absentDigest(name);
  }
  absent_.clear();
}

void RoutingTable::put(const wire::RouteEntry& entry, TimePoint now, TableChange& change) {
  const ModelName& name = entry.settings.name;
  if (absent_.erase(name) > 0) {
    digest_ ^= wire::absentDigest(name);
  }
  HeldRow& held = rows_[name];
  digest_ ^= held.digest;
  held.row = TableRow{entry, now, true};
  held.digest = wire::entryDigest(entry);
  digest_ ^= held.digest;
  change.changed.push_back(name);
}

void RoutingTable::markAbsent(const ModelName& name, TableChange& change) {
  const auto row = rows_.find(name);
  if (row != rows_.end()) {
    digest_ ^= row->second.digest;
    rows_.erase(row);
  }
  if (absent_.insert(name).second) {
    digest_ ^= wire::absentDigest(name);
    change.changed.push_back(name);
  }
}

void RoutingTable::forget(const ModelName& name) {
  const auto row = rows_.find(name);
  if (row != rows_.end()) {
    digest_ ^= row->second.digest;
    rows_.erase(row);
  }
  if (absent_.erase(name) > 0) {
    digest_ ^= wire::absentDigest(name);
  }
}

const TableRow* RoutingTable::find(const ModelName& name) const {
  const auto row = rows_.find(name);
  return row == rows_.end() ? nullptr : &row->second.row;
}

std::vector<ModelName> RoutingTable::names() const {
  std::vector<ModelName> result;
  result.reserve(rows_.size());
  for (const auto& [name, row] : rows_) {
    result.push_back(name);
  }
  return result;
}

std::string RoutingTable::serialize() const {
  StoredTable stored;
  stored.term = term_;
  stored.revision = revision_;
  stored.tree_version = tree_version_;
  for (const auto& [name, held] : rows_) {
    stored.entries.push_back(held.row.entry);
  }
  stored.absent.assign(absent_.begin(), absent_.end());
  return wire::encode(stored);
}

void RoutingTable::restore(std::string_view bytes) {
  const auto stored = wire::decode<StoredTable>(bytes);
  clear();
  TableChange ignored;
  for (const auto& entry : stored.entries) {
    put(entry, TimePoint{}, ignored);
    rows_[entry.settings.name].row.load_outlook_known = false;
  }
  for (const auto& name : stored.absent) {
    markAbsent(name, ignored);
  }
  term_ = stored.term;
  revision_ = stored.revision;
  tree_version_ = stored.tree_version;
  ready_ = true;
}

void RoutingTable::clear() {
  rows_.clear();
  absent_.clear();
  digest_ = 0;
}

}  // namespace ferryrock::router
