#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/result_code.h"
#include "wire/model_types.h"
#include "wire/service_types.h"

/// Commands of the replicated state machine: each is one entry of the quorum log, applied in order on each
/// member. Applying is deterministic: it reads nothing but the state and the command, so times are in the
/// command.
namespace ferryrock::wire {

/// Replaces or removes nodes of the settings tree. Accepted only if base_version is the current one.
struct ChangeTreeCommand {
  ChangeId change_id;
  TreeVersion base_version;
  std::vector<TreeNode> upserts;
  std::vector<std::string> removals;
  std::string author;
  std::string message;
  WallMilliseconds time = 0;
  FERRYROCK_FIELDS(ChangeTreeCommand, change_id, base_version, upserts, removals, author, message, time)
};

/// An engine reported itself with this incarnation; slots of lower incarnations are freed by it.
struct RegisterEngineCommand {
  EngineName engine;
  Incarnation incarnation;
  std::string url;
  MachineName machine;
  ZoneName zone;
  std::uint32_t accelerators = 0;
  std::uint64_t bytes_per_accelerator = 0;
  FERRYROCK_FIELDS(RegisterEngineCommand, engine, incarnation, url, machine, zone, accelerators,
                   bytes_per_accelerator)
};

/// The platform's list has shown the machine as gone for longer than the list's worst lag.
struct RemoveMachineCommand {
  MachineName machine;
  FERRYROCK_FIELDS(RemoveMachineCommand, machine)
};

/// Reserves memory for a replica. The slot's id is assigned when the entry is applied.
struct DecideSlotCommand {
  Slot slot;
  FERRYROCK_FIELDS(DecideSlotCommand, slot)
};

/// Reserves memory for an adapter on a slot.
struct DecideAdapterCommand {
  SlotId slot;
  ModelName adapter;
  std::uint64_t bytes = 0;
  bool remove = false;  ///< true: the engine acknowledged the adapter's unload
  FERRYROCK_FIELDS(DecideAdapterCommand, slot, adapter, bytes, remove)
};

/// Moves a slot to another state; Freed needs a proof.
struct SlotStateCommand {
  SlotId slot;
  SlotState state = SlotState::Decided;
  FreeProof proof = FreeProof::None;
  Incarnation incarnation;  ///< of the engine that the news is from
  FERRYROCK_FIELDS(SlotStateCommand, slot, state, proof, incarnation)
};

/// Starts or ends an operator's drain of an engine.
struct DrainEngineCommand {
  EngineName engine;
  bool drain = true;
  FERRYROCK_FIELDS(DrainEngineCommand, engine, drain)
};

enum class ClaimOutcome : std::uint8_t { Open = 0, Ran = 1, NotRun = 2, Unknown = 3 };

/// Claims a key before dispatch. Attempt 1 creates it; attempt n+1 needs attempt n recorded as NotRun.
/// Results: Ok and Open: granted to this request, also when the command was resent. Ok and Ran: the stored
/// answer. Ok and NotRun: not granted, attempt result.attempt was not run, so attempt + 1 may be claimed.
/// ClaimInProgress: another request holds it. OutcomeUnknown, AnswerNoLongerKept, KeyReusedForOtherRequest:
/// it can't be run again. QueueFull: no room for another claim, nothing was claimed.
struct ClaimCommand {
  IdempotencyKey key;
  std::uint64_t body_hash = 0;  ///< the same key with another body is refused
  std::uint32_t attempt = 1;
  NodeName router;
  RequestId request;
  WallMilliseconds time = 0;
  std::int64_t retention_ms = 0;
  FERRYROCK_FIELDS(ClaimCommand, key, body_hash, attempt, router, request, time, retention_ms)
};

/// Records how a claimed attempt ended; Ran carries the whole answer.
struct RecordOutcomeCommand {
  IdempotencyKey key;
  std::uint32_t attempt = 1;
  ClaimOutcome outcome = ClaimOutcome::Unknown;
  int http_status = 0;
  std::string answer;
  WallMilliseconds time = 0;
  FERRYROCK_FIELDS(RecordOutcomeCommand, key, attempt, outcome, http_status, answer, time)
};

/// Advances the cell's claim clock and drops the claims whose retention has passed on it. The clock counts
/// only time that leaders measured, so that no process's wall clock can end a retention early.
struct ExpireClaimsCommand {
  std::int64_t time = 0;  ///< milliseconds on the claim clock
  FERRYROCK_FIELDS(ExpireClaimsCommand, time)
};

/// Replaces the service catalog if its version is higher than the one held; otherwise nothing changes, which
/// is no error. The catalog was checked before.
struct ReplaceCatalogCommand {
  ServiceCatalog catalog;
  std::string source;  ///< the operator's own bytes, for reading back
  FERRYROCK_FIELDS(ReplaceCatalogCommand, catalog, source)
};

/// A replica said that it leaves; it stays so for the rest of its life.
struct ReplicaLeavingCommand {
  ReplicaId replica;
  FERRYROCK_FIELDS(ReplicaLeavingCommand, replica)
};

/// A call is kept away from replicas. Merged with what is held of it; forgotten if no end counts any more.
struct QuarantineCallCommand {
  CrashRecord record;
  FERRYROCK_FIELDS(QuarantineCallCommand, record)
};

/// The quarantine of a call has ended.
struct ReleaseCallCommand {
  CallFingerprint call;
  FERRYROCK_FIELDS(ReleaseCallCommand, call)
};

/// An operator takes the replicas of a zone out of use, or gives them back. Members of builds that don't know
/// this command stop at its entry, see docs/design/evacuations.md.
struct EvacuateZoneCommand {
  ZoneName zone;
  bool evacuated = true;
  FERRYROCK_FIELDS(EvacuateZoneCommand, zone, evacuated)
};

/// First entry of a term; commits what earlier terms left.
struct NoOperationCommand {
  FERRYROCK_NO_FIELDS(NoOperationCommand)
};

/// New alternatives go to the end: the index is the type number in the log.
using Command =
    std::variant<NoOperationCommand, ChangeTreeCommand, RegisterEngineCommand, RemoveMachineCommand,
                 DecideSlotCommand, DecideAdapterCommand, SlotStateCommand, DrainEngineCommand, ClaimCommand,
                 RecordOutcomeCommand, ExpireClaimsCommand, ReplaceCatalogCommand, ReplicaLeavingCommand,
                 QuarantineCallCommand, ReleaseCallCommand, EvacuateZoneCommand>;

/// One place of a refused ChangeTreeCommand and what is wrong there.
struct ChangeFault {
  ResultCode code = ResultCode::InvalidTree;
  std::string path;    ///< node name and key, "compressor-diagnosis.max_replicas"
  std::string source;  ///< "file:line" when known
  std::string detail;
  FERRYROCK_FIELDS(ChangeFault, code, path, source, detail)
};

/// What applying a command came to; the proposer gets it.
struct CommandResult {
  ResultCode code = ResultCode::Ok;
  std::string detail;
  TreeVersion tree_version;   ///< after a ChangeTreeCommand: the new version, or the one that won
  SlotId slot;                ///< after a DecideSlotCommand
  std::uint32_t attempt = 0;  ///< of the stored claim
  ClaimOutcome outcome = ClaimOutcome::Open;
  int http_status = 0;
  std::string answer;
  std::vector<ChangeFault> faults;  ///< of a ChangeTreeCommand refused as InvalidTree
  FERRYROCK_FIELDS(CommandResult, code, detail, tree_version, slot, attempt, outcome, http_status, answer,
                   faults)
};

}  // namespace ferryrock::wire
