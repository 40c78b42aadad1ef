#include "tenancy/catalog_proof.h"

#include <catch2/catch.hpp>

namespace ferryrock::tenancy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr CatalogVersion kHeld{7};

TEST_CASE("A catalog without a proof lifetime needs no proof") {
  const CatalogProof proof(std::nullopt);
  CHECK_FALSE(proof.isNeeded());
  CHECK(proof.holds(kStart + 1h));
}

TEST_CASE("The proof lifetime starts when the status is sent, not when the confirmation arrives") {
  CatalogProof proof(5s);
  CHECK_FALSE(proof.holds(kStart));
  proof.onStatusSent(1, kStart);
  // The confirmation is handled late, after the process was frozen: 4.9 s after the status was sent, the
  // proof has nearly expired.
  proof.onConfirmed(1, kHeld, kHeld);
  CHECK(proof.holds(kStart + 4999ms));
  CHECK_FALSE(proof.holds(kStart + 5s));
}

TEST_CASE("Confirmations that don't prove the catalog in force are ignored") {
  CatalogProof proof(5s);
  proof.onStatusSent(3, kStart);
  SECTION("a newer version was confirmed") {
    proof.onConfirmed(3, CatalogVersion{8}, kHeld);
    CHECK_FALSE(proof.holds(kStart));
  }
  SECTION("no recently sent status has the confirmed sequence") {
    proof.onConfirmed(2, kHeld, kHeld);
    proof.onConfirmed(4, kHeld, kHeld);
    CHECK_FALSE(proof.holds(kStart));
  }
  SECTION("a confirmation of an older status doesn't shorten the proof") {
    proof.onStatusSent(4, kStart + 1s);
    proof.onConfirmed(4, kHeld, kHeld);
    proof.onConfirmed(3, kHeld, kHeld);
    CHECK(proof.holds(kStart + 5999ms));
  }
}

}  // namespace
}  // namespace ferryrock::tenancy
