#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/identifiers.h"

/// A replica may start again under the name that it had, empty and with its counts anew. Each of its lives
/// has an id of its own, so that nothing known of one life holds for another.
namespace ferryrock::wire {

/// The id of the life that began at `born` (Unix milliseconds; 0: the replica doesn't tell, and its name
/// alone is the id). Two lives differ if their names or their starts do.
ReplicaId replicaLife(std::string_view name, std::uint64_t born);

/// The name that the replica gives itself.
std::string replicaName(const ReplicaId& id);

/// Unix milliseconds of the life's start; 0: not told.
std::uint64_t replicaBorn(const ReplicaId& id);

}  // namespace ferryrock::wire
