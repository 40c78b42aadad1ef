#include "quarantine/trial.h"

#include <algorithm>
#include <utility>

#include "common/hashing.h"
#include "quarantine/call_fingerprint.h"

namespace ferryrock::quarantine {
namespace {

/// Rendezvous weight; the fingerprint breaks ties between equal hashes.
std::pair<std::uint64_t, wire::CallFingerprint> weight(const ReplicaId& replica,
                                                       const wire::CallFingerprint& call) {
  return {stableHash(replica.value, stableHash(toText(call))), call};
}

}  // namespace

bool Trial::owns(const ReplicaId& replica) const {
  const auto own = weight(replica, call);
  return std::all_of(on_trial.begin(), on_trial.end(),
                     [&](const wire::CallFingerprint& other) { return weight(replica, other) <= own; });
}

}  // namespace ferryrock::quarantine
