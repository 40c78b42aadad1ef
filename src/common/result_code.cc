#include "common/result_code.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace ferryrock {
namespace {

using enum ResultCode;

constexpr std::array kTable = std::to_array<ResultCodeInfo>({
    {Ok, "Ok", 200, "The operation succeeded.", "Nothing to do."},
    {MalformedBody, "MalformedBody", 400, "The request body isn't valid JSON of the expected shape.",
     "Correct the body."},
    {BodyTooLarge, "BodyTooLarge", 413, "The request body is larger than the limit.",
     "Send a smaller body or raise max_body of the process."},
    {UnknownModel, "UnknownModel", 404, "No model, adapter or service has this name.",
     "Check the name against GET /v1/models."},
    {InvalidField, "InvalidField", 400, "A field of the request body has a value that isn't allowed.",
     "Correct the field."},
    {InvalidHeader, "InvalidHeader", 400, "A request header has a value that isn't allowed.",
     "Correct the header."},
    {UnknownPath, "UnknownPath", 404, "The path isn't part of this interface.", "Check the path."},
    {MethodNotAllowed, "MethodNotAllowed", 405, "The path doesn't take this method.",
     "Use the documented method."},
    {KeyReusedForOtherRequest, "KeyReusedForOtherRequest", 422,
     "The idempotency key was used for another request.", "Use a new key for a new request."},
    {DeadlineTooShort, "DeadlineTooShort", 503, "The request can't be finished before its deadline.",
     "Allow more time or come back after Retry-After."},
    {DeadlineExpiredInQueue, "DeadlineExpiredInQueue", 503,
     "No replica could take the request before its deadline.",
     "Come back after Retry-After or allow more time."},
    {QueueFull, "QueueFull", 503, "The waiting queue is full.", "Come back after Retry-After."},
    {ShedByPriority, "ShedByPriority", 503, "The request gave way to one of higher priority.",
     "Come back after Retry-After or raise the priority."},
    {RateLimited, "RateLimited", 429, "The service's rate limit is reached.", "Come back after Retry-After."},
    {NoReplica, "NoReplica", 503, "No replica of the model is loaded and none can be.",
     "Look at the model's replica limits and the free accelerator memory."},
    {LoadCannotFinishInTime, "LoadCannotFinishInTime", 503, "The model can't be loaded before the deadline.",
     "Come back after Retry-After, when the model is expected to be loaded."},
    {ControlUnavailable, "ControlUnavailable", 503,
     "The control cell can't be reached and the request needs it.", "Come back after Retry-After."},
    {ClaimInProgress, "ClaimInProgress", 409, "Another attempt with this key is running.",
     "Come back after Retry-After with the same key to get its outcome."},
    {OutcomeUnknown, "OutcomeUnknown", 502, "The request was sent and no proof of its outcome exists.",
     "Check by other means whether it took effect before sending a new one."},
    {EngineRefused, "EngineRefused", 503, "The engine refused the request before running it.",
     "Come back after Retry-After."},
    {EngineFailed, "EngineFailed", 502, "The engine failed while it ran the request.",
     "Send the request again."},
    {StreamBroken, "StreamBroken", 502, "The answer was cut off and couldn't be continued.",
     "Discard the partial answer and send the request again."},
    {RetryBudgetSpent, "RetryBudgetSpent", 503, "The service's retry budget is spent.",
     "Come back after Retry-After."},
    {RouterDraining, "RouterDraining", 503, "The router is being stopped and takes no new requests.",
     "Use another router."},
    {CallerGone, "CallerGone", 499, "The caller closed the connection.", "Nothing to do."},
    {DeadlineExpiredRunning, "DeadlineExpiredRunning", 504, "The deadline passed while the request ran.",
     "Allow more time."},
    {AnswerNoLongerKept, "AnswerNoLongerKept", 410, "The request ran, but its answer is no longer kept.",
     "Raise answer_retention of the service if answers are asked for later."},
    {VersionConflict, "VersionConflict", 409, "Another change was accepted for the same base version.",
     "Get the current version, look at the difference and apply again."},
    {InvalidTree, "InvalidTree", 422, "The settings tree isn't valid.", "Correct the listed places."},
    {NotLeader, "NotLeader", 421, "This control member isn't the leader.",
     "Ask the member named in the answer."},
    {NoQuorum, "NoQuorum", 503, "The control cell has no leader with a quorum.",
     "Check that most control members run and reach each other."},
    {Unauthenticated, "Unauthenticated", 401, "The operator's token is missing or unknown.",
     "Give a valid token."},
    {Forbidden, "Forbidden", 403, "The operator's role doesn't allow this.",
     "Use a token with the changing role."},
    {UnknownNode, "UnknownNode", 404, "The settings tree has no node of this name.",
     "Check the name with 'get'."},
    {UnknownVersion, "UnknownVersion", 404, "The settings tree has no such version any more.",
     "Look at 'history' for the versions that are kept."},
    {ChangeIdReused, "ChangeIdReused", 422, "The change identifier was used for another change.",
     "Use a new identifier for a new change."},
    {UnknownEngine, "UnknownEngine", 404, "No engine has this name.", "Check the name with 'status'."},
    {MembershipChangeInProgress, "MembershipChangeInProgress", 409,
     "Another membership change isn't finished.", "Wait until 'members' shows it finished."},
    {UnknownMember, "UnknownMember", 404, "The cell has no member of this identity.",
     "Check with 'members'."},
    {TreeTooLarge, "TreeTooLarge", 413, "The change is larger than the limit.",
     "Split it into several changes."},
    {MemberNotCaughtUp, "MemberNotCaughtUp", 409, "The learner hasn't caught up with the log.",
     "Wait until 'members' shows it caught up, then promote it again."},
    {MemberNameInUse, "MemberNameInUse", 409, "The cell has a member of this identity or node name.",
     "Remove the old member first; give a new member a new identity."},
    {UnknownSetting, "UnknownSetting", 400, "The setting isn't known.", "Remove it or correct its spelling."},
    {WrongSettingType, "WrongSettingType", 400, "The setting has a value of the wrong type.",
     "Correct the value."},
    {SettingOutOfRange, "SettingOutOfRange", 400, "The setting's value is out of range.",
     "Use a value in the range."},
    {MissingUnit, "MissingUnit", 400, "The value needs a unit.", "Add a unit, e.g. 250ms or 64MB."},
    {MissingSetting, "MissingSetting", 400, "A required setting is missing.", "Add the setting."},
    {UnreadableFile, "UnreadableFile", 400, "The file can't be read.", "Check the path and its permissions."},
    {InvalidYaml, "InvalidYaml", 400, "The file isn't valid YAML.", "Correct the file at the named line."},
    {InvalidArgument, "InvalidArgument", 400, "A command line argument isn't valid.", "See --help."},
    {AddressInUse, "AddressInUse", 500, "The address can't be bound.",
     "Choose another port or stop its owner."},
    {SyncFailed, "SyncFailed", 500, "Data couldn't be synced to disk.",
     "Check the disk; start the process again only when it is sound."},
    {DiskFull, "DiskFull", 500, "The disk is full.", "Free space, then start the process again."},
    {CorruptRecord, "CorruptRecord", 500, "A stored record fails its checksum.",
     "Replace the member: remove it and add a new one with an empty data folder."},
    {DataFolderLocked, "DataFolderLocked", 500, "Another process uses the data folder.",
     "Stop the other process or choose another folder."},
    {WrongDataFolder, "WrongDataFolder", 500, "The data folder belongs to another member or format.",
     "Check data_folder and the member's identity."},
    {StorageFailed, "StorageFailed", 500, "A file operation failed.", "Check the data folder and the disk."},
    {MalformedMessage, "MalformedMessage", 400, "An internal message can't be decoded.",
     "Check that the peer is a ferryrock process."},
    {ProtocolVersionMismatch, "ProtocolVersionMismatch", 400, "The peer speaks another protocol version.",
     "Run versions that share a protocol version."},
    {PeerNotAllowed, "PeerNotAllowed", 403, "The peer's key isn't on the allow-list.", "Add its public key."},
    {PeerUnreachable, "PeerUnreachable", 502, "The peer can't be reached.",
     "Check the address and the network."},
    {FenceTooLow, "FenceTooLow", 409, "The order is older than one that the engine has seen.",
     "Nothing to do: a newer leader is in charge."},
    {WrongIncarnation, "WrongIncarnation", 409, "The order is for an earlier start of the engine.",
     "Nothing to do: the leader reads the engine's state again."},
    {MemoryWouldOvercommit, "MemoryWouldOvercommit", 409, "The accelerator memory doesn't hold this.",
     "Free memory or lower the model's reserve."},
    {ReplicaLimitReached, "ReplicaLimitReached", 409, "The model has its maximum of replicas.",
     "Raise max_replicas."},
    {UnknownSlot, "UnknownSlot", 404, "No replica slot has this number.", "Check with 'status'."},
    {LoadFailed, "LoadFailed", 502, "The engine couldn't load the checkpoint.",
     "Look at the engine's log and the weight store."},
    {WrongSlotState, "WrongSlotState", 409, "The replica slot isn't in a state that allows this.",
     "Check with 'status'."},
    {Internal, "Internal", 500, "A fault of the program.", "Report it with the log lines around it."},
});

}  // namespace

std::span<const ResultCodeInfo> resultCodeTable() {
  return kTable;
}

const ResultCodeInfo& resultCodeInfo(ResultCode code) {
  const auto row =
      std::find_if(kTable.begin(), kTable.end(), [code](const auto& info) { return info.code == code; });
  if (row == kTable.end()) {
    throw std::out_of_range("no such result code: " + std::to_string(static_cast<int>(code)));
  }
  return *row;
}

}  // namespace ferryrock
