#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wire/commands.h"
#include "wire/model_types.h"
#include "wire/service_messages.h"

/// Messages between the system's own processes. One ZeroMQ message carries one Envelope.
namespace ferryrock::wire {

/// Incremented whenever a message changes in a way that an older process can't read.
inline constexpr std::uint32_t kProtocolVersion = 1;

// ---- control member <-> control member: the quorum log ----

enum class EntryKind : std::uint8_t { StateCommand = 0, MembershipChange = 1 };

/// One entry of the quorum log. payload is an encoded Command, or an encoded Membership.
struct LogEntry {
  Term term;
  LogIndex index;
  EntryKind kind = EntryKind::StateCommand;
  std::string payload;
  FERRYROCK_FIELDS(LogEntry, term, index, kind, payload)
};

struct Member {
  MemberId id;
  NodeName node;
  std::string address;  ///< "host:port" of the internal socket
  std::string http;     ///< "http://host:port" for operators
  bool voter = false;   ///< false: a learner
  /// Disk with which this member votes and is counted; 0 until the cell is formed or the member is promoted.
  DiskId disk;
  FERRYROCK_FIELDS(Member, id, node, address, http, voter, disk)
};

struct Membership {
  std::vector<Member> members;
  FERRYROCK_FIELDS(Membership, members)
};

/// Requests a vote. With pre_vote, the response says whether the vote would be granted; the request changes
/// no state and doesn't disturb a leader.
struct VoteRequest {
  Term term;
  MemberId candidate;
  LogIndex last_index;
  Term last_term;
  bool pre_vote = false;
  bool leadership_transfer = false;
  FERRYROCK_FIELDS(VoteRequest, term, candidate, last_index, last_term, pre_vote, leadership_transfer)
};

struct VoteResponse {
  Term term;
  MemberId voter;
  bool granted = false;
  bool pre_vote = false;
  /// Disk of the voter; a vote from a disk other than the one in the membership doesn't count.
  DiskId disk;
  FERRYROCK_FIELDS(VoteResponse, term, voter, granted, pre_vote, disk)
};

/// Replicates entries; a request without entries is a heartbeat. read_sequence is echoed to confirm
/// leadership for reads.
struct AppendRequest {
  Term term;
  MemberId leader;
  LogIndex previous_index;
  Term previous_term;
  std::vector<LogEntry> entries;
  LogIndex commit;
  std::uint64_t read_sequence = 0;
  FERRYROCK_FIELDS(AppendRequest, term, leader, previous_index, previous_term, entries, commit, read_sequence)
};

/// match: the last index known to be equal and synced on the follower; after a refusal, a hint for the index
/// to continue from.
struct AppendResponse {
  Term term;
  MemberId member;
  bool accepted = false;
  LogIndex match;
  std::uint64_t read_sequence = 0;
  /// Disk of the member; a response from a disk other than the one in the membership doesn't count.
  DiskId disk;
  FERRYROCK_FIELDS(AppendResponse, term, member, accepted, match, read_sequence, disk)
};

struct SnapshotChunk {
  Term term;
  MemberId leader;
  LogIndex last_index;
  Term last_term;
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;
  FERRYROCK_FIELDS(SnapshotChunk, term, leader, last_index, last_term, membership, offset, total, bytes)
};

struct SnapshotResponse {
  Term term;
  MemberId member;
  LogIndex last_index;
  std::uint64_t next_offset = 0;
  bool installed = false;
  DiskId disk;
  FERRYROCK_FIELDS(SnapshotResponse, term, member, last_index, next_offset, installed, disk)
};

/// Leadership transfer: the receiver starts an election at once.
struct TimeoutNow {
  Term term;
  MemberId leader;
  FERRYROCK_FIELDS(TimeoutNow, term, leader)
};

// ---- router -> control ----

/// Sent periodically by each router to every control member; only the leader answers with a table. The added
/// and removed interests are the names that the router needs; revision and digest describe the table that the
/// router has.
struct RouterStatus {
  NodeName router;
  ZoneName zone;
  std::uint64_t incarnation = 0;  ///< start time of the router, from its clock
  std::uint64_t sequence = 0;     ///< incremented with each message of this incarnation
  TreeVersion tree_version;       ///< version in force at the router
  LogIndex revision;              ///< revision of the router's table
  std::uint64_t digest = 0;       ///< digest of the router's table, see entryDigest()
  std::vector<ModelName> added_interests;
  std::vector<ModelName> removed_interests;
  bool all_interests = false;  ///< added_interests is the whole set
  FERRYROCK_FIELDS(RouterStatus, router, zone, incarnation, sequence, tree_version, revision, digest,
                   added_interests, removed_interests, all_interests)
};

struct ModelDemand {
  ModelName model;
  std::uint32_t waiting = 0;  ///< requests for which no replica has capacity
  std::uint32_t running = 0;
  /// Relative to the time of sending; 0: no request waits.
  std::int64_t earliest_deadline_ms = 0;
  std::uint64_t arrivals = 0;  ///< arrivals since the last report
  FERRYROCK_FIELDS(ModelDemand, model, waiting, running, earliest_deadline_ms, arrivals)
};

/// Aggregate demand of one router; lists only names whose figures have changed.
struct DemandReport {
  NodeName router;
  std::uint64_t sequence = 0;
  std::vector<ModelDemand> demand;
  FERRYROCK_FIELDS(DemandReport, router, sequence, demand)
};

/// Commands on behalf of callers (claims and outcomes), each answered in CommandReplies.
struct RouterCommand {
  /// Chosen by the router; the command is resent with the same id until it is answered.
  std::uint64_t id = 0;
  Command command;
  FERRYROCK_FIELDS(RouterCommand, id, command)
};

struct RouterCommands {
  NodeName router;
  std::uint64_t incarnation = 0;
  std::vector<RouterCommand> commands;
  FERRYROCK_FIELDS(RouterCommands, router, incarnation, commands)
};

// ---- control -> router ----

/// Incremental update with the entries whose revision is above base_revision, or a full update that replaces
/// the router's whole table. Revisions order the tables of all leaders: the upper bits are the leader's term,
/// the lower ones a counter. The leader answers each RouterStatus with an update; the update is empty
/// (base_revision == revision) if the router's table is current, and shows that control is available.
struct TableUpdate {
  Term term;
  MemberId leader;
  LogIndex base_revision;  ///< the router applies an incremental update only to this revision
  LogIndex revision;
  TreeVersion tree_version;
  bool full = false;
  std::vector<RouteEntry> entries;
  std::vector<ModelName> removed;  ///< requested names that are not in the tree
  std::uint64_t digest = 0;        ///< digest of the router's table after this update
  /// The leader's list of the router's interests may be incomplete: the next status must list all of them.
  bool requests_interests = false;
  FERRYROCK_FIELDS(TableUpdate, term, leader, base_revision, revision, tree_version, full, entries, removed,
                   digest, requests_interests)
};

struct CommandReply {
  std::uint64_t id = 0;
  CommandResult result;
  FERRYROCK_FIELDS(CommandReply, id, result)
};

struct CommandReplies {
  std::uint64_t incarnation = 0;  ///< of the router
  std::vector<CommandReply> replies;
  FERRYROCK_FIELDS(CommandReplies, incarnation, replies)
};

/// New alternatives are appended: the index is the type number on the wire.
using Message =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotResponse,
                 TimeoutNow, RouterStatus, DemandReport, RouterCommands, TableUpdate, CommandReplies,
                 MemberHello, MemberList, ReplicaReports, LeaveRequest, LeaveReply, CallRouterStatus,
                 ServiceUpdate, CatalogUpdate, QuotaUse, QuotaAnswer, CrashRecords, LimitRequest, LimitReply,
                 StreamOrigins, StreamOriginQuery, StreamOriginReply>;

/// A message with its sender.
struct Envelope {
  NodeName from;
  Message message;
  FERRYROCK_FIELDS(Envelope, from, message)
};

/// Effect of all logic classes that send messages to other processes: pass the message to the transport.
/// Delivery is not guaranteed: messages may be lost, duplicated, late or reordered.
struct SendEffect {
  NodeName to;
  Message message;
};

/// Encodes an envelope, with the protocol version.
std::string encodeEnvelope(const Envelope& envelope);
/// Decodes an envelope; never reads past the bytes. Throws Error MalformedMessage or ProtocolVersionMismatch.
Envelope decodeEnvelope(std::string_view bytes);

std::string encodeCommand(const Command& command);
Command decodeCommand(std::string_view bytes);
std::string encodeMembership(const Membership& membership);
Membership decodeMembership(std::string_view bytes);

/// Digest of a router's table: the exclusive or of entryDigest() over its entries and absentDigest() over the
/// names known to be absent; 0 for an empty table.
std::uint64_t entryDigest(const RouteEntry& entry);
std::uint64_t absentDigest(const ModelName& name);

}  // namespace ferryrock::wire
