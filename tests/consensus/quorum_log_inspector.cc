#include "quorum_log_inspector.h"

namespace ferryrock::consensus {
namespace {

/// Serializes numbers and texts unambiguously: numbers are terminated, texts are prefixed by their length.
class Writer {
 public:
  Writer& number(std::uint64_t value) {
    bytes_ += std::to_string(value) + ",";
    return *this;
  }
  Writer& text(const std::string& value) {
    number(value.size());
    bytes_ += value;
    return *this;
  }
  std::string take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

void writeLog(const EntryLog& log, Writer& writer) {
  writer.number(log.baseIndex().value).number(log.lastIndex().value);
  for (LogIndex index = log.baseIndex().next(); index <= log.lastIndex(); index = index.next()) {
    const wire::LogEntry& entry = log.at(index);
    writer.number(entry.term.value).number(static_cast<std::uint64_t>(entry.kind)).text(entry.payload);
  }
}

void writeProgress(const Progress& progress, Writer& writer) {
  writer.number(static_cast<std::uint64_t>(progress.state))
      .number(progress.match.value)
      .number(progress.next.value)
      .number(progress.disk.value)
      .number(progress.acknowledged_round)
      .number(progress.inflight.size());
  for (const LogIndex last : progress.inflight) {
    writer.number(last.value);
  }
}

void writeLeadership(const Leadership& leadership, Writer& writer) {
  writer.number(leadership.term_start_index.value).number(leadership.round).number(leadership.reads.size());
  for (const auto& [member, progress] : leadership.peers) {
    writer.number(member.value);
    writeProgress(progress, writer);
  }
}

void writeCandidacy(const Candidacy& candidacy, Writer& writer) {
  writer.number(candidacy.pre_vote ? 1 : 0).number(candidacy.vote_write);
  for (const auto& [member, disk] : candidacy.granted) {
    writer.number(member.value).number(disk.value);
  }
}

}  // namespace

std::string QuorumLogInspector::fingerprint(const QuorumLogImpl& member) {
  Writer writer;
  writer.number(member.hard_state_.term.value)
      .number(member.hard_state_.voted_for.value)
      .number(static_cast<std::uint64_t>(member.role_))
      .text(member.leader_.value)
      .number(member.committed_.value)
      .number(member.hard_state_write_);
  writeLog(member.log_, writer);
  writer.number(member.candidacy_ ? 1 : 0);
  if (member.candidacy_) {
    writeCandidacy(*member.candidacy_, writer);
  }
  writer.number(member.leadership_ ? 1 : 0);
  if (member.leadership_) {
    writeLeadership(*member.leadership_, writer);
  }
  const PendingWrites& writes = member.writes_;
  writer.number(writes.issued_).number(writes.synced_).number(writes.durable_index_.value);
  for (const auto& held : writes.held_) {
    writer.number(held.sequence).text(wire::encodeEnvelope({held.message.to, held.message.message}));
  }
  return writer.take();
}

}  // namespace ferryrock::consensus
