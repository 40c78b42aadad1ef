#include "wire/replica_life.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace ferryrock::wire {
namespace {

TEST_CASE("An incarnation's id yields its name and start time, whatever characters the name contains") {
  for (const char* name : {"i-7f", "", "a@b", "@", "i@zz@", "\xff"}) {
    for (const std::uint64_t born : {0ULL, 1ULL, 1'780'000'000'123ULL, ~0ULL}) {
      const ReplicaId id = replicaLife(name, born);
      CHECK(replicaName(id) == name);
      CHECK(replicaBorn(id) == born);
    }
  }
  CHECK(replicaLife("i-7f", 0) == ReplicaId("i-7f"));
}

TEST_CASE("Ids differ if the names or the start times do") {
  CHECK(rc::check("incarnations", [](const std::string& one, std::uint64_t born, const std::string& other,
                                     std::uint64_t other_born) {
    const bool same = one == other && born == other_born;
    RC_ASSERT((replicaLife(one, born) == replicaLife(other, other_born)) == same);
    RC_ASSERT(replicaName(replicaLife(one, born)) == one);
  }));
}

}  // namespace
}  // namespace ferryrock::wire
