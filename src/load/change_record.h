#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::load {

/// What an operator was told about a change.
enum class ChangeOutcome : std::uint8_t {
  Accepted,
  Refused,  ///< for good: the change isn't and won't be in force
  Unknown,  ///< no answer, or one that leaves it open
};

/// One sending of a change to a control member. A change that is sent again keeps its identifier.
struct ChangeRecord {
  std::string change_id;
  std::string control;  ///< base URL
  std::uint64_t base_version = 0;
  std::string node;   ///< of the settings tree
  std::string value;  ///< that the change gives the node; differs for each change
  WallMilliseconds sent_ms = 0;
  WallMilliseconds end_ms = 0;
  ChangeOutcome outcome = ChangeOutcome::Unknown;
  std::uint64_t version = 0;  ///< of an accepted change
  int code = 0;               ///< result code of a refusal
};

/// The version of the settings that a process said to have in force.
struct VersionSighting {
  std::string process;  ///< base URL
  WallMilliseconds asked_ms = 0;
  WallMilliseconds answered_ms = 0;
  std::uint64_t version = 0;  ///< 0: none in force yet
};

/// One accepted change as the cell's history tells it.
struct HistoryLine {
  std::uint64_t version = 0;
  std::string change_id;
};

/// What operators and watchers saw, in the order written.
struct ChangeHistory {
  std::vector<ChangeRecord> changes;
  std::vector<VersionSighting> sightings;
  std::vector<HistoryLine> final_history;  ///< read from the cell at the end; empty: not read
};

/// Lines of JSON, without the newline.
std::string toJsonLine(const ChangeRecord& record);
std::string toJsonLine(const VersionSighting& sighting);
std::string toJsonLine(const HistoryLine& line);

/// Reads the lines of all three kinds. Throws Error UnreadableFile or MalformedBody.
ChangeHistory readChangeHistory(const std::string& file);

}  // namespace ferryrock::load
