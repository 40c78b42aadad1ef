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

/// Raised whenever a message changes in a way that an older process can't read.
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
  DiskId
      disk;  ///< the disk that votes and counts for this member; 0 until the cell is formed or it is promoted
  FERRYROCK_FIELDS(Member, id, node, address, http, voter, disk)
};

struct Membership {
  std::vector<Member> members;
  FERRYROCK_FIELDS(Membership, members)
};

/// Asks for a vote. pre_vote asks whether one would be given, changes nothing and disturbs no leader.
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
  DiskId disk;  ///< the voter's; a vote from another disk than the membership names doesn't count
  FERRYROCK_FIELDS(VoteResponse, term, voter, granted, pre_vote, disk)
};

/// Replicates entries; empty ones are heartbeats. read_sequence is echoed to confirm leadership for reads.
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

/// match is the last index known to be equal and synced on the follower; after a refusal, a hint where to go
/// on.
struct AppendResponse {
  Term term;
  MemberId member;
  bool accepted = false;
  LogIndex match;
  std::uint64_t read_sequence = 0;
  DiskId disk;  ///< the member's; an answer from another disk than the membership names doesn't count
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

/// The leader hands over: the receiver stands for election at once.
struct TimeoutNow {
  Term term;
  MemberId leader;
  FERRYROCK_FIELDS(TimeoutNow, term, leader)
};

// ---- router -> control ----

/// Sent regularly by each router to every control member; only the leader answers with a table.
/// interests are the names that the router needs; revision and digest describe the table that it holds.
struct RouterStatus {
  NodeName router;
  ZoneName zone;
  std::uint64_t incarnation = 0;  ///< start of the router, from its clock
  std::uint64_t sequence = 0;     ///< raised with each message of this incarnation
  TreeVersion tree_version;       ///< in force at the router
  LogIndex revision;              ///< of the router's table
  std::uint64_t digest = 0;       ///< stableHash over (name, entry) of the table, see tableDigest()
  std::vector<ModelName> added_interests;
  std::vector<ModelName> removed_interests;
  bool all_interests = false;  ///< added_interests is the whole set
  FERRYROCK_FIELDS(RouterStatus, router, zone, incarnation, sequence, tree_version, revision, digest,
                   added_interests, removed_interests, all_interests)
};

struct ModelDemand {
  ModelName model;
  std::uint32_t waiting = 0;  ///< requests without a replica that could take them
  std::uint32_t running = 0;
  std::int64_t earliest_deadline_ms = 0;  ///< from now; 0: none waits
  std::uint64_t arrivals = 0;             ///< since the last report
  FERRYROCK_FIELDS(ModelDemand, model, waiting, running, earliest_deadline_ms, arrivals)
};

/// Merged demand of one router; only names whose figures changed.
struct DemandReport {
  NodeName router;
  std::uint64_t sequence = 0;
  std::vector<ModelDemand> demand;
  FERRYROCK_FIELDS(DemandReport, router, sequence, demand)
};

/// Commands on behalf of callers (claims and outcomes), answered one by one in CommandReplies.
struct RouterCommand {
  std::uint64_t id = 0;  ///< chosen by the router; resent with the same number until answered
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

/// Entries whose revision is above base_revision; full replaces the router's whole table. Revisions order the
/// tables of all leaders: the leader's term in the upper bits, a counter in the lower ones. The leader
/// answers each RouterStatus with an update, an empty one (base_revision == revision) when the router holds
/// all; it shows that control is there.
struct TableUpdate {
  Term term;
  MemberId leader;
  LogIndex base_revision;  ///< the router applies a delta only on this revision
  LogIndex revision;
  TreeVersion tree_version;
  bool full = false;
  std::vector<RouteEntry> entries;
  std::vector<ModelName> removed;  ///< asked for, but not in the tree
  std::uint64_t digest = 0;        ///< of the router's table after this update
  bool interests_wanted =
      false;  ///< the leader isn't sure of the router's interests; send them all next time
  FERRYROCK_FIELDS(TableUpdate, term, leader, base_revision, revision, tree_version, full, entries, removed,
                   digest, interests_wanted)
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

/// New alternatives go to the end: the index is the type number on the wire.
using Message =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, SnapshotChunk, SnapshotResponse,
                 TimeoutNow, RouterStatus, DemandReport, RouterCommands, TableUpdate, CommandReplies,
                 MemberHello, MemberList, ReplicaReports, LeaveRequest, LeaveReply, CallRouterStatus,
                 ServiceUpdate, CatalogUpdate, QuotaUse, QuotaAnswer, CrashRecords, LimitRequest, LimitReply>;

/// A message with its sender.
struct Envelope {
  NodeName from;
  Message message;
  FERRYROCK_FIELDS(Envelope, from, message)
};

/// Effect of every logic class that talks to other processes: hand the message to the transport.
/// Delivery isn't certain: messages may be lost, doubled, late and out of order.
struct SendEffect {
  NodeName to;
  Message message;
};

/// Bytes of one envelope, protocol version included.
std::string encodeEnvelope(const Envelope& envelope);
/// Throws Error MalformedMessage or ProtocolVersionMismatch; never reads past the bytes.
Envelope decodeEnvelope(std::string_view bytes);

std::string encodeCommand(const Command& command);
Command decodeCommand(std::string_view bytes);
std::string encodeMembership(const Membership& membership);
Membership decodeMembership(std::string_view bytes);

/// Digest of a router's table: the exclusive or of entryDigest() over its entries and of absentDigest() over
/// the names known to be absent; 0 for an empty table.
std::uint64_t entryDigest(const RouteEntry& entry);
std::uint64_t absentDigest(const ModelName& name);

}  // namespace ferryrock::wire
