#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

#include "common/error.h"
#include "http/fixture.h"
#include "http/raw_peer.h"
#include "service_process/relay_fixture.h"

/// Tests attempts that one router sends to a replica through the RelayServer of another, over loopback.
namespace ferryrock::service_process {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A relayed call and its response are passed on unchanged") {
  RelayFixture fixture;
  std::vector<http::Request> seen;
  const auto replica =
      fixture.replica([&](const http::Request& request, const http::ResponseWriterPtr& response) {
        seen.push_back(request);
        response->respond(207, {{"Call-Id", "c1"}, {"Seal", "a  b"}}, "the answer");
      });
  const RelayedCall& call = fixture.run(replica->port(), {{"Odd", "a  b"}, {"Host", "shop.example"}});
  REQUIRE(call.answer);
  CHECK(call.answer->status == 207);
  CHECK(call.response.body == "the answer");
  CHECK(http::findHeader(call.response.headers, "Seal") == "a  b");
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].method == "POST");
  CHECK(seen[0].target == "/x?y=%20z");
  CHECK(seen[0].body == "body");
  CHECK(http::findHeader(seen[0].headers, "Odd") == "a  b");
  CHECK(http::findHeader(seen[0].headers, "Host") == "shop.example");
  for (const http::Headers* headers : {&std::as_const(seen[0].headers), &call.response.headers}) {
    CHECK(std::none_of(headers->begin(), headers->end(),
                       [](const http::Header& header) { return header.name.starts_with("Ferryrock"); }));
  }
  CHECK(fixture.reached == 1);
}

TEST_CASE("Relay headers of a caller or of a replica have no effect") {
  RelayFixture fixture;
  const std::uint16_t other = fixture.closedPort();
  const auto replica = fixture.replica([](const http::Request&, const http::ResponseWriterPtr& response) {
    response->respond(200, {{"Call-Id", "c1"}, {"ferryrock-relay-outcome", "not-relayed"}}, "served");
  });
  const RelayedCall& call = fixture.run(
      replica->port(),
      {{"ferryrock-relay-target", "127.0.0.1:" + std::to_string(other)}, {"Ferryrock-Relay-Limit-Ms", "x"}});
  REQUIRE(call.answer);
  CHECK(call.response.body == "served");
}

TEST_CASE("Events of a relayed stream arrive one by one as the replica sends them") {
  RelayFixture fixture;
  http::ResponseWriterPtr writer;
  const auto replica = fixture.replica([&](const http::Request&, const http::ResponseWriterPtr& response) {
    response->start(200, {{"Call-Id", "c1"}, {"Content-Type", "text/event-stream"}});
    writer = response;
  });
  RelayedCall& call = fixture.start(replica->port());
  REQUIRE(fixture.loop.runUntil([&] { return writer != nullptr; }));
  for (std::size_t i = 1; i <= 3; ++i) {
    writer->write("id: " + std::to_string(i) + "\n\n");
    REQUIRE(fixture.loop.runUntil([&] { return call.events.size() == i; }));
  }
  writer->finish();
  REQUIRE(fixture.loop.runUntil([&] { return call.ended(); }));
  CHECK(call.stream_ended);
}

TEST_CASE("A response that breaks off behind a relay is never taken as complete") {
  RelayFixture fixture;
  const auto replica = fixture.replica([](const http::Request&, const http::ResponseWriterPtr& response) {
    response->start(200, {{"Call-Id", "c1"}});
    response->write("half of");
    response->abort();
  });
  CHECK(fixture.run(replica->port()).failure == calls::AttemptFailure::OutcomeUnknown);
}

/// Guards against a crash after the head that was taken for a whole empty answer, behind a relay.
TEST_CASE("A relayed response that ends with the replica's connection is whole unless it was visibly cut") {
  const std::string head = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n";
  const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
  const std::vector<std::pair<std::string, bool>> cases = {
      {stream + "id: 1\n\n", true},
      {stream + "id: 1\n\nid: 2\nda", false},
      {stream, false},
      {head + "\r\nwhole", true},
      {head + "\r\n", false},
  };
  for (const auto& [text, whole] : cases) {
    INFO(text);
    http::ScriptedServer replica([&text = text](http::RawConnection& connection, int) {
      connection.readRequest();
      connection.write(text);
      connection.close();
    });
    RelayFixture fixture;
    CHECK(fixture.run(replica.port()).failure.has_value() != whole);
  }
}

