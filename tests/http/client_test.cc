#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/error.h"
#include "common/random.h"
#include "http/fixture.h"
#include "http/http.h"
#include "http/raw_peer.h"
#include "http/unresponsive_peer_timeouts.h"

namespace ferryrock::http {
namespace {

constexpr std::string_view kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct FaultCase {
  std::string name;
  ScriptedServer::Script script;
  SendProgress progress;
  std::string received;  ///< part of the body that the client receives
};

ScriptedServer::Script afterRequest(const std::function<void(RawConnection&)>& action) {
  return [action](RawConnection& connection, int) {
    connection.readRequest();
    action(connection);
  };
}

std::vector<FaultCase> faultCases() {
  return {
      {"closed without an answer", afterRequest([](RawConnection& c) { c.close(); }), SendProgress::MaybeSent,
       ""},
      {"reset without an answer", afterRequest([](RawConnection& c) { c.reset(); }), SendProgress::MaybeSent,
       ""},
      {"half closed without an answer", afterRequest([](RawConnection& c) {
         c.closeSending();
         c.readUntil("never");
       }),
       SendProgress::MaybeSent, ""},
      {"stalled", afterRequest([](RawConnection& c) { c.readUntil("never"); }), SendProgress::MaybeSent, ""},
      {"garbage for an answer", afterRequest([](RawConnection& c) { c.write("\x01\x02garbage\r\n\r\n"); }),
       SendProgress::MaybeSent, ""},
      {"cut in the status line", afterRequest([](RawConnection& c) { c.write("HTTP/1."); }),
       SendProgress::MaybeSent, ""},
      {"cut in the headers", afterRequest([](RawConnection& c) { c.write("HTTP/1.1 200 OK\r\nContent-Le"); }),
       SendProgress::ResponseStarted, ""},
      {"cut in a body of known length",
       afterRequest([](RawConnection& c) { c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); }),
       SendProgress::ResponseStarted, "half"},
      {"cut between two chunks", afterRequest([](RawConnection& c) {
         c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
       }),
       SendProgress::ResponseStarted, "half"},
      {"reset within a chunk", afterRequest([](RawConnection& c) {
         c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf");
         c.closeSending();
         c.readUntil("never");
       }),
       SendProgress::ResponseStarted, "half"},
      {"stalled in the body", afterRequest([](RawConnection& c) {
         c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
         c.readUntil("never");
       }),
       SendProgress::ResponseStarted, "half"},
      {"broken chunk size", afterRequest([](RawConnection& c) {
         c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nzz\r\n");
       }),
       SendProgress::ResponseStarted, "half"},
  };
}

TEST_CASE("a failed call reports its correct progress, and its request arrives at most once") {
  for (const std::string method : {"GET", "POST", "DELETE"}) {
    for (const FaultCase& fault : faultCases()) {
      INFO(method << " " << fault.name);
      const ScriptedServer peer(fault.script);
      Loop loop;
      const auto client = createClient(loop.dispatcher());
      CallRecord record;
      ClientRequest request = makeRequest(method, urlOf(peer.port(), "/"), method == "POST" ? "body" : "");
      request.total_timeout = std::chrono::milliseconds(200);
      auto call = client->send(request, recordInto(record));
      REQUIRE(loop.runUntil([&] { return record.ended(); }));
      CHECK(record.failure == fault.progress);
      CHECK(record.body == fault.received);
      CHECK_FALSE(record.reason.empty());
      call.reset();
      CHECK(peer.connections() == 1);
    }
  }
}

TEST_CASE("a call whose peer stops reading fails long before the call's own timeout") {
  constexpr std::size_t kMoreThanTheBuffers = std::size_t{64} << 20;
  std::atomic<bool> over = false;
  const ScriptedServer peer([&over](RawConnection& connection, int) {
    connection.readUntil("HTTP/1.1");
    while (!over) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  ClientRequest request = makeRequest("POST", urlOf(peer.port(), "/"), std::string(kMoreThanTheBuffers, 'x'));
  request.total_timeout = std::chrono::seconds(60);
  const auto call = client->send(request, recordInto(record));
  CHECK(loop.runUntil([&] { return record.ended(); }));
  over = true;
  CHECK(record.failure == SendProgress::MaybeSent);
}

TEST_CASE("a receive-only connection is probed and closed if no probe is acknowledged") {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(setUnresponsivePeerTimeouts(socket));
  const auto value = [socket](int level, int name) {
    int set = -1;
    socklen_t length = sizeof set;
    REQUIRE(::getsockopt(socket, level, name, &set, &length) == 0);
    return set;
  };
  CHECK(value(SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(value(IPPROTO_TCP, TCP_KEEPIDLE) + value(IPPROTO_TCP, TCP_KEEPINTVL) <= 2);
  CHECK(value(IPPROTO_TCP, TCP_USER_TIMEOUT) <= 2000);
  ::close(socket);
  CHECK_FALSE(setUnresponsivePeerTimeouts(socket));
}

TEST_CASE("a call that can't connect is reported as not sent") {
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  std::uint16_t refused_port = 0;
  {
    refused_port = ScriptedServer([](RawConnection&, int) {}).port();
  }
  const auto url = GENERATE_COPY(values<std::string>({urlOf(refused_port, "/"), "http://127.0.0.1:notaport/",
                                                      "gopher://127.0.0.1/", "http://name.invalid./"}));
  INFO(url);
  CallRecord record;
  const auto call = client->send(makeRequest("POST", url, "body"), recordInto(record));
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.failure == SendProgress::NotSent);
}

/// A server that responds to the first request of each connection and handles the second one as configured.
struct ReuseCase {
  std::string name;
  std::function<void(RawConnection&)> second;
};

TEST_CASE("a call fails instead of being resent if its pooled connection breaks on reuse") {
  const std::vector<ReuseCase> cases = {
      {"closed after the request was read", [](RawConnection& c) { c.readRequest(); }},
      {"reset after the request was read",
       [](RawConnection& c) {
         c.readRequest();
         c.reset();
       }},
      {"closed after a part of the request was read", [](RawConnection& c) { c.readUntil("HTTP/1.1"); }},
  };
  for (const std::string method : {"GET", "POST", "DELETE", "PUT"}) {
    for (const ReuseCase& reuse : cases) {
      INFO(method << " " << reuse.name);
      const ScriptedServer peer([&reuse](RawConnection& connection, int) {
        connection.readRequest();
        connection.write(kCompleteResponse);
        reuse.second(connection);
      });
      Loop loop;
      const auto client = createClient(loop.dispatcher());
      CallRecord first;
      const auto first_call =
          client->send(makeRequest("GET", urlOf(peer.port(), "/first")), recordInto(first));
      REQUIRE(loop.runUntil([&] { return first.ended(); }));
      REQUIRE(first.complete);
      CallRecord second;
      const std::string body = method == "POST" || method == "PUT" ? std::string(200'000, 'x') : "";
      const auto second_call =
          client->send(makeRequest(method, urlOf(peer.port(), "/second"), body), recordInto(second));
      REQUIRE(loop.runUntil([&] { return second.ended(); }));
      CHECK(second.failure == SendProgress::MaybeSent);
    }
  }
}

TEST_CASE("a call that requests a fresh connection never uses a pooled one") {
  std::vector<std::string> seen;
  std::mutex mutex;
  const ScriptedServer peer([&](RawConnection& connection, int number) {
    const std::string request = connection.readRequest();
    {
      const std::scoped_lock lock(mutex);
      seen.push_back(request.substr(0, request.find(' ', 5)) + " on " + std::to_string(number));
    }
    connection.write(kCompleteResponse);
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  for (const std::string path : {"/a", "/b", "/c"}) {
    ClientRequest request = makeRequest("POST", urlOf(peer.port(), path), "body");
    request.fresh_connection = true;
    CallRecord record;
    const auto call = client->send(request, recordInto(record));
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    CHECK(record.complete);
  }
  CHECK(seen == std::vector<std::string>{"POST /a on 1", "POST /b on 2", "POST /c on 3"});
}

TEST_CASE(
    "no request arrives twice or contrary to its reported progress if connections close around their reuse") {
  constexpr int kCalls = 400;
  std::map<std::string, int> arrivals;
  std::mutex mutex;
  Random random(7);
  const ScriptedServer peer([&](RawConnection& connection, int) {
    const std::uint64_t requests = 1 + random.below(3);
    for (std::uint64_t i = 0; i < requests; ++i) {
      const std::string request = connection.readRequest();
      if (request.empty()) {
        return;
      }
      {
        const std::scoped_lock lock(mutex);
        ++arrivals[request.substr(0, request.find(" HTTP"))];
      }
      if (random.chance(0.2)) {
        break;
      }
      connection.write(kCompleteResponse);
    }
    if (random.chance(0.3)) {
      connection.reset();
    }
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  int complete = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string method = i % 2 == 0 ? "POST" : "GET";
    CallRecord record;
    const auto call = client->send(
        makeRequest(method, urlOf(peer.port(), "/" + std::to_string(i)), method == "POST" ? "body" : ""),
        recordInto(record));
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    const std::scoped_lock lock(mutex);
    const int arrived = arrivals[method + " /" + std::to_string(i)];
    CHECK(arrived <= 1);
    CHECK((record.failure != SendProgress::NotSent || arrived == 0));
    CHECK((!record.complete || arrived == 1));
    complete += record.complete ? 1 : 0;
  }
  CHECK(complete > kCalls / 2);
}

TEST_CASE("destroying a call cancels it: the peer sees a closed connection and no callback follows") {
  std::atomic<bool> peer_saw_end = false;
  const ScriptedServer peer([&](RawConnection& connection, int) {
    connection.readRequest();
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    connection.readUntil("never");
    peer_saw_end = connection.ended();
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  std::unique_ptr<ClientCall> call;
  CallRecord record;
  ClientCallbacks callbacks = recordInto(record);
  bool destroyed = false;
  SECTION("from outside") {
    call = client->send(makeRequest("GET", urlOf(peer.port(), "/")), callbacks);
    REQUIRE(loop.runUntil([&] { return !record.body.empty(); }));
    call.reset();
    destroyed = true;
  }
  SECTION("within the headers callback") {
    callbacks.on_headers = [&](int, const Headers&) {
      call.reset();
      destroyed = true;
    };
    call = client->send(makeRequest("GET", urlOf(peer.port(), "/")), callbacks);
    REQUIRE(loop.runUntil([&] { return destroyed; }));
    CHECK(record.body.empty());
  }
  SECTION("within the data callback") {
    callbacks.on_data = [&](std::string_view) {
      call.reset();
      destroyed = true;
    };
    call = client->send(makeRequest("GET", urlOf(peer.port(), "/")), callbacks);
    REQUIRE(loop.runUntil([&] { return destroyed; }));
  }
  CHECK(loop.runUntil([&] { return peer_saw_end.load(); }));
  CHECK_FALSE(record.ended());
}

TEST_CASE("a call may be sent, and the client destroyed, within callbacks") {
  const ScriptedServer peer([](RawConnection& connection, int) {
    connection.readRequest();
    connection.write(kCompleteResponse);
  });
  Loop loop;
  auto client = createClient(loop.dispatcher());
  std::unique_ptr<ClientCall> second_call;
  bool done = false;
  ClientCallbacks second;
  second.on_complete = [&] {
    client.reset();
    done = true;
  };
  ClientCallbacks first;
  first.on_complete = [&] {
    second_call = client->send(makeRequest("GET", urlOf(peer.port(), "/2")), second);
  };
  const auto first_call = client->send(makeRequest("GET", urlOf(peer.port(), "/1")), first);
  CHECK(loop.runUntil([&] { return done; }));
}

TEST_CASE("a paused call receives a bounded number of bytes and resumes without loss") {
  constexpr std::size_t kTotal = 64 << 20;
  constexpr std::size_t kPausedBound = 4 << 20;
  Loop loop;
  ResponseWriterPtr writer;
  const auto server = createServer(
      loop.dispatcher(), {}, [&](const Request&, ResponseWriterPtr given) { writer = std::move(given); });
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  ClientRequest request = makeRequest("GET", urlOf(server->port(), "/"));
  request.max_body_bytes = 0;
  const auto call = client->send(std::move(request), recordInto(record));
  REQUIRE(loop.runUntil([&] { return writer != nullptr; }));
  writer->start(200, {});
  writer->write("begin");
  REQUIRE(loop.runUntil([&] { return record.body == "begin"; }));
  call->pauseReading();
  writer->write(std::string(kTotal, 'x'));
  loop.runFor(std::chrono::milliseconds(100));
  CHECK(record.body == "begin");
  CHECK(writer->bufferedBytes() > kTotal / 2);
  call->resumeReading();
  REQUIRE(loop.runUntil([&] { return record.body.size() > kPausedBound; }));
  writer->finish();
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.complete);
  CHECK(record.body.size() == kTotal + std::string("begin").size());
}

TEST_CASE("proxies of the environment and redirects are not followed") {
  const ScriptedServer peer([](RawConnection& connection, int) {
    connection.readRequest();
    connection.write("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n");
  });
  REQUIRE(::setenv("http_proxy", "http://127.0.0.1:1", 1) == 0);
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  const auto call = client->send(makeRequest("GET", urlOf(peer.port(), "/")), recordInto(record));
  CHECK(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.status == 302);
  CHECK(record.complete);
  CHECK(peer.connections() == 1);
  REQUIRE(::unsetenv("http_proxy") == 0);
}

TEST_CASE("an interim (1xx) response isn't treated as the final response") {
  const ScriptedServer peer([](RawConnection& connection, int) {
    connection.readRequest();
    connection.write("HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n");
    connection.write(kCompleteResponse);
  });
  Loop loop;
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  const auto call = client->send(makeRequest("GET", urlOf(peer.port(), "/")), recordInto(record));
  CHECK(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.status == 200);
  CHECK_FALSE(findHeader(record.headers, "X-Interim").has_value());
  CHECK(record.body == "ok");
}

TEST_CASE("a blocking call returns the complete response or throws") {
  const ScriptedServer peer([](RawConnection& connection, int number) {
    connection.readRequest();
    if (number == 1) {
      connection.write("HTTP/1.1 404 Not Found\r\nX-A: b\r\nContent-Length: 2\r\n\r\nno");
    }
  });
  const ClientResponse response = blockingCall(makeRequest("GET", urlOf(peer.port(), "/")));
  CHECK(response.status == 404);
  CHECK(response.body == "no");
  CHECK(findHeader(response.headers, "x-a") == "b");
  try {
    blockingCall(makeRequest("GET", urlOf(peer.port(), "/")));
    FAIL("the cut answer was accepted");
  } catch (const Error& error) {
    CHECK(error.code() == ResultCode::PeerUnreachable);
  }
}

}  // namespace
}  // namespace ferryrock::http
