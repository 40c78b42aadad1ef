#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

/// What the router knows of models, adapters and services: the control leader's entries for the names it
/// asked for.
namespace ferryrock::router {

/// An entry with the time it arrived, which the expected load time counts from.
struct TableRow {
  wire::RouteEntry entry;
  TimePoint received{};
  bool load_outlook_known = false;  ///< false for a row restored from a file: its load times are of the past
};

/// What applying an update came to.
struct TableChange {
  bool applied = false;
  bool digest_matches = true;  ///< false: the table differs from the leader's view and a full one is needed
  std::vector<ModelName> changed;  ///< names whose row appeared, changed or vanished
};

/// Applies the leader's updates, never backwards: an update of an older term, or of the same term and a lower
/// revision, or of a lower tree version is ignored; a delta applies only on the revision that it names.
/// Used by one thread.
class RoutingTable {
 public:
  TableChange apply(const wire::TableUpdate& update, TimePoint now);

  /// nullptr when the name isn't in the table.
  const TableRow* find(const ModelName& name) const;
  /// True when the leader said that the tree has no such name.
  bool knownAbsent(const ModelName& name) const { return absent_.contains(name); }
  /// Drops what is held for a name that the router doesn't need any more.
  void forget(const ModelName& name);

  Term term() const { return term_; }
  LogIndex revision() const { return revision_; }
  TreeVersion treeVersion() const { return tree_version_; }
  /// XOR over wire::entryDigest of the rows and wire::absentDigest of the absent names.
  std::uint64_t digest() const { return digest_; }
  /// True once an update was applied or a table was restored.
  bool ready() const { return ready_; }
  std::vector<ModelName> names() const;
  std::size_t size() const { return rows_.size() + absent_.size(); }

  /// msgpack bytes of the table, for the router's own file.
  std::string serialize() const;
  /// Replaces the table by serialized bytes. Throws Error MalformedMessage and leaves the table as it was.
  void restore(std::string_view bytes);

 private:
  struct HeldRow {
    TableRow row;
    std::uint64_t digest = 0;
  };

  bool isOutdated(const wire::TableUpdate& update) const;
  void replaceBy(const wire::TableUpdate& update, TableChange& change);
  void put(const wire::RouteEntry& entry, TimePoint now, TableChange& change);
  void markAbsent(const ModelName& name, TableChange& change);
  void clear();

  std::map<ModelName, HeldRow> rows_;
  std::set<ModelName> absent_;
  Term term_;
  LogIndex revision_;
  TreeVersion tree_version_;
  std::uint64_t digest_ = 0;
  bool ready_ = false;
};

}  // namespace ferryrock::router