/// Guards against a replica that sends without end and so stops both routers.
TEST_CASE("A relayed response without end fails after a bounded number of bytes at both routers") {
  constexpr std::size_t kSocketBuffers = std::size_t{32} << 20;
  constexpr std::size_t kMaxBytes = http::kMaxResponseBytes + kSocketBuffers;
  const std::string piece(std::size_t{16} << 10, 'x');
  for (const std::string type : {"text/plain", "text/event-stream"}) {
    INFO(type);
    std::atomic<std::size_t> written = 0;
    http::ScriptedServer replica([&](http::RawConnection& connection, int) {
      connection.readRequest();
      connection.write("HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Type: " + type + "\r\n\r\n");
      written = connection.writeUntilClosed(piece, 4 * kMaxBytes);
    });
    RelayFixture fixture;
    CHECK(fixture.run(replica.port()).failure == calls::AttemptFailure::OutcomeUnknown);
    REQUIRE(fixture.loop.runUntil([&] { return written > 0; }));
    CHECK(written < kMaxBytes);
    CHECK(fixture.relay->openAttempts() == 0);
  }
}

TEST_CASE("A relayed call counts as not run only if no byte of it was sent to a replica") {
  RelayFixture fixture;
  const std::uint16_t closed = fixture.closedPort();
  CHECK(fixture.run(closed).failure == calls::AttemptFailure::NotSent);
  CHECK(fixture.unreachable == 1);
  fixture.accepts = false;
  int calls_seen = 0;
  const auto replica = fixture.replica([&](const http::Request&, const http::ResponseWriterPtr& response) {
    ++calls_seen;
    response->respond(200, {{"Call-Id", "c1"}}, "");
  });
  CHECK(fixture.run(replica->port()).failure == calls::AttemptFailure::RelayFailed);
  CHECK(calls_seen == 0);
}

TEST_CASE("A relay that ends while a replica runs the call leaves the outcome unknown") {
  RelayFixture fixture;
  http::ResponseWriterPtr running;
  const auto replica = fixture.replica(
      [&](const http::Request&, const http::ResponseWriterPtr& response) { running = response; });
  RelayedCall& call = fixture.start(replica->port());
  REQUIRE(fixture.loop.runUntil([&] { return running != nullptr; }));
  fixture.relay.reset();
  REQUIRE(fixture.loop.runUntil([&] { return call.ended(); }));
  CHECK(call.failure == calls::AttemptFailure::OutcomeUnknown);
}

TEST_CASE("Cancelling a relayed attempt closes the relay's connection to the replica") {
  RelayFixture fixture;
  bool closed = false;
  http::ResponseWriterPtr running;
  const auto replica = fixture.replica([&](const http::Request&, const http::ResponseWriterPtr& response) {
    running = response;
    response->onClosed([&] { closed = true; });
  });
  fixture.start(replica->port());
  REQUIRE(fixture.loop.runUntil([&] { return running != nullptr; }));
  const auto cancelled_at = std::chrono::steady_clock::now();
  fixture.sender->cancel(calls::AttemptNumber{1});
  REQUIRE(fixture.loop.runUntil([&] { return closed; }));
  CHECK(std::chrono::steady_clock::now() - cancelled_at < 500ms);
  CHECK(fixture.relay->openAttempts() == 0);
}

