#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/result_code.h"
#include "wire/model_types.h"
#include "wire/service_types.h"

/// Commands of the replicated state machine: each is one entry of the quorum log, and every member applies
/// them in order. Applying a command is deterministic: it reads nothing but the state and the command, which
/// is why commands carry times.
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

/// Registers an engine with its incarnation; slots of lower incarnations are freed.
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

/// Removes a machine that the platform's list has shown as gone for longer than the list's maximum lag.
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

/// Moves a slot to another state; Freed requires a proof.
struct SlotStateCommand {
  SlotId slot;
  SlotState state = SlotState::Decided;
  FreeProof proof = FreeProof::None;
  Incarnation incarnation;  ///< incarnation of the engine that reported the change
  FERRYROCK_FIELDS(SlotStateCommand, slot, state, proof, incarnation)
};

/// Starts or ends an operator's drain of an engine.
struct DrainEngineCommand {
  EngineName engine;
  bool drain = true;
  FERRYROCK_FIELDS(DrainEngineCommand, engine, drain)
};

enum class ClaimOutcome : std::uint8_t { Open = 0, Ran = 1, NotRun = 2, Unknown = 3 };

/// Claims an idempotency key before dispatch. Attempt 1 creates the claim; attempt n+1 requires that attempt
/// n is recorded as NotRun. Results:
/// - Ok and Open: granted to this request, also if the command was resent.
/// - Ok and Ran: the stored answer is returned.
/// - Ok and NotRun: not granted; attempt result.attempt was not run, so that attempt + 1 may be claimed.
/// - ClaimInProgress: another request holds the claim.
/// - OutcomeUnknown, AnswerNoLongerKept, KeyReusedForOtherRequest: the request can't be run again.
/// - QueueFull: there is no room for another claim, and nothing was claimed.
struct ClaimCommand {
  IdempotencyKey key;
  std::uint64_t body_hash = 0;  ///< a request with the same key and another body is refused
  std::uint32_t attempt = 1;
  NodeName router;
  RequestId request;
  WallMilliseconds time = 0;
  std::int64_t retention_ms = 0;
  FERRYROCK_FIELDS(ClaimCommand, key, body_hash, attempt, router, request, time, retention_ms)
};

/// Records the outcome of a claimed attempt; Ran carries the whole answer.
struct RecordOutcomeCommand {
  IdempotencyKey key;
  std::uint32_t attempt = 1;
  ClaimOutcome outcome = ClaimOutcome::Unknown;
  int http_status = 0;
  std::string answer;
  WallMilliseconds time = 0;
  FERRYROCK_FIELDS(RecordOutcomeCommand, key, attempt, outcome, http_status, answer, time)
};

/// Advances the cell's claim clock and removes the claims whose retention has passed on it. The clock counts
/// only time that leaders measured, so that no process's wall clock can end a retention early.
struct ExpireClaimsCommand {
  std::int64_t time = 0;  ///< milliseconds on the claim clock
  FERRYROCK_FIELDS(ExpireClaimsCommand, time)
};

/// Replaces the service catalog if the new version is higher than the current one; otherwise nothing changes,
/// which is no error. The catalog has been validated before.
struct ReplaceCatalogCommand {
  ServiceCatalog catalog;
  /// The document as the operator sent it, returned when the catalog is read.
  std::string source;
  FERRYROCK_FIELDS(ReplaceCatalogCommand, catalog, source)
};

/// Marks a replica as leaving for the rest of its incarnation.
struct ReplicaLeavingCommand {
  ReplicaId replica;
  FERRYROCK_FIELDS(ReplicaLeavingCommand, replica)
};

/// Quarantines a call. The record is merged with the stored one; the call is removed if no crash counts any
/// more.
struct QuarantineCallCommand {
  CrashRecord record;
  FERRYROCK_FIELDS(QuarantineCallCommand, record)
};

/// Ends the quarantine of a call.
struct ReleaseCallCommand {
  CallFingerprint call;
  FERRYROCK_FIELDS(ReleaseCallCommand, call)
};

/// An operator evacuates a zone, so that its replicas get no calls, or restores it. Members of builds without
/// this command stop at its log entry, see docs/design/evacuations.md.
struct EvacuateZoneCommand {
  ZoneName zone;
  bool evacuated = true;
  FERRYROCK_FIELDS(EvacuateZoneCommand, zone, evacuated)
};

/// First entry of a term; commits the entries of earlier terms.
struct NoOperationCommand {
  FERRYROCK_NO_FIELDS(NoOperationCommand)
};

/// New alternatives are appended: the index is the type number in the log.
using Command =
    std::variant<NoOperationCommand, ChangeTreeCommand, RegisterEngineCommand, RemoveMachineCommand,
                 DecideSlotCommand, DecideAdapterCommand, SlotStateCommand, DrainEngineCommand, ClaimCommand,
                 RecordOutcomeCommand, ExpireClaimsCommand, ReplaceCatalogCommand, ReplicaLeavingCommand,
                 QuarantineCallCommand, ReleaseCallCommand, EvacuateZoneCommand>;

/// One fault of a refused ChangeTreeCommand: its place and what is wrong.
struct ChangeFault {
  ResultCode code = ResultCode::InvalidTree;
  std::string path;    ///< node name and key, "compressor-diagnosis.max_replicas"
  std::string source;  ///< "file:line" when known
  std::string detail;
  FERRYROCK_FIELDS(ChangeFault, code, path, source, detail)
};

/// Result of applying a command, returned to the proposer.
struct CommandResult {
  ResultCode code = ResultCode::Ok;
  std::string detail;
  /// After a ChangeTreeCommand: the new version, or the current one on a conflict.
  TreeVersion tree_version;
  SlotId slot;                ///< id assigned by a DecideSlotCommand
  std::uint32_t attempt = 0;  ///< of the stored claim
  ClaimOutcome outcome = ClaimOutcome::Open;
  int http_status = 0;
  std::string answer;
  std::vector<ChangeFault> faults;  ///< faults of a ChangeTreeCommand refused as InvalidTree
  FERRYROCK_FIELDS(CommandResult, code, detail, tree_version, slot, attempt, outcome, http_status, answer,
                   faults)
};

}  // namespace ferryrock::wire
