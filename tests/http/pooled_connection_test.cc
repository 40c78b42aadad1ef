#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "http/fixture.h"
#include "http/raw_peer.h"

/// Bytes that a peer sends beyond the answer to a request are no part of another request's answer.
namespace ferryrock::http {
namespace {

using namespace std::chrono_literals;

std::string responseWith(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("A surplus response on an idle connection isn't taken for the next request's") {
  const std::string surplus = GENERATE("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "x");
  const std::string method = GENERATE("GET", "POST");
  std::atomic<bool> surplus_sent = false;
  std::atomic<bool> reused = false;
  const ScriptedServer peer([&](RawConnection& connection, int number) {
    connection.readRequest();
    connection.write(responseWith("answer " + std::to_string(number)));
    if (number == 1) {
      std::this_thread::sleep_for(10ms);
      connection.write(surplus);
      surplus_sent = true;
      reused = !connection.readRequest().empty();
    }
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  CallRecord first;
  const auto first_call = client->send(makeRequest("GET", urlOf(peer.port(), "/first")), recordInto(first));
  REQUIRE(loop.runUntil([&] { return first.ended(); }));
  CHECK(first.body == "answer 1");
  REQUIRE(loop.runUntil([&] { return surplus_sent.load(); }));
  CallRecord second;
  const auto second_call = client->send(
      makeRequest(method, urlOf(peer.port(), "/second"), method == "POST" ? "body" : ""), recordInto(second));
  REQUIRE(loop.runUntil([&] { return second.ended(); }));
  CHECK(second.status == 200);
  CHECK(second.body == "answer 2");
  CHECK_FALSE(reused);
}

TEST_CASE("A request isn't sent on a connection that its peer wrote to first, and is reported as not sent") {
  std::atomic<bool> arrived = false;
  const ScriptedServer peer([&](RawConnection& connection, int) {
    connection.write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
    arrived = arrived || !connection.readRequest().empty();
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  // The peer's bytes arrive before or after the request is sent; its outcome must match.
  for (int i = 0; i < 20; ++i) {
    arrived = false;
    CallRecord record;
    const auto call = client->send(makeRequest("POST", urlOf(peer.port(), "/"), "body"), recordInto(record));
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    loop.runFor(2ms);
    CHECK((record.failure != SendProgress::NotSent || !arrived));
  }
}

}  // namespace
}  // namespace ferryrock::http