TEST_CASE(
    "A probe through a relay tells a replica that has terminated from one that this router can't reach") {
  RelayFixture fixture;
  std::vector<calls::ProbeOutcome> outcomes;
  ReplicaProber prober(
      fixture.loop.dispatcher(), *fixture.sender_client, fixture.dialect,
      [&](const ReplicaId&, calls::ProbeOutcome outcome) { outcomes.push_back(outcome); },
      [](const ReplicaId&, const calls::ReplicaNotice&) {});
  const auto probe = [&](std::uint16_t port, bool relayed) {
    const std::size_t before = outcomes.size();
    std::optional<calls::Relay> relay;
    if (relayed) {
      relay = fixture.relayAddress();
    }
    prober.send({ReplicaId("r1"), "127.0.0.1:" + std::to_string(port), relay});
    REQUIRE(fixture.loop.runUntil([&] { return outcomes.size() > before; }));
    return outcomes.back();
  };
  int status = 200;
  const auto replica = fixture.replica([&](const http::Request&, const http::ResponseWriterPtr& response) {
    response->respond(status, {}, "");
  });
  constexpr bool kRelayed = true;
  CHECK(probe(replica->port(), kRelayed) == calls::ProbeOutcome::Alive);
  status = 421;
  CHECK(probe(replica->port(), kRelayed) == calls::ProbeOutcome::Terminated);
  const std::uint16_t closed = fixture.closedPort();
  CHECK(probe(closed, kRelayed) == calls::ProbeOutcome::Refused);
  CHECK(probe(closed, !kRelayed) == calls::ProbeOutcome::Refused);
  fixture.trusts_refusal = false;
  CHECK(probe(closed, kRelayed) == calls::ProbeOutcome::Unknown);
  fixture.accepts = false;
  CHECK(probe(replica->port(), kRelayed) == calls::ProbeOutcome::Unknown);
  fixture.relay.reset();
}

TEST_CASE("A relay's connection that gave another call's response isn't used again") {
  http::ScriptedServer replica([](http::RawConnection& connection, int number) {
    connection.readRequest();
    connection.write(responseTo(number == 1 ? "c0" : "c1"));
    if (!connection.readRequest().empty()) {
      connection.write(responseTo("c0"));
    }
  });
  RelayFixture fixture;
  CHECK(fixture.run(replica.port()).failure == calls::AttemptFailure::ForeignResponse);
  const RelayedCall& next = fixture.run(replica.port());
  REQUIRE(next.answer);
  CHECK(next.response.body == "of c1");
}

TEST_CASE("A relay sends a call that comes back to a replica over a connection without its earlier answers") {
  constexpr const char* kRefusal =
      "HTTP/1.1 503 Full\r\nCall-Id: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  http::ScriptedServer replica([&](http::RawConnection& connection, int number) {
    connection.readRequest();
    connection.write(number == 1 ? kRefusal : responseTo("c1"));
    constexpr int kTries = 100;
    for (int i = 0; number == 1 && i < kTries && !connection.ended(); ++i) {
      std::this_thread::sleep_for(1ms);
      if (!connection.readAvailable().empty()) {
        connection.write(kRefusal);
      }
    }
  });
  RelayFixture fixture;
  const RelayedCall& refused = fixture.run(replica.port());
  REQUIRE(refused.answer);
  CHECK(refused.answer->proven_not_run);
  constexpr bool kFreshConnection = true;
  const RelayedCall& again = fixture.start(replica.port(), {}, kFreshConnection);
  REQUIRE(fixture.loop.runUntil([&] { return again.ended(); }));
  REQUIRE(again.answer);
  CHECK(again.response.body == "of c1");
}

TEST_CASE(
    "A refusal through a relay that doesn't confirm a new connection proves nothing of a second sending") {
  RelayFixture fixture;
  const auto relay_of_older_build =
      fixture.replica([](const http::Request&, const http::ResponseWriterPtr& response) {
        http::Headers headers = {{"Call-Id", "c1"}, {"Not-Run", "1"}};
        setRelayOutcome(headers, RelayOutcome::Forwarded);
        response->respond(503, headers, "");
      });
  for (const bool repeated : {false, true}) {
    const RelayedCall& call = fixture.startThrough(relay_of_older_build->port(), repeated);
    REQUIRE(fixture.loop.runUntil([&] { return call.ended(); }));
    REQUIRE(call.answer);
    CHECK(call.answer->proven_not_run == !repeated);
  }
}

}  // namespace
}  // namespace ferryrock::service_process
