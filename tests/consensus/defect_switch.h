#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "consensus/defects.h"

namespace ferryrock::consensus {

/// A deliberate defect and a fault schedule seed that detects it; also listed in docs/design/consensus.md.
/// member_defect_test.cc detects the remaining members of Defects.
struct DefectSwitch {
  std::string_view name;
  bool Defects::*flag;
  std::uint64_t seed;
  std::string_view invariant;  ///< prefix of the reported violation
};

inline constexpr std::array kDefectSwitches{
    DefectSwitch{"answer_before_sync", &Defects::answer_before_sync, 9, "leader completeness"},
    DefectSwitch{"ignore_disk_identity", &Defects::ignore_disk_identity, 4, "leader completeness"},
    DefectSwitch{"read_without_quorum", &Defects::read_without_quorum, 3, "stale read"},
    DefectSwitch{"commit_older_terms", &Defects::commit_older_terms, 1655, "state machine safety"},
    DefectSwitch{"vote_without_log_check", &Defects::vote_without_log_check, 3, "leader completeness"},
    DefectSwitch{"vote_despite_leader", &Defects::vote_despite_leader, 396, "lease"},
    DefectSwitch{"commit_beyond_match", &Defects::commit_beyond_match, 11, "state machine safety"},
    DefectSwitch{"truncate_in_memory_only", &Defects::truncate_in_memory_only, 1, "5003 CorruptRecord"},
    DefectSwitch{"form_by_majority", &Defects::form_by_majority, 1674, "leader completeness"},
};

}  // namespace ferryrock::consensus
