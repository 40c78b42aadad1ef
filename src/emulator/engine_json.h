#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "control/engine_orders.h"
#include "emulator/model/engine_faults.h"
#include "emulator/model/inference.h"
#include "emulator/model/journal.h"
#include "emulator/model/load_jobs.h"

/// JSON of docs/ENGINE_PROTOCOL.md, on the engine's side of control, cache, faults and journal.
namespace ferryrock::emulator {

/// Parsers throw Error MalformedBody or InvalidField.
wire::Fence parseFence(std::string_view body);
control::EngineOrder parseOrder(std::string_view body);
CacheExport parseCacheExport(std::string_view body);

std::string formatState(const control::EngineState& state, control::EngineRole role);
/// Answer to an order or fence that wasn't accepted.
std::string formatOrderRefusal(ResultCode code, const wire::Fence& highest);
std::string formatCacheExport(const CacheExport& exported);
std::string formatCacheEvents(const CacheEventPage& page);
/// One journal line without its newline.
std::string formatJournalRecord(const JournalRecord& record, WallMilliseconds wall_ms);

/// Checkpoints on disk, as kept in the data folder.
std::string formatCheckpoints(const std::list<Checkpoint>& checkpoints);
std::vector<Checkpoint> parseCheckpoints(std::string_view text);

}  // namespace ferryrock::emulator
