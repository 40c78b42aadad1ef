#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/quorum_log.h"

namespace ferryrock::consensus {

/// One member of a formed cell (three members by default), driven message by message. Writes are synced only
/// by sync().
class SingleMember {
 public:
  /// Creates member 1. Its log holds entry 1, which formed the cell in term 1, followed by one entry for each
  /// element of terms.
  SingleMember(const Defects& defects, const std::vector<std::uint64_t>& terms, std::size_t members = 3);

  QuorumLog& log() { return *log_; }
  /// Delivers a message from member `from`; responses are collected for takeSent().
  void receive(std::uint64_t from, const wire::Message& message);
  /// Marks all writes so far as synced.
  void sync();
  /// Advances the clock and runs the ticks that are due.
  void wait(Duration duration);
  /// Makes the member leader of the next term, with the vote of member 2.
  void becomeLeader();
  void proposeOne() { handle(log_->propose("command", now_).effects); }
  void handle(Effects effects);

  /// Returns the messages of type T sent since the last call and discards those of other types.
  template <class T>
  std::vector<T> takeSent() {
    std::vector<T> taken;
    for (const wire::SendEffect& send : sent_) {
      if (const auto* message = std::get_if<T>(&send.message)) {
        taken.push_back(*message);
      }
    }
    sent_.clear();
    return taken;
  }
  TimePoint now() const { return now_; }

  static DiskId diskOf(std::uint64_t member) { return DiskId{100 + member}; }
  static NodeName nodeOf(std::uint64_t member) { return NodeName{"control-" + std::to_string(member)}; }
  static wire::LogEntry entry(std::uint64_t term, std::uint64_t index) {
    return {Term{term}, LogIndex{index}, wire::EntryKind::StateCommand, "entry"};
  }

 private:
  TimePoint now_{std::chrono::hours(1)};
  std::unique_ptr<QuorumLog> log_;
  std::vector<wire::SendEffect> sent_;
  std::uint64_t last_write_ = 0;
};

}  // namespace ferryrock::consensus
