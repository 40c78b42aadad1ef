#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

#include "catalog/catalog.h"
#include "placement/ledger.h"

namespace ferryrock::control_process {

/// Where a member tells what it applied, in its data folder.
inline constexpr const char* kDecisionLogFile = "decisions.jsonl";
/// The part before, kept when the file has grown to its limit.
inline constexpr const char* kEarlierDecisionLogFile = "decisions.earlier.jsonl";

/// Writes JSON lines of what this member applied, for whoever checks an engine's holdings against the cell's
/// decisions:
///
///   {"wall_ms": t, "slot": n, "model": "m", "engine": "e", "incarnation": i}
///   {"wall_ms": t, "model": "m", "max_replicas": n, "tree_version": v}
///
/// A restarted member applies its log again and writes the lines again, so the earliest line of a slot
/// counts. The file isn't state: the cell never reads it, and a failed write is only logged. At most two
/// files of max_bytes are kept.
class DecisionLog {
 public:
  static constexpr std::uint64_t kMaximumBytes = 64 << 20;

  explicit DecisionLog(const std::string& data_folder, std::uint64_t max_bytes = kMaximumBytes);

  /// Called after each step and before its orders leave. Costs O(1) when nothing was decided.
  void note(const placement::Ledger& ledger, const catalog::Catalog& catalog, WallMilliseconds wall_time);

 private:
  void noteSlots(const placement::Ledger& ledger, WallMilliseconds wall_time);
  void noteLimits(const catalog::Catalog& catalog, WallMilliseconds wall_time);
  void writeLine(const std::string& line);
  void rotateIfFull();

  std::string file_;
  std::string earlier_file_;
  std::uint64_t max_bytes_;
  std::ofstream output_;
  std::uint64_t written_bytes_ = 0;
  bool failed_ = false;
  SlotId last_slot_;
  TreeVersion tree_version_;
  std::map<std::string, std::uint32_t> limits_;  ///< by model, as last written
};

}  // namespace ferryrock::control_process
