#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/quorum_log.h"

/// The reference model that a simulated cell is checked against.
namespace ferryrock::consensus {

/// An invariant was violated; the message names the invariant and the member, term or entry.
class InvariantViolation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// History of all entries committed by any member. The on... functions throw InvariantViolation.
class CellOracle {
 public:
  /// Election safety: at most one leader per term. Leader completeness: the leader's log contains every entry
  /// committed in earlier terms.
  void onLeader(MemberId member, Term term, LogIndex last_index);
  /// State machine safety: all members apply the same entry at each index. Returns the digest of the history
  /// up to and including the entry.
  std::uint64_t onApply(MemberId member, Term member_term, const wire::LogEntry& entry,
                        std::uint64_t digest_before);
  void onRestore(MemberId member, LogIndex index, std::uint64_t digest) const;
  /// Linearizability: the state read includes every entry committed before the read was requested.
  void onRead(MemberId member, LogIndex applied, LogIndex committed_at_request) const;
  /// Lease safety: no entry of a later term is committed while a member holds a lease.
  void onLease(MemberId member, Term term) const;

  LogIndex committed() const { return LogIndex{entries_.size()}; }
  std::uint64_t digestAt(LogIndex index) const;

 private:
  struct Committed {
    wire::LogEntry entry;
    Term min_commit_term;  ///< lowest term in which a member is known to have applied the entry
    std::uint64_t digest = 0;
  };
  std::map<Term, MemberId> leaders_;
  std::vector<Committed> entries_;  ///< position 0 holds index 1
};

}  // namespace ferryrock::consensus
