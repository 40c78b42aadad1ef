#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <list>
#include <string>
#include <vector>

#include "http/raw_peer.h"
#include "service_process/relay_fixture.h"

/// Memory of a router while many replicas send answers without end.
namespace ferryrock::service_process {
namespace {

using http::RawConnection;
using http::ScriptedServer;

std::size_t residentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

struct EndlessAnswer {
  std::string name;
  std::string begin;
  std::string piece;
};

TEST_CASE("Answers without end to many calls together fill a bounded part of memory, and others are served") {
  constexpr std::size_t kCalls = 100;
  constexpr std::size_t kPiece = std::size_t{16} << 10;
  const std::string head = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n";
  const std::string bytes(kPiece, 'x');
  const auto given = GENERATE_COPY(values<EndlessAnswer>({
      {"bodies", head + "\r\n", bytes},
      {"bodies in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + bytes + "\r\n"},
      {"events", head + "Content-Type: text/event-stream\r\n\r\n", bytes},
      {"lines of heads", head, "Name: " + bytes + "\r\n"},
  }));
  INFO(given.name);
  std::list<ScriptedServer> endless;
  for (std::size_t i = 0; i < kCalls; ++i) {
    endless.emplace_back([&given](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(given.begin);
      connection.writeUntilClosed(given.piece, 4 * http::kMaxResponseBytes);
    });
  }
  const ScriptedServer sound([](RawConnection& connection, int) {
    while (!connection.readRequest().empty()) {
      connection.write(responseTo("c1"));
    }
  });
  RelayFixture fixture;
  std::vector<const RelayedCall*> calls;
  for (const ScriptedServer& server : endless) {
    calls.push_back(&fixture.startDirect(server.port()));
  }
  ::malloc_trim(0);  // what earlier cases have freed
  const std::size_t before = residentBytes();
  std::size_t most = before;
  int served = 0;
  const RelayedCall* other = &fixture.startDirect(sound.port());
  REQUIRE(fixture.loop.runUntil([&] {
    most = std::max(most, residentBytes());
    if (other->ended()) {
      CHECK(other->response.body == "of c1");
      ++served;
      other = &fixture.startDirect(sound.port());
    }
    return std::all_of(calls.begin(), calls.end(), [](const RelayedCall* call) { return call->ended(); });
  }));
  CHECK(served > 0);
  for (const RelayedCall* call : calls) {
    CHECK(call->failure == calls::AttemptFailure::OutcomeUnknown);
  }
  CHECK(most - before < 2 * kMaxKeptBytes);
}

}  // namespace
}  // namespace ferryrock::service_process
