#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "http/response_cases.h"
#include "platform/fleet_fixture.h"
#include "platform/raw_replica.h"

/// What callers get from a router whose replica sends responses that HTTP forbids.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr const char* kSeal = "X-Server-Seal: seal-1\r\n";

std::string catalogOf(const std::string& kind) {
  return R"({"generation":1,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":")" + kind +
         R"(","timeoutMs":20000,"targetLatencyMs":300,"maxAttempts":1,"service":"desk"}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":9}],"limits":{}})";
}

void serveWith(Fleet& fleet, const RawReplica& replica, const std::string& kind) {
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", catalogOf(kind)).status == 200);
  REQUIRE(fleet.beat("i-1", replica.address(), 1, "ready").status == 200);
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "first").status == 200; }));
}

/// The cases whose names begin so, and of the others every tenth.
std::vector<http::ResponseCase> someBrokenResponses() {
  std::vector<http::ResponseCase> chosen;
  int number = 0;
  for (http::ResponseCase& given : http::brokenResponses()) {
    const bool always =
        given.name == "status line HTTP/1.1 000 OK" || given.name == "length Content-Length: 3x" ||
        given.name == "line without a length, no field" || given.name == "line before a length, X Odd: 1";
    if (number++ % 10 == 0 || always) {
      chosen.push_back(std::move(given));
    }
  }
  return chosen;
}

TEST_CASE(
    "A caller whose replica sends a broken response gets a failure that promises nothing, and no seal") {
  std::string broken;
  const RawReplica replica([&broken](RawReplica::Arrival& arrival) {
    const bool faulty = arrival.id.starts_with("case-");
    arrival.connection.write(faulty ? broken : responseText(200, arrival.id, kSeal, "answer"));
    return !faulty;
  });
  Fleet fleet;
  serveWith(fleet, replica, "unsafe");
  int number = 0;
  for (const http::ResponseCase& given : someBrokenResponses()) {
    INFO(given.name);
    std::string id;
    http::CallRecord answer;
    // A replica that fails gets no calls for a while.
    REQUIRE(fleet.tryUntil([&] {
      id = "case-" + std::to_string(++number);
      broken = given.text("X-Attempt-Id: " + id + "\r\n" + kSeal);
      answer = fleet.call("/a/x", id);
      return replica.sendings(id) > 0;
    }));
    constexpr int kOutcomeUnknown = 502;
    CHECK(answer.status == kOutcomeUnknown);
    CHECK_FALSE(http::findHeader(answer.headers, "X-Server-Seal").has_value());
    CHECK_FALSE(http::findHeader(answer.headers, "Retry-After").has_value());
    CHECK(replica.sendings(id) == 1);
    CHECK(fleet.tryUntil([&] { return fleet.call("/a/x", "next-" + id).body == "answer"; }));
  }
}

}  // namespace
}  // namespace ferryrock::platform
