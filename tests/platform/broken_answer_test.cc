#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "http/response_cases.h"
#include "platform/fleet_fixture.h"
#include "platform/raw_replica.h"

/// What callers get from a router whose replica sends responses that HTTP forbids, or that never end.
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

TEST_CASE("A router keeps little of an endless stream whose caller doesn't read") {
  constexpr std::size_t kMaxAhead = std::size_t{64} << 20;
  constexpr std::size_t kPieceEvents = 1000;
  std::string events;
  for (std::size_t i = 0; i < kPieceEvents; ++i) {
    events += "data: 0123456789\n\n";
  }
  std::atomic<std::size_t> written = 0;
  std::atomic<bool> over = false;
  const RawReplica replica([&](RawReplica::Arrival& arrival) {
    if (arrival.id != "endless") {
      arrival.connection.write(responseText(200, arrival.id, kSeal, "answer"));
      return true;
    }
    arrival.connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: endless\r\n" + std::string(kSeal) +
                             "Content-Type: text/event-stream\r\n\r\n");
    while (!over && written < 2 * kMaxAhead) {
      arrival.connection.write(events);
      written += events.size();
    }
    return false;
  });
  Fleet fleet;
  serveWith(fleet, replica, "streaming");
  const std::string address = fleet.resolve();
  http::RawConnection caller = http::RawConnection::connect(
      static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  caller.write(
      "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: endless\r\nContent-Length: 0\r\n\r\n");
  std::size_t before = 0;
  do {
    before = written;
    fleet.loop.runFor(200ms);
  } while (written == 0 || written != before);
  CHECK(written < kMaxAhead);
  // The caller gets the rest once it reads again.
  std::size_t received = 0;
  REQUIRE(fleet.loop.runUntil([&] {
    received += caller.readAvailable().size();
    return received > 2 * kMaxAhead;
  }));
  over = true;
  CHECK(fleet.call("/a/x", "other").status == 200);
}

}  // namespace
}  // namespace ferryrock::platform
