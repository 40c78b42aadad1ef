#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "http/fixture.h"
#include "http/raw_peer.h"
#include "http/response_cases.h"
#include "service_process/order_client.h"
#include "service_process/relay_fixture.h"

/// What becomes of responses that HTTP forbids, for each kind of request that a router or a control member
/// sends to a replica.
namespace ferryrock::service_process {
namespace {

using namespace std::chrono_literals;
using http::RawConnection;
using http::ResponseCase;
using http::ScriptedServer;

/// Answers the first request with the text and all others soundly; closes each connection after its answer.
class FaultyOnce {
 public:
  explicit FaultyOnce(std::string text)
      : text_(std::move(text)), server_([this](RawConnection& connection, int) {
          if (!connection.readRequest().empty()) {
            connection.write(requests_++ == 0 ? text_ : responseTo("c1"));
          }
        }) {}
  std::uint16_t port() const { return server_.port(); }
  int requests() const { return requests_; }

 private:
  std::string text_;
  std::atomic<int> requests_ = 0;
  ScriptedServer server_;
};

TEST_CASE("A response that HTTP forbids is no answer to a call, direct or relayed, and proves nothing") {
  const bool relayed = GENERATE(false, true);
  const std::string kind = GENERATE(as<std::string>{}, "Content-Type: text/plain\r\n",
                                    "Content-Type: text/event-stream\r\n", "Not-Run: 1\r\n");
  RelayFixture fixture;
  for (const ResponseCase& given : http::brokenResponses()) {
    INFO(given.name << (relayed ? ", relayed, " : ", direct, ") << kind);
    const FaultyOnce replica(given.text("Call-Id: c1\r\n" + kind));
    const RelayedCall& call = relayed ? fixture.run(replica.port()) : fixture.runDirect(replica.port());
    const bool head_is_sound = given.name.starts_with("trailer");
    const bool proves = head_is_sound && kind.starts_with("Not-Run");
    CHECK(call.failure == (proves ? std::nullopt : std::optional(calls::AttemptFailure::OutcomeUnknown)));
    CHECK(call.answer.has_value() == proves);
    CHECK_FALSE(call.stream_ended);
    CHECK((call.events.empty() || head_is_sound));
    CHECK(replica.requests() == 1);
    const RelayedCall& next = relayed ? fixture.run(replica.port()) : fixture.runDirect(replica.port());
    CHECK(next.response.body == "of c1");
  }
}

TEST_CASE("A response that HTTP allows is the answer to a call, direct or relayed, however odd") {
  const bool relayed = GENERATE(false, true);
  const bool streaming = GENERATE(false, true);
  RelayFixture fixture;
  for (const ResponseCase& given : http::oddSoundResponses()) {
    INFO(given.name << (relayed ? ", relayed" : ", direct") << (streaming ? ", a stream" : ""));
    const std::string type = streaming ? "text/event-stream" : "text/plain";
    const FaultyOnce replica(given.text("Call-Id: c1\r\nContent-Type: " + type + "\r\n"));
    const RelayedCall& call = relayed ? fixture.run(replica.port()) : fixture.runDirect(replica.port());
    CHECK_FALSE(call.failure);
    const std::string events = call.events.empty() ? "" : call.events.front();
    CHECK((call.stream_ended ? events : call.response.body) == http::kCaseBody);
  }
}

TEST_CASE("A response that ends within its head is no answer to a call, direct or relayed") {
  const bool relayed = GENERATE(false, true);
  const std::string type = GENERATE(as<std::string>{}, "text/plain", "text/event-stream");
  const std::string head =
      "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Type: " + type + "\r\nContent-Length: 0\r\n\r\n";
  RelayFixture fixture;
  for (std::size_t length = 0; length < head.size(); ++length) {
    INFO(head.substr(0, length) << (relayed ? ", relayed" : ", direct"));
    const FaultyOnce replica(head.substr(0, length));
    const RelayedCall& call = relayed ? fixture.run(replica.port()) : fixture.runDirect(replica.port());
    CHECK(call.failure == calls::AttemptFailure::OutcomeUnknown);
    CHECK_FALSE(call.answer);
    CHECK_FALSE(call.stream_ended);
    CHECK(replica.requests() == 1);
  }
}

/// Orders are accepted with 202, inspections are answered with 200.
class TestOrderDialect : public OrderDialect {
 public:
  http::ClientRequest order(const services::OrderReplicaEffect& order) const override {
    return http::makeRequest("POST", "http://" + order.address + "/order", "{}");
  }
  services::OrderOutcome outcome(int status) const override {
    return status / 100 == 2 ? services::OrderOutcome::Accepted : services::OrderOutcome::Refused;
  }
  http::ClientRequest inspection(const services::InspectReplicaEffect& inspection) const override {
    return http::makeRequest("GET", "http://" + inspection.address + "/report");
  }
  std::optional<services::ReplicaState> state(int status, const std::string&) const override {
    return status / 100 == 2 ? std::optional(services::ReplicaState{}) : std::nullopt;
  }
};

TEST_CASE("A response that HTTP forbids leaves an order unanswered and an inspection without a state") {
  http::Loop loop;
  const auto http_client = http::createClient(loop.dispatcher());
  const TestOrderDialect dialect;
  std::optional<services::OrderOutcome> outcome;
  bool inspected = false;
  bool has_state = false;
  OrderCallbacks callbacks;
  callbacks.on_order_completed = [&](services::OrderNumber, services::OrderOutcome given) {
    outcome = given;
  };
  callbacks.on_inspected = [&](services::OrderNumber, const std::optional<services::ReplicaState>& state) {
    inspected = true;
    has_state = state.has_value();
  };
  OrderClient orders(loop.dispatcher(), *http_client, dialect, callbacks);
  for (const ResponseCase& given : http::brokenResponses()) {
    INFO(given.name);
    const ScriptedServer replica([&given](RawConnection& connection, int) {
      if (!connection.readRequest().empty()) {
        connection.write(given.text());
      }
    });
    outcome.reset();
    inspected = has_state = false;
    services::OrderReplicaEffect order;
    order.address = "127.0.0.1:" + std::to_string(replica.port());
    orders.send(order);
    REQUIRE(loop.runUntil([&] { return outcome.has_value(); }));
    CHECK(outcome == services::OrderOutcome::Unanswered);
    services::InspectReplicaEffect inspection;
    inspection.address = order.address;
    orders.send(inspection);
    REQUIRE(loop.runUntil([&] { return inspected; }));
    CHECK_FALSE(has_state);
  }
}

TEST_CASE("A response that HTTP forbids tells nothing to a probe, direct or relayed") {
  const bool relayed = GENERATE(false, true);
  RelayFixture fixture;
  std::optional<calls::ProbeOutcome> outcome;
  ReplicaProber prober(
      fixture.loop.dispatcher(), *fixture.sender_client, fixture.dialect,
      [&](const ReplicaId&, calls::ProbeOutcome given) { outcome = given; },
      [](const ReplicaId&, const calls::ReplicaNotice&) {});
  for (const ResponseCase& given : http::brokenResponses()) {
    INFO(given.name << (relayed ? ", relayed" : ", direct"));
    const FaultyOnce replica(given.text());
    outcome.reset();
    calls::ProbeReplicaEffect probe;
    probe.replica = ReplicaId("r1");
    probe.address = "127.0.0.1:" + std::to_string(replica.port());
    if (relayed) {
      probe.relay = fixture.relayAddress();
    }
    prober.send(probe);
    REQUIRE(fixture.loop.runUntil([&] { return outcome.has_value(); }));
    CHECK(outcome == calls::ProbeOutcome::Unknown);
  }
}

}  // namespace
}  // namespace ferryrock::service_process
