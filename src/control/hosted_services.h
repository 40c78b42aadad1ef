#pragma once

#include <deque>
#include <set>
#include <string>
#include <string_view>

#include "wire/commands.h"

namespace ferryrock::control {

/// The service catalog in force and the replicas that leave: a part of the replicated state. Deterministic.
class HostedServices {
 public:
  /// A version that isn't above the one held changes nothing and succeeds.
  wire::CommandResult apply(const wire::ReplaceCatalogCommand& command);
  wire::CommandResult apply(const wire::ReplicaLeavingCommand& command);

  /// Version 0 before the first catalog.
  const wire::ServiceCatalog& catalog() const { return catalog_; }
  /// The catalog in the operator's own bytes.
  const std::string& source() const { return source_; }
  bool leaving(const ReplicaId& replica) const { return leaving_.contains(replica); }
  /// Replicas that have said that they leave, the latest kRememberedLeaving of them.
  const std::set<ReplicaId>& leaving() const { return leaving_; }

  std::string serialize() const;
  /// Throws Error MalformedMessage. Empty bytes are the empty state.
  void restore(std::string_view bytes);

  /// A replica that left longer ago has ended.
  static constexpr std::size_t kRememberedLeaving = 4096;

 private:
  wire::ServiceCatalog catalog_;
  std::string source_;
  std::deque<ReplicaId> leaving_order_;  ///< oldest first
  std::set<ReplicaId> leaving_;
};

}  // namespace ferryrock::control
