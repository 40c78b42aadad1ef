#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "common/random.h"
#include "platform/fleet_fixture.h"
#include "platform/raw_replica.h"

/// A router, real sockets and a replica that refuses, runs and answers calls in every way: a caller is
/// promised that a call hasn't run only if it hasn't.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr const char* kProof = "X-Not-Executed: 1\r\n";
constexpr const char* kSeal = "X-Server-Seal: seal-1\r\n";

bool promisesNotRun(int status) {
  constexpr std::array kPromises = {408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

/// A call of a route that must not be repeated, with enough time to come back to the same replica.
std::string patientCatalog() {
  return R"({"generation":1,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":"unsafe",)"
         R"("timeoutMs":2000,"targetLatencyMs":1900,"maxAttempts":1,"service":"desk"}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":9}],"limits":{}})";
}

/// A fleet whose only replica is the given one.
void serveWith(Fleet& fleet, const RawReplica& replica) {
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", patientCatalog()).status == 200);
  REQUIRE(fleet.beat("i-1", replica.address(), 1, "ready").status == 200);
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "first").status == 200; }));
}

/// Sends calls that are served, so that the retry budget covers the attempts of the next call.
void earnRetries(Fleet& fleet) {
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    fleet.call("/a/x", "warm-" + std::to_string(systemSeed()));
  }
}

TEST_CASE("A late copy of a refusal is not taken for the answer to the call's next sending") {
  const bool before_next_request = GENERATE(true, false);
  INFO("the copy arrives " << (before_next_request ? "on the idle connection" : "after the next request"));
  const RawReplica replica([before_next_request](RawReplica::Arrival& arrival) {
    const std::string refusal = responseText(503, arrival.id, kProof);
    if (arrival.id.starts_with("twice-") && arrival.sending == 1) {
      arrival.connection.write(refusal);
      if (before_next_request) {
        std::this_thread::sleep_for(50ms);
        arrival.connection.write(refusal);
      } else {
        arrival.unsent = refusal;
      }
      return true;
    }
    std::this_thread::sleep_for(arrival.id.starts_with("twice-") ? 20ms : 0ms);
    arrival.connection.write(responseText(200, arrival.id, kSeal, "answer"));
    return true;
  });
  Fleet fleet;
  serveWith(fleet, replica);
  int came_back = 0;
  for (int i = 0; i < 10; ++i) {
    earnRetries(fleet);
    const std::string id = "twice-" + std::to_string(i);
    const http::CallRecord answer = fleet.call("/a/x", id);
    fleet.loop.runFor(100ms);
    const int runs = std::max(0, replica.sendings(id) - 1);
    INFO(id << " ran " << runs << " times, its caller got " << answer.status);
    CHECK(runs <= 1);
    CHECK_FALSE((promisesNotRun(answer.status) && runs > 0));
    came_back += runs;
  }
  CHECK(came_back > 0);
}

TEST_CASE("A replica's status that promises a call hasn't run reaches no caller without the proof") {
  std::atomic<int> status = 200;
  std::atomic<bool> proven = false;
  std::atomic<bool> sealed = false;
  const RawReplica replica([&](RawReplica::Arrival& arrival) {
    const bool answers = !arrival.id.starts_with("case-");
    const std::string headers = answers ? kSeal : std::string(proven ? kProof : "") + (sealed ? kSeal : "");
    arrival.connection.write(responseText(answers ? 200 : status.load(), arrival.id, headers, "body"));
    return true;
  });
  Fleet fleet;
  serveWith(fleet, replica);
  earnRetries(fleet);
  int number = 0;
  for (const int given : {408, 421, 429, 500, 503, 504}) {
    for (const bool with_proof : {false, true}) {
      for (const bool with_seal : {false, true}) {
        status = given;
        proven = with_proof;
        sealed = with_seal;
        INFO(given << (with_proof ? " with" : " without") << " proof," << (with_seal ? " with" : " without")
                   << " seal");
        // A replica that fails gets no calls for a while.
        std::string id;
        http::CallRecord answer;
        REQUIRE(fleet.tryUntil([&] {
          id = "case-" + std::to_string(++number);
          answer = fleet.call("/a/x", id);
          return replica.sendings(id) > 0;
        }));
        const bool may_have_run = !with_proof && given != 421;
        const bool passed_on = may_have_run && !promisesNotRun(given);
        constexpr int kRefused = 503;
        constexpr int kOutcomeUnknown = 502;
        CHECK(answer.status == (passed_on ? given : may_have_run ? kOutcomeUnknown : kRefused));
        CHECK(http::findHeader(answer.headers, "X-Server-Seal").has_value() == (passed_on && with_seal));
        CHECK(replica.sendings(id) >= 1);
        CHECK((!may_have_run || replica.sendings(id) == 1));
      }
    }
  }
}

}  // namespace
}  // namespace ferryrock::platform
