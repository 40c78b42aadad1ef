#pragma once

#include <span>
#include <string_view>

namespace ferryrock {

/// Numbered results that are reported to callers and operators and written to logs. Numbers are never reused.
/// The table in result_code.cc contains the name, HTTP status and texts of each code;
/// docs/RESULT_CODES.md shows the same table.
enum class ResultCode : int {
  Ok = 0,

  // 1xxx: invalid requests.
  MalformedBody = 1001,
  BodyTooLarge = 1002,
  UnknownModel = 1003,
  InvalidField = 1004,
  InvalidHeader = 1005,
  UnknownPath = 1006,
  MethodNotAllowed = 1007,
  KeyReusedForOtherRequest = 1008,
  UnknownRoute = 1009,
  UnknownKey = 1010,

  // 2xxx: rejections and failures of well-formed requests.
  DeadlineTooShort = 2001,
  DeadlineExpiredInQueue = 2002,
  QueueFull = 2003,
  ShedByPriority = 2004,
  RateLimited = 2005,
  NoReplica = 2006,
  LoadCannotFinishInTime = 2007,
  ControlUnavailable = 2008,
  ClaimInProgress = 2009,
  OutcomeUnknown = 2010,
  EngineRefused = 2011,
  EngineFailed = 2012,
  StreamBroken = 2013,
  RetryBudgetSpent = 2014,
  RouterDraining = 2015,
  CallerGone = 2016,
  DeadlineExpiredRunning = 2017,
  AnswerNoLongerKept = 2018,
  NoCatalog = 2019,
  ReplicaRefused = 2020,
  ReplicaFailed = 2021,
  CatalogUnproved = 2022,
  QuotaSpent = 2023,
  CallQuarantined = 2024,
  ReplicaBackoff = 2025,
  ReplicaLimited = 2026,
  RouterPartitioned = 2027,
  StreamOriginUnknown = 2028,
  StreamVersionGone = 2029,
  MemoryFull = 2030,

  // 3xxx: changes and reads by operators.
  VersionConflict = 3001,
  InvalidTree = 3002,
  NotLeader = 3003,
  NoQuorum = 3004,
  Unauthenticated = 3005,
  Forbidden = 3006,
  UnknownNode = 3007,
  UnknownVersion = 3008,
  ChangeIdReused = 3009,
  UnknownEngine = 3010,
  MembershipChangeInProgress = 3011,
  UnknownMember = 3012,
  TreeTooLarge = 3013,
  MemberNotCaughtUp = 3014,
  MemberNameInUse = 3015,
  InvalidCatalog = 3016,
  MalformedCatalog = 3017,
  NotBoundEverywhere = 3018,
  InvalidReport = 3019,
  UnknownZone = 3020,

  // 4xxx: process settings and command line.
  UnknownSetting = 4001,
  WrongSettingType = 4002,
  SettingOutOfRange = 4003,
  MissingUnit = 4004,
  MissingSetting = 4005,
  UnreadableFile = 4006,
  InvalidYaml = 4007,
  InvalidArgument = 4008,
  AddressInUse = 4009,

  // 5xxx: storage.
  SyncFailed = 5001,
  DiskFull = 5002,
  CorruptRecord = 5003,
  DataFolderLocked = 5004,
  WrongDataFolder = 5005,
  StorageFailed = 5006,

  // 6xxx: messages between processes.
  MalformedMessage = 6001,
  ProtocolVersionMismatch = 6002,
  PeerNotAllowed = 6003,
  PeerUnreachable = 6004,

  // 7xxx: engine orders and placement.
  FenceTooLow = 7001,
  WrongIncarnation = 7002,
  MemoryWouldOvercommit = 7003,
  ReplicaLimitReached = 7004,
  UnknownSlot = 7005,
  LoadFailed = 7006,
  WrongSlotState = 7007,

  // 9xxx: internal errors.
  Internal = 9001,
};

/// One row of the result code table.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;     ///< the enumerator's name
  int http_status;           ///< status of an HTTP response that carries the code
  std::string_view meaning;  ///< one sentence that describes the result
  std::string_view remedy;   ///< recommended action for the reader of the message
};

/// The whole table, ordered by number.
std::span<const ResultCodeInfo> resultCodeTable();

/// Returns the row of a code. Throws std::out_of_range for a code that isn't in the table.
const ResultCodeInfo& resultCodeInfo(ResultCode code);

}  // namespace ferryrock
