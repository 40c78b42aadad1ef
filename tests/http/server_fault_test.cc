#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "common/error.h"
#include "http/fixture.h"
#include "http/http.h"
#include "http/raw_peer.h"

namespace ferryrock::http {
namespace {

constexpr std::size_t kBodyLimit = 1000;

/// A server that leaves responses to "/wait" to the test and echoes all other requests.
struct EchoServer {
  explicit EchoServer(ServerSettings settings = {}) {
    settings.max_body_bytes = kBodyLimit;
    settings.refusal_headers = [] { return Headers{{"X-Refused-By", "server"}}; };
    server =
        createServer(loop.dispatcher(), settings, [this](const Request& request, ResponseWriterPtr writer) {
          ++handled;
          if (request.path == "/wait") {
            waiting = std::move(writer);
          } else {
            writer->respond(200, {},
                            "echo " + request.path + " " + std::to_string(request.body.size()) + ";");
          }
        });
  }

  /// Sends raw bytes and returns the received bytes until the text appears or the connection ends.
  std::string exchange(RawConnection& peer, std::string_view bytes, std::string_view until) {
    peer.write(bytes);
    std::string answer;
    CHECK(loop.runUntil([&] {
      answer += peer.readAvailable();
      return peer.ended() || (!until.empty() && answer.find(until) != std::string::npos);
    }));
    return answer;
  }

