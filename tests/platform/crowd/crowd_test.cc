#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "platform/crowd/small_cell.h"

/// Crowds of clients that stop short of the end of what they send, don't read, or say nothing, against the
/// system's own processes. Each process must live, stay within the memory of its machine, keep descriptors
/// spare, and answer an ordinary request on each of its ports while the crowd stays and after it has left.
namespace ferryrock::crowd {
namespace {

/// Clients of a crowd that costs memory: twice as many whole bodies as the largest machine of the test holds.
constexpr int kClients = 120;
/// Clients of a crowd that costs descriptors: more than a process has.
constexpr int kManyClients = 1'300;

std::string head(const std::string& path, const std::string& framing) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd-#\r\nX-Deadline-Ms: 20000\r\n" + framing +
         "\r\n\r\n";
}

/// A body of the largest size with its length announced, less its last byte.
Behaviour almostWholeBody(const std::string& path) {
  constexpr std::size_t kPiece = std::size_t{64} << 10;
  Behaviour behaviour;
  behaviour.head = head(path, "Content-Length: " + std::to_string(kLargestBody));
  behaviour.piece = std::string(kPiece, 'b');
  behaviour.pieces = kLargestBody / kPiece - 1;
  behaviour.end = std::string(kPiece - 1, 'b');
  return behaviour;
}

/// A body in chunks of 64 KiB, less the chunk that ends it.
Behaviour almostWholeChunks(const std::string& path) {
  constexpr std::size_t kChunk = std::size_t{64} << 10;
  Behaviour behaviour;
  behaviour.head = head(path, "Transfer-Encoding: chunked");
  behaviour.piece = "10000\r\n" + std::string(kChunk, 'b') + "\r\n";
  behaviour.pieces = kLargestBody / kChunk;
  return behaviour;
}

/// A body in chunks of 16 bytes, less the chunk that ends it.
Behaviour smallChunks(const std::string& path) {
  constexpr std::size_t kBody = std::size_t{2} << 20;
  constexpr std::size_t kChunk = 16;
  constexpr std::size_t kChunksInPiece = 1024;
  Behaviour behaviour;
  behaviour.head = head(path, "Transfer-Encoding: chunked");
  for (std::size_t i = 0; i < kChunksInPiece; ++i) {
    behaviour.piece += "10\r\n" + std::string(kChunk, 'b') + "\r\n";
  }
  behaviour.pieces = kBody / (kChunk * kChunksInPiece);
  return behaviour;
}

/// Most of a body at once, then a byte now and then.
Behaviour drippingBody(const std::string& path) {
  Behaviour behaviour = almostWholeBody(path);
  constexpr std::size_t kRest = 4096;
  behaviour.end.resize(behaviour.end.size() - kRest);
  behaviour.drip = "b";
  return behaviour;
}

Behaviour halfHead(const std::string& path) {
  Behaviour behaviour;
  behaviour.head = "POST " + path + " HTTP/1.1\r\nHost: shop.exa";
  return behaviour;
}

/// Half a head whose last field grows by a byte now and then.
Behaviour drippingHead(const std::string& path) {
  Behaviour behaviour = halfHead(path);
  behaviour.drip = "x";
  return behaviour;
}

Behaviour silent() {
  return {};
}

/// Many whole requests on each connection, whose answers nobody reads.
Behaviour pipelined(const std::string& request) {
  constexpr std::size_t kRequests = 4000;
  Behaviour behaviour;
  behaviour.piece = request;
  behaviour.pieces = kRequests;
  behaviour.reads_answers = false;
  return behaviour;
}

Behaviour wholeBody(const std::string& path) {
  Behaviour behaviour = almostWholeBody(path);
  behaviour.end += 'b';
  return behaviour;
}

/// A whole body that is one list, of many empty lists.
Behaviour emptyLists(const std::string& path) {
  constexpr std::size_t kLists = 1024;
  Behaviour behaviour;
  for (std::size_t i = 0; i < kLists; ++i) {
    behaviour.piece += "[],";
  }
  behaviour.pieces = kLargestBody / behaviour.piece.size();
  behaviour.end = "[]]";
  const std::size_t bytes = 1 + behaviour.pieces * behaviour.piece.size() + behaviour.end.size();
  behaviour.head = head(path, "Content-Length: " + std::to_string(bytes)) + "[";
  return behaviour;
}

/// A whole body of lists within lists, none of which ends.
Behaviour nestedLists(const std::string& path) {
  constexpr std::size_t kLists = std::size_t{64} << 10;
  Behaviour behaviour;
  behaviour.head = head(path, "Content-Length: " + std::to_string(kLargestBody));
  behaviour.piece = std::string(kLists, '[');
  behaviour.pieces = kLargestBody / kLists;
  return behaviour;
}

void checkProcess(ChildProcess& process, const ProcessLimits& limits, std::size_t unread_bytes) {
  const std::string end = process.endText();
  INFO("the process has ended: " << end);
  REQUIRE(end.empty());
  INFO("unread: " << unread_bytes);
  CHECK(process.peakMemoryBytes() + unread_bytes <= limits.memory_bytes);
  CHECK(process.openDescriptors() < limits.descriptors);
}

void checkRouterServes(SmallCell& cell) {
  CHECK(cell.call() == 200);
  CHECK(cell.askReady() == 200);
}

void checkMemberServes(SmallCell& cell) {
  CHECK(cell.askCatalog() == 200);
  CHECK(cell.askDirectory() == 200);
}

/// Plays a crowd against a port of the router.
void checkRouter(SmallCell& cell, const Address& address, int clients, const Behaviour& behaviour) {
  {
    const Crowd crowd(address, clients, behaviour);
    crowd.waitUntilSent();
    checkProcess(cell.router(), kRouterLimits, crowd.mostUnreadBytes());
    checkRouterServes(cell);
    checkProcess(cell.router(), kRouterLimits, crowd.mostUnreadBytes());
  }
  checkRouterServes(cell);
  checkProcess(cell.router(), kRouterLimits, 0);
}

/// Plays a crowd against a port of the control member.
void checkMember(SmallCell& cell, const Address& address, int clients, const Behaviour& behaviour) {
  {
    const Crowd crowd(address, clients, behaviour);
    crowd.waitUntilSent();
    checkProcess(cell.member(), kMemberLimits, crowd.mostUnreadBytes());
    checkMemberServes(cell);
    checkProcess(cell.member(), kMemberLimits, crowd.mostUnreadBytes());
  }
  checkMemberServes(cell);
  checkProcess(cell.member(), kMemberLimits, 0);
}

/// Signals come in series: reloads, a planned stop, and both again while it stops.
void checkStops(ChildProcess& process) {
  constexpr int kReloads = 3;
  constexpr auto kPause = std::chrono::milliseconds(50);
  for (int i = 0; i < kReloads; ++i) {
    process.signal(SIGHUP);
    std::this_thread::sleep_for(kPause);
  }
  for (const int signal : {SIGTERM, SIGHUP, SIGTERM}) {
    process.signal(signal);
  }
  constexpr int kPauses = 600;  // many times the longest stop
  for (int i = 0; i < kPauses && process.isRunning(); ++i) {
    std::this_thread::sleep_for(kPause);
  }
  CHECK(process.endText() == "exit code 0");
}

constexpr const char* kCallPath = "/a/x";
constexpr const char* kReplacePath = "/v1/config/replace";
constexpr const char* kSmallCall =
    "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: p\r\nContent-Length: 1\r\n\r\nb";

TEST_CASE("calls: bodies that stop a byte short of their length") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kClients, almostWholeBody(kCallPath));
}

