#pragma once

#include <string>

#include "consensus/quorum_log_impl.h"

namespace ferryrock::consensus {

/// Gives tests access to the internal state of a member.
class QuorumLogInspector {
 public:
  /// Equal for two members that behave identically from here on. Excludes time points, because time is not
  /// modelled.
  static std::string fingerprint(const QuorumLogImpl& member);
  static const EntryLog& entries(const QuorumLogImpl& member) { return member.log_; }
};

}  // namespace ferryrock::consensus