  Loop loop;
  int handled = 0;
  ResponseWriterPtr waiting;
  std::unique_ptr<Server> server;
};

struct MalformedCase {
  std::string name;
  std::string bytes;
  bool closes_sending = false;
};

TEST_CASE("malformed requests never reach the handler, and the server stays available") {
  const auto fault = GENERATE(values<MalformedCase>({
      {"garbage", "\x01\x02\x03\x04\r\n\r\n"},
      {"no version", "GET /\r\n\r\n"},
      {"unknown version", "GET / HTTP/9.9\r\n\r\n"},
      {"length not a number", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n"},
      {"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
      {"length beyond 64 bits",
       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n"},
      {"broken chunk size",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n"},
      {"chunk longer than its size",
       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n"},
      {"oversized header", "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(100'000, 'x') + "\r\n\r\n"},
      {"body cut", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf", true},
      {"headers cut", "POST / HTTP/1.1\r\nHost", true},
  }));
  INFO(fault.name);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  if (fault.closes_sending) {
    peer.write(fault.bytes);
    peer.closeSending();
  }
  const std::string answer = echo.exchange(peer, fault.closes_sending ? "" : fault.bytes, "");
  CHECK((answer.empty() || answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 5")));
  CHECK(echo.handled == 0);
  RawConnection next = RawConnection::connect(echo.server->port());
  CHECK(echo.exchange(next, "GET /next HTTP/1.1\r\nHost: a\r\n\r\n", "echo /next 0;")
            .starts_with("HTTP/1.1 200"));
}

struct BodyCase {
  std::string name;
  std::string headers;
  std::string body;
  bool accepted;
};

TEST_CASE("bodies over the limit are rejected with 413 and the result code") {
  const std::string chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
  const auto example = GENERATE_COPY(values<BodyCase>({
      {"at the limit", "Content-Length: 1000\r\n\r\n", std::string(1000, 'x'), true},
      {"one over", "Content-Length: 1001\r\n\r\n", std::string(1001, 'x'), false},
      {"far over", "Content-Length: 5000000\r\n\r\n", std::string(5'000'000, 'x'), false},
      {"announced only", "Content-Length: 1001\r\nExpect: 100-continue\r\n\r\n", "", false},
      {"announced beyond what is discarded", "Content-Length: 99999999999\r\n\r\n", "", false},
      {"chunked at the limit", "Transfer-Encoding: chunked\r\n\r\n", chunk + chunk + "0\r\n\r\n", true},
      {"chunked over", "Transfer-Encoding: chunked\r\n\r\n", chunk + chunk + chunk + "0\r\n\r\n", false},
  }));
  INFO(example.name);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  std::thread sender([&] { peer.write("POST /b HTTP/1.1\r\nHost: a\r\n" + example.headers + example.body); });
  std::string answer;
  const std::string_view last = example.accepted ? "echo /b 1000;" : "}}";
  CHECK(echo.loop.runUntil([&] { return (answer += peer.readAvailable()).find(last) != std::string::npos; }));
  sender.join();
  CHECK(echo.handled == (example.accepted ? 1 : 0));
  if (!example.accepted) {
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(answer.find("\"code\":1002") != std::string::npos);
    CHECK(answer.find("X-Refused-By: server") != std::string::npos);
  }
}

TEST_CASE("one connection serves sequential and pipelined requests in order") {
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  const std::string one = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string two = "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
  CHECK(echo.exchange(peer, one, "echo /1 0;").starts_with("HTTP/1.1 200"));
  const std::string both = echo.exchange(peer, two + one, "echo /1 0;");
  CHECK(both.find("echo /2 3;") < both.find("echo /1 0;"));
  CHECK(echo.handled == 3);
  CHECK_FALSE(peer.ended());
}

TEST_CASE("a pipelined request is answered after the pending request before it") {
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  echo.loop.runFor(std::chrono::milliseconds(20));
  CHECK(echo.handled == 1);
  echo.waiting->respond(200, {}, "waited;");
  const std::string both = echo.exchange(peer, "", "echo /1 0;");
  CHECK(both.find("waited;") < both.find("echo /1 0;"));
}

struct DisconnectCase {
  std::string name;
  bool streaming;
  std::function<void(RawConnection&)> disconnect;
};

TEST_CASE(
    "a peer that disconnects before the response ends is reported once, and further writes have no effect") {
  const auto example = GENERATE(values<DisconnectCase>({
      {"closes while it waits", false, [](RawConnection& peer) { peer.close(); }},
      {"resets while it waits", false, [](RawConnection& peer) { peer.reset(); }},
      {"half closes while it waits", false, [](RawConnection& peer) { peer.closeSending(); }},
      {"closes behind another request", false,
       [](RawConnection& peer) {
         peer.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
         peer.close();
       }},
      {"closes in mid-stream", true, [](RawConnection& peer) { peer.close(); }},
      {"resets in mid-stream", true, [](RawConnection& peer) { peer.reset(); }},
      {"half closes in mid-stream", true, [](RawConnection& peer) { peer.closeSending(); }},
  }));
  INFO(example.name);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  int closed = 0;
  echo.waiting->onClosed([&] { ++closed; });
  if (example.streaming) {
    echo.waiting->start(200, {});
    echo.waiting->write("piece");
    std::string seen;
    REQUIRE(echo.loop.runUntil(
        [&] { return (seen += peer.readAvailable()).find("piece") != std::string::npos; }));
  }
  CHECK(closed == 0);
  example.disconnect(peer);
  REQUIRE(echo.loop.runUntil([&] { return closed > 0; }));
  echo.waiting->write("more");
  echo.waiting->finish();
  echo.waiting->respond(200, {}, "late");
  CHECK(echo.loop.runUntil([&] { return echo.server->openConnections() == 0; }));
  CHECK(closed == 1);
}

TEST_CASE("onClosed is called even if set after the peer has disconnected") {
  EchoServer echo;
  {
    RawConnection peer = RawConnection::connect(echo.server->port());
    peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  }
  REQUIRE(echo.loop.runUntil([&] { return echo.server->openConnections() == 0; }));
  bool closed = false;
  echo.waiting->onClosed([&] { closed = true; });
  CHECK(echo.loop.runUntil([&] { return closed; }));
}

TEST_CASE("bufferedBytes grows for a slow reader, and onDrained is called once it has caught up") {
  constexpr std::size_t kTotal = 32 << 20;
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port(), 4096);
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  int drained = 0;
  echo.waiting->start(200, {});
  echo.loop.runFor(std::chrono::milliseconds(5));
  echo.waiting->onDrained([&] { ++drained; });
  echo.waiting->write(std::string(kTotal, 'x'));
  echo.loop.runFor(std::chrono::milliseconds(50));
  CHECK(echo.waiting->bufferedBytes() > kTotal / 2);
  CHECK(drained == 0);
  std::size_t read = 0;
  REQUIRE(echo.loop.runUntil([&] {
    read += peer.readAvailable().size();
    return drained > 0;
  }));
  CHECK(echo.waiting->bufferedBytes() == 0);
  echo.waiting->finish();
  std::string tail;
  CHECK(echo.loop.runUntil([&] {
    tail = (tail + peer.readAvailable());
    return tail.ends_with("0\r\n\r\n");
  }));
}

TEST_CASE("an aborted stream ends without the last chunk, or with a reset for HTTP/1.0") {
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  INFO(version);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait " + version + "\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  echo.waiting->start(200, {});
  echo.waiting->write("half");
  std::string seen;
  REQUIRE(
      echo.loop.runUntil([&] { return (seen += peer.readAvailable()).find("half") != std::string::npos; }));
  echo.waiting->abort();
  seen += echo.exchange(peer, "", "");
  CHECK(peer.ended());
  CHECK(peer.wasReset() == (version == "HTTP/1.0"));
  CHECK_FALSE(seen.ends_with("0\r\n\r\n"));
}

TEST_CASE("a destroyed writer sends a 500 response or aborts a started stream") {
  const bool streaming = GENERATE(false, true);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  if (streaming) {
    echo.waiting->start(200, {});
    echo.waiting->write("half");
  }
  echo.waiting.reset();
  const std::string answer = echo.exchange(peer, "", streaming ? "" : "}}");
  CHECK(answer.starts_with(streaming ? "HTTP/1.1 200" : "HTTP/1.1 500"));
  CHECK(peer.ended() == streaming);
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("an exception thrown by the handler results in a 500 response, and the server stays available") {
  Loop loop;
  const auto server = createServer(loop.dispatcher(), {}, [](const Request&, const ResponseWriterPtr&) {
    throw std::runtime_error("fault of a handler");
  });
  const auto client = createClient(loop.dispatcher());
  for (int i = 0; i < 2; ++i) {
    CallRecord record;
    const auto call = client->send(makeRequest("GET", urlOf(server->port(), "/")), recordInto(record));
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    CHECK(record.status == 500);
    CHECK(record.body.find("\"code\":9001") != std::string::npos);
    CHECK(record.body.find("fault of a handler") == std::string::npos);
  }
}

TEST_CASE(
    "after stopListening a request in flight is answered and its connection closed, new connections are "
    "refused") {
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  CHECK(echo.server->openRequests() == 1);
  echo.server->stopListening();
  CHECK_THROWS(RawConnection::connect(echo.server->port()));
  echo.waiting->respond(200, {}, "answer;");
  const std::string answer = echo.exchange(peer, "", "");
  CHECK(answer.ends_with("answer;"));
  CHECK(peer.ended());
  CHECK(echo.server->openRequests() == 0);
}

TEST_CASE("destroying the server aborts open requests, and their writers may still be used") {
  const bool streaming = GENERATE(false, true);
  EchoServer echo;
  RawConnection peer = RawConnection::connect(echo.server->port());
  peer.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  if (streaming) {
    echo.waiting->start(200, {});
    echo.waiting->write("half");
  }
  echo.server.reset();
  echo.waiting->write("more");
  echo.waiting->respond(200, {}, "late");
  echo.waiting.reset();
  const std::string answer = echo.exchange(peer, "", "");
  CHECK(peer.ended());
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("binding an address in use fails unless the port is shared") {
  Loop loop;
  const auto ignore = [](const Request&, const ResponseWriterPtr&) {};
  ServerSettings settings;
  settings.reuse_port = GENERATE(false, true);
  const auto first = createServer(loop.dispatcher(), settings, ignore);
  settings.port = first->port();
  if (settings.reuse_port) {
    CHECK(createServer(loop.dispatcher(), settings, ignore)->port() == first->port());
    return;
  }
  try {
    createServer(loop.dispatcher(), settings, ignore);
    FAIL("the port was bound twice");
  } catch (const Error& error) {
    CHECK(error.code() == ResultCode::AddressInUse);
    CHECK(error.detail().find(std::to_string(first->port())) != std::string::npos);
  }
}

TEST_CASE("the idle timeout closes an idle connection but not one that waits for its response") {
  ServerSettings settings;
  settings.idle_timeout = std::chrono::seconds(1);
  EchoServer echo(settings);
  RawConnection idle = RawConnection::connect(echo.server->port());
  RawConnection waits = RawConnection::connect(echo.server->port());
  waits.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(echo.loop.runUntil([&] { return echo.waiting != nullptr; }));
  echo.exchange(idle, "GET /1 HTTP/1.1\r\n", "");
  CHECK(idle.ended());
  echo.loop.runFor(std::chrono::seconds(1));
  echo.waiting->respond(200, {}, "waited;");
  CHECK(echo.exchange(waits, "", "waited;").starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace ferryrock::http
