#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/result_code.h"
#include "emulator/model/inference_request.h"
#include "emulator/model/journal.h"

/// What an engine's model asks its shell to do.
namespace ferryrock::emulator {

/// Load as the engine reports it, some time ago.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// The request was admitted, or the resumed stream was found: answer with 200 and the load.
struct AdmittedEffect {
  ReaderId reader;
  InferenceRequestPtr request;
  LoadReport load;
};

/// The request was refused with this HTTP status. admitted tells whether the attempt may have run; absent for
/// a resume, which says nothing about that.
struct RefusedEffect {
  ReaderId reader;
  int status = 503;
  ResultCode code = ResultCode::EngineRefused;
  std::string detail;
  std::optional<bool> admitted = false;
};

/// One token of an answer.
struct ChunkEffect {
  ReaderId reader;
  InferenceRequestPtr request;
  std::uint64_t number = 0;
  std::string text;
  bool last = false;
};

/// The answer is whole; count is the number of its chunks from 0.
struct EndEffect {
  ReaderId reader;
  InferenceRequestPtr request;
  std::uint64_t count = 0;
};

/// The attempt failed after admission: an error event ends the stream.
struct FailedEffect {
  ReaderId reader;
  InferenceRequestPtr request;
  ResultCode code = ResultCode::EngineFailed;
  std::string detail;
};

/// Close the connection without an end.
struct CutEffect {
  ReaderId reader;
};

/// Append to the journal, stamped with the wall time.
struct JournalEffect {
  JournalRecord record;
};

/// Long polls of the state may be answered.
struct StateChangedEffect {};

using TransferId = Number<struct TransferIdTag>;

/// Fetch a checkpoint from the weight store; ends with EngineModel::onTransferEnded().
struct StartTransferEffect {
  TransferId transfer;
  ModelName model;
  std::uint64_t bytes = 0;
};

struct CancelTransferEffect {
  TransferId transfer;
};

/// The checkpoints on local disk changed; they outlive the process.
struct DiskContentsEffect {};

/// The process dies now, without any further effect.
struct CrashEffect {};

using EngineEffect = std::variant<AdmittedEffect, RefusedEffect, ChunkEffect, EndEffect, FailedEffect,
                                  CutEffect, JournalEffect, StateChangedEffect, StartTransferEffect,
                                  CancelTransferEffect, DiskContentsEffect, CrashEffect>;
using EngineEffects = std::vector<EngineEffect>;

}  // namespace ferryrock::emulator
