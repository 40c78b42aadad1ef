#pragma once

#include <cstdint>
#include <string_view>

/// Replica loads, aggregated over all routers: streams, prefill backlog and slowness of each replica, and the
/// choice of the best replica for a call based on them. Logic only, without I/O or a clock.
namespace ferryrock::balance {

/// Returns the key of a replica or a model in load messages. A key takes 4 bytes instead of about 20 for the
/// name, since loads are published several times a second. If two names collide, their loads are added, and
/// calls avoid both replicas slightly more than necessary.
std::uint32_t loadKey(std::string_view name);

}  // namespace ferryrock::balance
