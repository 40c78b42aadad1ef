#include "wire/replica_incarnation.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace ferryrock::wire {
namespace {

TEST_CASE("An incarnation's id yields its name and start time, whatever characters the name contains") {
  for (const char* name : {"i-7f", "", "a@b", "@", "i@zz@", "\xff"}) {
    for (const std::uint64_t start_ms : {0ULL, 1ULL, 1'780'000'000'123ULL, ~0ULL}) {
      const ReplicaId id = replicaIncarnationId(name, start_ms);
      CHECK(replicaName(id) == name);
      CHECK(replicaStartMs(id) == start_ms);
    }
  }
  CHECK(replicaIncarnationId("i-7f", 0) == ReplicaId("i-7f"));
}

TEST_CASE("Ids differ if the names or the start times do") {
  CHECK(rc::check("incarnations", [](const std::string& one, std::uint64_t start_ms, const std::string& other,
                                     std::uint64_t other_start_ms) {
    const bool same = one == other && start_ms == other_start_ms;
    RC_ASSERT((replicaIncarnationId(one, start_ms) == replicaIncarnationId(other, other_start_ms)) == same);
    RC_ASSERT(replicaName(replicaIncarnationId(one, start_ms)) == one);
  }));
}

}  // namespace
}  // namespace ferryrock::wire
