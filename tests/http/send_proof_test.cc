#include <catch2/catch.hpp>
#include <future>
#include <string>

#include "http/blocked_send.h"
#include "http/fixture.h"
#include "http/raw_peer.h"

/// A request is reported as not sent only if no byte of it has left the process.
namespace ferryrock::http {
namespace {

constexpr std::string_view kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_CASE("A request whose first write found no room in the socket isn't reported as not sent") {
  const std::string method = GENERATE("GET", "POST");
  const bool pooled = GENERATE(false, true);
  INFO(method << (pooled ? " on a pooled connection" : " on a new connection"));
  std::promise<std::string> received;
  const ScriptedServer peer([&](RawConnection& connection, int number) {
    if (pooled) {
      connection.readRequest();
      connection.write(kCompleteResponse);
    }
    const std::string request = connection.readRequest();
    if (number == 1) {
      received.set_value(request);
    }
    connection.reset();
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  if (pooled) {
    CallRecord first;
    const auto call = client->send(makeRequest("GET", urlOf(peer.port(), "/first")), recordInto(first));
    REQUIRE(loop.runUntil([&] { return first.ended(); }));
  }
  const BlockedSend blocked("/second");
  CallRecord second;
  const auto call = client->send(
      makeRequest(method, urlOf(peer.port(), "/second"), method == "POST" ? "body" : ""), recordInto(second));
  REQUIRE(loop.runUntil([&] { return second.ended(); }));
  REQUIRE(BlockedSend::happened());
  REQUIRE(received.get_future().get().find("/second") != std::string::npos);
  CHECK(second.failure == SendProgress::MaybeSent);
}

}  // namespace
}  // namespace ferryrock::http