TEST_CASE("calls: bodies that stop short of their length and come again when refused") {
  SmallCell cell;
  Behaviour behaviour = almostWholeBody(kCallPath);
  behaviour.returns = 3;
  checkRouter(cell, cell.calls(), kClients, behaviour);
}

TEST_CASE("calls: large chunks without the last") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kClients, almostWholeChunks(kCallPath));
}

TEST_CASE("calls: small chunks without the last") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kClients, smallChunks(kCallPath));
}

TEST_CASE("calls: bodies that go on by a byte now and then") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kClients, drippingBody(kCallPath));
}

TEST_CASE("calls: ten crowds of bodies in turn") {
  SmallCell cell;
  constexpr int kCrowds = 10;
  for (int i = 0; i < kCrowds; ++i) {
    checkRouter(cell, cell.calls(), kClients / 2, almostWholeBody(kCallPath));
  }
}

TEST_CASE("calls: whole bodies whose replica doesn't answer") {
  SmallCell cell([](platform::RawReplica::Arrival& arrival) {
    if (arrival.id.starts_with("crowd")) {
      arrival.connection.readUntil("never");
      return false;
    }
    arrival.connection.write(platform::responseText(200, arrival.id, "X-Server-Seal: s\r\n", "answer"));
    return true;
  });
  checkRouter(cell, cell.calls(), kClients, wholeBody(kCallPath));
}

TEST_CASE("calls: large answers whose callers don't read") {
  SmallCell cell([](platform::RawReplica::Arrival& arrival) {
    const bool large = arrival.id.starts_with("crowd");
    arrival.connection.write(platform::responseText(200, arrival.id, "X-Server-Seal: s\r\n",
                                                    std::string(large ? kLargestBody : 6, 'a')));
    return true;
  });
  Behaviour behaviour;
  behaviour.head = head(kCallPath, "Content-Length: 1") + "b";
  behaviour.reads_answers = false;
  checkRouter(cell, cell.calls(), kClients, behaviour);
}

