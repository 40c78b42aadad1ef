#pragma once

#include <cstdint>
#include <string_view>

/// Loads of replicas as routers see them, summed over all routers: what each replica reads and serves, how
/// slow it is, and which replica suits a call best by that. Logic only, without input, output or a clock.
namespace ferryrock::balance {

/// Names a replica or a model in messages about loads. 4 bytes in place of 20, since they are told several
/// times a second; should two names meet, their loads are added, and calls avoid both a little more than
/// needed.
std::uint32_t loadKey(std::string_view name);

}  // namespace ferryrock::balance
