#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/service_messages.h"

namespace ferryrock::calls {

/// The other routers through which this router can send attempts to replicas that it can't reach itself, as
/// published by the leader; kept while there is no leader. A relay that fails is left out for a time that
/// grows with each further failure. Not thread-safe; used by one thread.
class RelayRouters {
 public:
  explicit RelayRouters(ZoneName zone) : zone_(std::move(zone)) {}

  /// Replaces the list. Routers that stay listed keep their state.
  void set(const std::vector<wire::RelayRouter>& relays);
  /// wire::relaysDigest() of the current list.
  std::uint64_t digest() const { return digest_; }
  bool empty() const { return relays_.empty(); }
  /// True if choose() would return a relay.
  bool anyAvailable(TimePoint now) const;
  /// Returns the available relay with the fewest attempts of this router, one of the local zone if there is
  /// any; nullopt: none is available.
  std::optional<wire::RelayRouter> choose(TimePoint now) const;

  void onSent(const NodeName& relay);
  void onReleased(const NodeName& relay);
  /// The relay forwarded an attempt.
  void onForwarded(const NodeName& relay);
  /// The relay wasn't reached, or refused to forward an attempt.
  void onFailure(const NodeName& relay, TimePoint now);

 private:
  struct Relay {
    wire::RelayRouter router;
    std::uint32_t outstanding = 0;  ///< attempts of this router in flight
    std::uint32_t failures = 0;     ///< failures in a row
    TimePoint excluded_until{};
  };

  ZoneName zone_;
  std::map<NodeName, Relay> relays_;
  std::uint64_t digest_ = 0;
};

}  // namespace ferryrock::calls