TEST_CASE("calls: many requests on a connection whose answers aren't read") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kClients, pipelined(kSmallCall));
}

TEST_CASE("calls: more silent connections than descriptors") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kManyClients, silent());
}

TEST_CASE("calls: more half heads than descriptors") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kManyClients, halfHead(kCallPath));
}

TEST_CASE("calls: more heads that go on by a byte now and then than descriptors") {
  SmallCell cell;
  checkRouter(cell, cell.calls(), kManyClients, drippingHead(kCallPath));
}

TEST_CASE("relay: bodies that stop a byte short of their length") {
  SmallCell cell;
  checkRouter(cell, cell.relay(), kClients, almostWholeBody(kCallPath));
}

TEST_CASE("relay: large chunks without the last") {
  SmallCell cell;
  checkRouter(cell, cell.relay(), kClients, almostWholeChunks(kCallPath));
}

TEST_CASE("relay: more half heads than descriptors") {
  SmallCell cell;
  checkRouter(cell, cell.relay(), kManyClients, halfHead(kCallPath));
}

TEST_CASE("status: more silent connections than descriptors") {
  SmallCell cell;
  checkRouter(cell, cell.status(), kManyClients, silent());
}

TEST_CASE("status: bodies that stop a byte short of their length") {
  SmallCell cell;
  checkRouter(cell, cell.status(), kClients, almostWholeBody("/v1/ready"));
}

TEST_CASE("all ports of a router: half heads, more than descriptors together") {
  SmallCell cell;
  constexpr int kEach = kManyClients / 2;
  const Crowd calls(cell.calls(), kEach, halfHead(kCallPath));
  const Crowd relay(cell.relay(), kEach, halfHead(kCallPath));
  checkRouter(cell, cell.status(), kEach, halfHead("/v1/ready"));
}

TEST_CASE("control: bodies that stop a byte short of their length") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients, almostWholeBody(kReplacePath));
}

TEST_CASE("control: large chunks without the last") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients, almostWholeChunks(kReplacePath));
}

TEST_CASE("control: small chunks without the last") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients, smallChunks(kReplacePath));
}

TEST_CASE("control: more half heads than descriptors") {
  SmallCell cell;
  checkMember(cell, cell.control(), kManyClients, halfHead(kReplacePath));
}

TEST_CASE("control: more silent connections than descriptors") {
  SmallCell cell;
  checkMember(cell, cell.control(), kManyClients, silent());
}

TEST_CASE("control: bodies of many empty lists") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients, emptyLists(kReplacePath));
}

TEST_CASE("control: bodies of lists within lists") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients, nestedLists(kReplacePath));
}

TEST_CASE("control: many requests on a connection whose answers aren't read") {
  SmallCell cell;
  checkMember(cell, cell.control(), kClients,
              pipelined("GET /v1/config/get HTTP/1.1\r\nHost: core.example\r\n\r\n"));
}

TEST_CASE("directory: more half heads than descriptors") {
  SmallCell cell;
  checkMember(cell, cell.directory(), kManyClients, halfHead("/v1/resolve"));
}

TEST_CASE("directory: bodies that stop a byte short of their length") {
  SmallCell cell;
  checkMember(cell, cell.directory(), kClients, almostWholeBody("/v1/resolve"));
}

TEST_CASE("internal port: more silent connections than descriptors") {
  SmallCell cell;
  checkMember(cell, cell.internal(), kManyClients, silent());
}

TEST_CASE("calls: a planned stop beside bodies that go on by a byte now and then") {
  SmallCell cell;
  const Crowd crowd(cell.calls(), kClients, drippingBody(kCallPath));
  crowd.waitUntilSent();
  checkStops(cell.router());
}

TEST_CASE("calls: a planned stop beside more heads that go on than descriptors") {
  SmallCell cell;
  const Crowd crowd(cell.calls(), kManyClients, drippingHead(kCallPath));
  crowd.waitUntilSent();
  checkStops(cell.router());
}

TEST_CASE("calls: a planned stop beside answers that aren't read") {
  SmallCell cell;
  const Crowd crowd(cell.calls(), kClients, pipelined(kSmallCall));
  crowd.waitUntilSent();
  checkStops(cell.router());
}

TEST_CASE("control: a planned stop beside large chunks without the last") {
  SmallCell cell;
  const Crowd crowd(cell.control(), kClients, almostWholeChunks(kReplacePath));
  crowd.waitUntilSent();
  checkStops(cell.member());
}

}  // namespace
}  // namespace ferryrock::crowd
