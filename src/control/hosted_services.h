#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "wire/commands.h"

namespace ferryrock::control {

/// The service catalog in force, the replicas that leave, the calls kept away from replicas and the zones
/// taken out of use: a part of the replicated state. Deterministic.
class HostedServices {
 public:
  /// A version that isn't above the one held changes nothing and succeeds.
  wire::CommandResult apply(const wire::ReplaceCatalogCommand& command);
  wire::CommandResult apply(const wire::ReplicaLeavingCommand& command);
  wire::CommandResult apply(const wire::QuarantineCallCommand& command);
  wire::CommandResult apply(const wire::ReleaseCallCommand& command);
  wire::CommandResult apply(const wire::EvacuateZoneCommand& command);

  /// Version 0 before the first catalog.
  const wire::ServiceCatalog& catalog() const { return catalog_; }
  /// The catalog in the operator's own bytes.
  const std::string& source() const { return source_; }
  bool leaving(const ReplicaId& replica) const { return leaving_.contains(replica); }
  /// Replicas that have said that they leave, the latest kRememberedLeaving of them.
  const std::set<ReplicaId>& leaving() const { return leaving_; }
  /// The same, the earliest first.
  const std::deque<ReplicaId>& leavingByAge() const { return leaving_order_; }
  /// Rises with each replica added to leaving().
  std::uint64_t leavingChanges() const { return leaving_changes_; }

  /// Calls under which too many replicas ended, the latest kRememberedQuarantines of them. Their ages aren't
  /// kept: a process that starts again takes them for new.
  const std::map<wire::CallFingerprint, wire::CrashRecord>& quarantined() const { return quarantined_; }
  /// Rises when quarantined() changes.
  std::uint64_t quarantineChanges() const { return quarantine_changes_; }

  /// Zones whose replicas get no new calls and no models.
  const std::set<ZoneName>& evacuated() const { return evacuated_; }

  std::string serialize() const;
  /// Throws Error MalformedMessage. Empty bytes are the empty state.
  void restore(std::string_view bytes);

  /// A replica that left longer ago has ended.
  static constexpr std::size_t kRememberedLeaving = 4096;
  /// Each has cost three replicas; some 150 B each in a snapshot.
  static constexpr std::size_t kRememberedQuarantines = 256;

 private:
  wire::ServiceCatalog catalog_;
  std::string source_;
  std::deque<ReplicaId> leaving_order_;  ///< oldest first
  std::set<ReplicaId> leaving_;
  std::uint64_t leaving_changes_ = 0;
  std::deque<wire::CallFingerprint> quarantine_order_;  ///< oldest first
  std::map<wire::CallFingerprint, wire::CrashRecord> quarantined_;
  std::uint64_t quarantine_changes_ = 0;
  std::set<ZoneName> evacuated_;
};

}  // namespace ferryrock::control
