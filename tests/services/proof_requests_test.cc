#include "services/proof_requests.h"

#include <catch2/catch.hpp>
#include <string>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

TEST_CASE("A proof request is answerable only once a majority has followed the leader after its arrival") {
  ProofRequests requests;
  requests.add(NodeName("a"), 1, kStart);
  requests.add(NodeName("b"), 1, kStart + 5ms);
  CHECK(requests.takeAnswerable(kStart - 1ms).empty());
  CHECK(requests.takeAnswerable(kStart + 4ms) == std::vector{NodeName("a")});
  CHECK(requests.takeAnswerable(kStart + 5ms) == std::vector{NodeName("b")});
  CHECK(requests.empty());
}

TEST_CASE("A repeated request keeps its place in the queue, and one of a restarted router gets a new place") {
  ProofRequests requests;
  requests.add(NodeName("a"), 1, kStart);
  requests.add(NodeName("a"), 1, kStart + 50ms);
  CHECK(requests.takeAnswerable(kStart + 1ms) == std::vector{NodeName("a")});
  requests.add(NodeName("b"), 1, kStart + 60ms);
  requests.add(NodeName("b"), 2, kStart + 70ms);
  CHECK(requests.takeAnswerable(kStart + 65ms).empty());
  CHECK(requests.takeAnswerable(kStart + 70ms) == std::vector{NodeName("b")});
  CHECK(requests.empty());
}

/// Number of requests examined when all routers send one within a heartbeat and the leader scans after each.
std::uint64_t examinedFor(std::size_t routers) {
  ProofRequests requests;
  for (std::size_t i = 0; i < routers; ++i) {
    requests.add(NodeName("edge-" + std::to_string(i)), 1, kStart + 10us * i);
    REQUIRE(requests.takeAnswerable(kStart - 1ms).empty());
  }
  REQUIRE(requests.takeAnswerable(kStart + 1s).size() == routers);
  return requests.examined();
}

TEST_CASE("The cost of scanning for answerable requests is linear in the requests, not quadratic") {
  constexpr std::uint64_t kRouters = 100;
  const std::uint64_t small = examinedFor(kRouters);
  CHECK(small <= 3 * kRouters);
  CHECK(examinedFor(2 * kRouters) <= 2 * small);
}

}  // namespace
}  // namespace ferryrock::services
