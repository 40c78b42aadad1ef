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
  /// True once the list has named any router, even if it is empty now.
  bool known() const { return known_; }
  /// True if choose() would return a relay for the service.
  bool anyAvailable(const ServiceName& service, TimePoint now) const;
  /// Returns the available relay to replicas of the service with the fewest attempts of this router, one of
  /// the local zone if there is any; nullopt: none is available.
  std::optional<wire::RelayRouter> choose(const ServiceName& service, TimePoint now) const;

  void onSent(const NodeName& relay);
  void onReleased(const NodeName& relay);
  /// The relay forwarded an attempt to a replica of the service.
  void onForwarded(const NodeName& relay, const ServiceName& service);
  /// The relay wasn't reached, or refused to forward an attempt.
  void onFailure(const NodeName& relay, TimePoint now);
  /// The relay couldn't connect to a replica of the service.
  void onUnreachable(const NodeName& relay, const ServiceName& service, TimePoint now);

 private:
  struct Exclusion {
    std::uint32_t failures = 0;  ///< failures in a row
    TimePoint until{};
    void extend(TimePoint now);
  };
  struct Relay {
    wire::RelayRouter router;
    std::uint32_t outstanding = 0;  ///< attempts of this router in flight
    Exclusion exclusion;
    std::map<ServiceName, Exclusion> service_exclusions;
    bool available(const ServiceName& service, TimePoint now) const;
  };

  ZoneName zone_;
  std::map<NodeName, Relay> relays_;
  std::uint64_t digest_ = 0;
  bool known_ = false;
};

}  // namespace ferryrock::calls
