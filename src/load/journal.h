#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::load {

enum class JournalEventKind : std::uint8_t {
  Start,
  RunBegin,
  RunEnd,
  HoldBegin,
  HoldReady,
  HoldEnd,
  AdapterBegin,
  AdapterEnd,
  Other,  ///< an event that the audit doesn't need
};

/// One line of an engine's journal; docs/ENGINE_PROTOCOL.md has the members of each event.
struct JournalEvent {
  JournalEventKind kind = JournalEventKind::Other;
  WallMilliseconds wall_ms = 0;
  std::string place;  ///< "file:line"

  // Start
  std::string engine;
  std::uint64_t incarnation = 0;
  std::uint32_t accelerator_count = 0;
  std::uint64_t capacity_bytes = 0;  ///< of each accelerator

  // RunBegin, RunEnd
  std::string attempt;
  std::string request;
  std::string key;
  std::uint64_t from_chunk = 0;
  std::string how;  ///< "complete", "cancelled" or "failed"

  // RunBegin, HoldBegin
  std::string model;

  // HoldBegin, HoldReady, HoldEnd, AdapterBegin, AdapterEnd
  std::uint64_t slot = 0;
  std::vector<std::uint32_t> accelerators;
  std::string adapter;
  std::uint64_t bytes = 0;  ///< on each accelerator
};

/// The journals of one engine, over all its incarnations, in the order written.
struct EngineJournal {
  std::string engine;
  std::vector<JournalEvent> events;
  std::uint32_t torn_lines =
      0;  ///< lines cut by the engine's death; each is followed by a start or by nothing
};

/// Reads journal.jsonl. A line that doesn't parse is torn when a start or nothing follows it, else an Error
/// MalformedBody. Throws Error UnreadableFile.
EngineJournal readJournal(const std::string& file);
/// Reads every journal.jsonl in or one folder below each of the folders.
std::vector<EngineJournal> readJournals(const std::vector<std::string>& folders);

}  // namespace ferryrock::load
