#include <catch2/catch.hpp>

#include "calls/call_fixture.h"

/// What a router concludes from the answer to one sending of a call.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr bool kProven = true;
constexpr int kFull = 503;

TEST_CASE("A call that comes back to a replica's address is sent over a new connection") {
  CallFixture fixture;
  wire::ServiceUpdate update;
  update.catalog = CallFixture::catalog(1);
  for (wire::CallRoute& route : update.catalog->routes) {
    route.target_latency_ms = 900;  // leaves time to come back
  }
  fixture.send(update);
  fixture.keepAlive();
  fixture.addReplicas({CallFixture::replica("d1")});
  fixture.call("/once/x");
  CHECK_FALSE(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.answer(kFull, kProven);
  fixture.pass(150ms);
  REQUIRE(fixture.count<SendAttemptEffect>() == 2);
  CHECK(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.answer(200);

  wire::RoutedReplica successor = CallFixture::replica("d2");
  successor.address = "d1:80";
  fixture.call("/once/x");
  CHECK_FALSE(fixture.last<SendAttemptEffect>()->fresh_connection);
  fixture.addReplicas({successor});
  fixture.answer(kFull, kProven);
  REQUIRE(fixture.last<SendAttemptEffect>()->replica.value == "d2");
  CHECK(fixture.last<SendAttemptEffect>()->fresh_connection);
}

}  // namespace
}  // namespace ferryrock::calls
