#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "common/error.h"
#include "http/fixture.h"
#include "http/raw_peer.h"
#include "http/response_cases.h"

/// Both clients against peers that write any bytes: a response is passed on only if HTTP leaves one reading
/// of it.
namespace ferryrock::http {
namespace {

using namespace std::chrono_literals;

/// Writes the text as the response to each request, and keeps the connection if the text doesn't end with it.
ScriptedServer::Script answering(const std::string& text, bool closes) {
  return [text, closes](RawConnection& connection, int) {
    while (!connection.readRequest().empty()) {
      connection.write(text);
      if (closes) {
        return;
      }
    }
  };
}

CallRecord ask(Loop& loop, Client& client, std::uint16_t port) {
  ClientRequest request = makeRequest("GET", urlOf(port, "/"));
  request.total_timeout = 300ms;
  CallRecord record;
  const auto call = client.send(std::move(request), recordInto(record));
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  return record;
}

TEST_CASE("a response that HTTP forbids fails its call, and its connection isn't used again") {
  for (const bool closes : {true, false}) {
    for (const ResponseCase& given : brokenResponses()) {
      INFO(given.name << (closes ? ", then closed" : ", then kept"));
      const ScriptedServer peer(answering(given.text(), closes));
      Loop loop;
      const auto client = createClient(loop.dispatcher());
      const CallRecord record = ask(loop, *client, peer.port());
      CHECK_FALSE(record.complete);
      CHECK(record.failure.value_or(SendProgress::NotSent) != SendProgress::NotSent);
      CHECK_FALSE(record.reason.empty());
      ask(loop, *client, peer.port());
      CHECK(peer.connections() == 2);
    }
  }
}

TEST_CASE("a connection that holds more bytes than the response announces isn't used again") {
  const bool at_once = GENERATE(true, false);
  const ScriptedServer peer([at_once](RawConnection& connection, int) {
    connection.readRequest();
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" + std::string(at_once ? "de" : ""));
    std::this_thread::sleep_for(20ms);
    connection.write(at_once ? "" : "de");
    connection.readUntil("never");
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  CHECK(ask(loop, *client, peer.port()).body == "abc");
  loop.runFor(50ms);
  ask(loop, *client, peer.port());
  CHECK(peer.connections() == 2);
}

TEST_CASE("a blocking call throws for a response that HTTP forbids") {
  for (const ResponseCase& given : brokenResponses()) {
    INFO(given.name);
    const ScriptedServer peer(answering(given.text(), true));
    ClientRequest request = makeRequest("GET", urlOf(peer.port(), "/"));
    request.total_timeout = 300ms;
    CHECK_THROWS_AS(blockingCall(request), Error);
  }
}

TEST_CASE("a response that HTTP allows is passed on whole, however odd") {
  for (const ResponseCase& given : oddSoundResponses()) {
    INFO(given.name);
    const ScriptedServer peer(answering(given.text(), true));
    Loop loop;
    const auto client = createClient(loop.dispatcher());
    const CallRecord record = ask(loop, *client, peer.port());
    CHECK(record.complete);
    CHECK(record.body == kCaseBody);
    const ClientResponse response = blockingCall(makeRequest("GET", urlOf(peer.port(), "/")));
    CHECK(response.body == kCaseBody);
    CHECK(response.status == record.status);
  }
}

TEST_CASE("the reason of a failed call names the line of the head that is wrong") {
  struct Case {
    std::string line;
    std::string reason;
  };
  const Case cases[] = {
      {"X Odd: 1",
       "line 2 of the response's head has a byte that no header name may hold at column 2: 'X Odd: 1'"},
      {"X-Odd: \x01\xff",
       R"(line 2 of the response's head has a control byte in the value at column 8: 'X-Odd: \x01\xFF')"},
      {"Content-Length: " + std::string(100, '7'),
       "line 2 of the response's head has a length that isn't a whole number of bytes: 'Content-Length: " +
           std::string(44, '7') + "'..."},
  };
  for (const Case& given : cases) {
    const ScriptedServer peer(answering("HTTP/1.1 200 OK\r\n" + given.line + "\r\n\r\n", true));
    Loop loop;
    const auto client = createClient(loop.dispatcher());
    CHECK(ask(loop, *client, peer.port()).reason == given.reason);
  }
}

TEST_CASE("a response that ends within a head is no response, wherever it ends") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& before : {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n")}) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      INFO(before << head.substr(0, length));
      const ScriptedServer peer(answering(before + head.substr(0, length), true));
      Loop loop;
      const auto client = createClient(loop.dispatcher());
      CHECK_FALSE(ask(loop, *client, peer.port()).complete);
      CHECK_THROWS_AS(blockingCall(makeRequest("GET", urlOf(peer.port(), "/"))), Error);
    }
  }
}

TEST_CASE("a blocking call gives up a response without end") {
  constexpr std::size_t kLimit = std::size_t{1} << 20;
  constexpr std::size_t kSocketBuffers = std::size_t{16} << 20;
  const std::string piece =
      GENERATE(as<std::string>{}, "HTTP/1.1 102 Processing\r\nName: value\r\n\r\n", "Name: v\r\n", "x");
  const std::string begin = piece == "x"                ? "HTTP/1.1 200 OK\r\n\r\n"
                            : piece.starts_with("HTTP") ? ""
                                                        : "HTTP/1.1 200 OK\r\n";
  std::string bytes;
  while (bytes.size() < 16'384) {
    bytes += piece;
  }
  std::atomic<std::size_t> written = 0;
  {
    const ScriptedServer peer([&](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(begin);
      written = connection.writeUntilClosed(bytes, 4 * kSocketBuffers);
    });
    ClientRequest request = makeRequest("GET", urlOf(peer.port(), "/"));
    request.max_body_bytes = kLimit;
    CHECK_THROWS_AS(blockingCall(request), Error);
  }
  CHECK(written < kLimit + kSocketBuffers);
}

}  // namespace
}  // namespace ferryrock::http
