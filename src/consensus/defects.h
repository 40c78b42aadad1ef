#pragma once

namespace ferryrock::consensus {

/// Deliberate defects that tests switch on to show that their checks detect them. Production code never sets
/// them.
struct Defects {
  bool answer_before_sync = false;       ///< votes and acknowledgements are sent before their write is synced
  bool ignore_disk_identity = false;     ///< a voter on a new, empty disk still votes and counts
  bool read_without_quorum = false;      ///< a leader confirms reads without a heartbeat round
  bool commit_older_terms = false;       ///< a leader commits entries of earlier terms by counting replicas
  bool vote_without_log_check = false;   ///< votes are granted to candidates whose log is behind
  bool vote_despite_leader = false;      ///< votes are granted while a leader may hold a lease
  bool commit_beyond_match = false;      ///< a follower commits entries past the matched prefix of the log
  bool truncate_in_memory_only = false;  ///< truncation of conflicting entries is not written to disk
  bool keep_durable_at_truncation = false;  ///< replacing synced entries keeps the durable index
  bool form_by_majority = false;            ///< a majority, not all, of the initial members can form the cell
  bool overlapping_member_changes = false;  ///< membership changes may overlap
};

}  // namespace ferryrock::consensus
