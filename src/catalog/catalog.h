#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/settings_tree.h"
#include "wire/commands.h"

namespace ferryrock::catalog {

/// Largest change that is taken: nodes in it, and bytes of their names and values.
inline constexpr std::size_t kMaximumChangedNodes = 50'000;
inline constexpr std::size_t kMaximumChangeBytes = 16'000'000;
/// Versions that are kept to go back to, and nodes kept in all of them.
inline constexpr std::size_t kMaximumHistory = 2'500;
inline constexpr std::size_t kMaximumHistoryNodes = 100'000;
/// Change identifiers whose first outcome is kept, oldest dropped first.
inline constexpr std::size_t kMaximumOutcomes = 20'000;
/// Faults that one refused change names.
inline constexpr std::size_t kMaximumFaults = 50;

/// One accepted version in the history.
struct HistoryEntry {
  TreeVersion version;
  ChangeId change_id;
  std::string author;
  std::string message;
  WallMilliseconds time = 0;
  std::uint32_t upserts = 0;
  std::uint32_t removals = 0;
  FERRYROCK_FIELDS(HistoryEntry, version, change_id, author, message, time, upserts, removals)
};

/// The replicated state of the settings: current tree, bounded history with the edits to go back, and the
/// outcomes of change identifiers. apply() is deterministic. Cost per change follows the changed nodes and
/// their descendants.
class Catalog {
 public:
  Catalog();
  ~Catalog();
  Catalog(Catalog&&) noexcept;
  Catalog& operator=(Catalog&&) noexcept;

  /// Version conflict, invalid tree and reused identifiers come back as the result's code. A resent
  /// identifier gets the stored first outcome. A change that alters nothing is Ok and makes no version.
  wire::CommandResult apply(const wire::ChangeTreeCommand& command, std::uint64_t largest_accelerator_bytes);

  const SettingsTree& tree() const;
  TreeVersion version() const;
  /// Kept versions, oldest first.
  std::vector<HistoryEntry> history() const;
  /// The tree as of a kept version. Throws UnknownVersion.
  SettingsTree treeAt(TreeVersion version) const;
  /// Names whose resolved settings the last accepted change touched.
  const std::vector<ModelName>& lastChangedModels() const;

  /// Without the outcomes of change identifiers only in tests that show that they are needed.
  std::string serialize(bool with_change_outcomes = true) const;
  /// Throws MalformedMessage and leaves the state as it was.
  void restore(std::string_view bytes);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ferryrock::catalog
