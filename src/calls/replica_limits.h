#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "calls/call.h"

namespace ferryrock::calls {

/// The calls a second that replicas take from all routers together, as far as this router knows. Kept by the
/// replica's life and apart from the replica table, which a new leader lists anew. Used by one thread.
class ReplicaLimits {
 public:
  enum class Change : std::uint8_t {
    None,
    Named,    ///< the replica had no limit before
    Changed,  ///< another value
    Ended,    ///< it has none any more
  };

  /// The head of an answer names a limit. Of two answers whose order isn't known the lower limit holds.
  /// sent: when the answered call left; nullopt: not known.
  Change name(const ReplicaId& replica, double per_second, std::optional<TimePoint> sent, TimePoint now);
  /// An answer names none. It ends a limit only if the call left after that was last named: answers may
  /// arrive in another order than they were written in.
  Change end(const ReplicaId& replica, TimePoint sent);
  /// The life is over.
  void forget(const ReplicaId& replica) { limits_.erase(replica); }

  bool isLimited(const ReplicaId& replica) const { return limits_.contains(replica); }
  /// nullopt: it named none.
  std::optional<double> limitOf(const ReplicaId& replica) const;
  std::size_t size() const { return limits_.size(); }

 private:
  struct Limit {
    double per_second = 0;
    TimePoint named{};  ///< last
  };

  void keepBounded();

  std::map<ReplicaId, Limit> limits_;
};

}  // namespace ferryrock::calls
