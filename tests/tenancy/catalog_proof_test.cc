#include "tenancy/catalog_proof.h"

#include <catch2/catch.hpp>

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr CatalogVersion kHeld{7};

TEST_CASE("Without a lifetime no proof is needed") {
  const CatalogProof proof(std::nullopt);
  CHECK_FALSE(proof.isNeeded());
  CHECK(proof.holds(kStart + 1h));
}

TEST_CASE("A proof counts from the moment at which the status left, not from the answer's arrival") {
  CatalogProof proof(5s);
  CHECK_FALSE(proof.holds(kStart));
  proof.onStatusSent(1, kStart);
  // The answer waits while the process is frozen: 4.9 s after the status the proof is nearly over.
  proof.onConfirmed(1, kHeld, kHeld);
  CHECK(proof.holds(kStart + 4999ms));
  CHECK_FALSE(proof.holds(kStart + 5s));
}

TEST_CASE("What doesn't prove the catalog that is held is ignored") {
  CatalogProof proof(5s);
  proof.onStatusSent(3, kStart);
  SECTION("a newer version was confirmed") {
    proof.onConfirmed(3, CatalogVersion{8}, kHeld);
    CHECK_FALSE(proof.holds(kStart));
  }
  SECTION("a status that this process never sent, or long ago") {
    proof.onConfirmed(2, kHeld, kHeld);
    proof.onConfirmed(4, kHeld, kHeld);
    CHECK_FALSE(proof.holds(kStart));
  }
  SECTION("an older status after a newer one takes nothing away") {
    proof.onStatusSent(4, kStart + 1s);
    proof.onConfirmed(4, kHeld, kHeld);
    proof.onConfirmed(3, kHeld, kHeld);
    CHECK(proof.holds(kStart + 5999ms));
  }
}

}  // namespace
}  // namespace ferryrock::tenancy
