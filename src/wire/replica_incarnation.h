#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/identifiers.h"

/// A replica may restart under its previous name, without its models and with its counters reset. Each
/// incarnation has its own id, so that nothing known of one incarnation is applied to another.
namespace ferryrock::wire {

/// Id of the incarnation that started at `start_ms` (Unix milliseconds; 0: the replica doesn't report its
/// start time, and its name alone is the id). Ids differ if the names or the start times do.
ReplicaId replicaIncarnationId(std::string_view name, std::uint64_t start_ms);

/// The name that the replica reports.
std::string replicaName(const ReplicaId& id);

/// Start time of the incarnation in Unix milliseconds; 0: not reported.
std::uint64_t replicaStartMs(const ReplicaId& id);

}  // namespace ferryrock::wire
