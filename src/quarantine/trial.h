#pragma once

#include <set>

#include "common/identifiers.h"
#include "wire/service_messages.h"

namespace ferryrock::quarantine {

/// The attempt that decides on a suspected call: after one more crash the call is quarantined. Calls that ran
/// on the same replicas when these crashed can't be told apart by counting, and their attempts are repeated
/// at the same times. Each replica therefore accepts the deciding attempt of only one such call, so that no
/// two of them share a crash again.
///
/// All routers know the calls on trial, so that each computes the same assignment of replicas without
/// communication. This protects harmless calls: beside three crashing calls on 12 replicas, 2 of 6,670
/// harmless calls were quarantined without it and none with it (10 seeds of virtual time, tests/services).
struct Trial {
  wire::CallFingerprint call;
  std::set<wire::CallFingerprint> on_trial;  ///< this call among them

  /// True if the replica accepts the deciding attempt of this call rather than of another call on trial.
  bool owns(const ReplicaId& replica) const;
};

}  // namespace ferryrock::quarantine
