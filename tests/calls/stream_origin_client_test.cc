#include "calls/stream_origin_client.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
const RequestId kStream("stream-1");

wire::StreamOrigin origin(const std::string& stream) {
  return {RequestId(stream), ServiceName("llm"), "v1", ReplicaId("r1")};
}

/// A client that knows this many members that keep origins.
StreamOriginClient client(std::size_t members) {
  StreamOriginClient it;
  for (std::size_t i = 0; i < members; ++i) {
    it.onMember(NodeName("control-" + std::to_string(i)), true);
  }
  return it;
}

std::set<NodeName> addressees(StreamOriginClient& it) {
  std::set<NodeName> nodes;
  for (const wire::SendEffect& send : it.takeMessages()) {
    nodes.insert(send.to);
  }
  return nodes;
}

TEST_CASE("A stream is reported to three members, and to the same ones again while it runs") {
  StreamOriginClient it = client(5);
  it.onRunning(origin("stream-1"), kStart);
  const std::set<NodeName> first = addressees(it);
  CHECK(first.size() == 3);
  it.tick(kStart + 1s);
  CHECK(addressees(it).empty());
  it.tick(kStart + 2s);
  CHECK(addressees(it) == first);
  it.onEnded(kStream);
  it.tick(kStart + 5s);
  CHECK(addressees(it).empty());
  CHECK(it.find(kStream));
}

TEST_CASE("One member that knows the stream decides; if none does, all must say so") {
  StreamOriginClient it = client(3);
  REQUIRE(it.ask(kStream, kStart));
  CHECK(addressees(it).size() == 3);
  REQUIRE(it.ask(kStream, kStart));
  CHECK(addressees(it).empty());
  CHECK_FALSE(it.accept(NodeName("control-0"), {kStream, std::nullopt}, kStart));
  SECTION("one knows it") {
    const auto answer = it.accept(NodeName("control-1"), {kStream, origin("stream-1")}, kStart);
    REQUIRE(answer);
    CHECK(answer->origin == origin("stream-1"));
    CHECK(it.find(kStream) == origin("stream-1"));
  }
  SECTION("none knows it") {
    CHECK_FALSE(it.accept(NodeName("control-0"), {kStream, std::nullopt}, kStart));
    CHECK_FALSE(it.accept(NodeName("control-1"), {kStream, std::nullopt}, kStart));
    const auto answer = it.accept(NodeName("control-2"), {kStream, std::nullopt}, kStart);
    REQUIRE(answer);
    CHECK_FALSE(answer->origin);
    CHECK(answer->complete);
  }
  SECTION("one doesn't answer") {
    it.accept(NodeName("control-1"), {kStream, std::nullopt}, kStart);
    CHECK(it.tick(kStart + 100ms).empty());
    const auto answers = it.tick(it.nextDeadline());
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].origin);
    CHECK_FALSE(answers[0].complete);
    CHECK_FALSE(it.accept(NodeName("control-2"), {kStream, origin("stream-1")}, kStart + 1s));
  }
}

TEST_CASE("Members of a build that keeps no origins are neither told nor asked") {
  StreamOriginClient it = client(1);
  it.onMember(NodeName("control-0"), false);
  it.onRunning(origin("stream-2"), kStart);
  CHECK(addressees(it).empty());
  CHECK_FALSE(it.ask(kStream, kStart));
  CHECK_FALSE(client(1).ask(RequestId(), kStart));
}

/// Runs the client for the time; returns the number of queries sent to each member in each step of 5 ms.
std::vector<std::map<NodeName, std::size_t>> queriesInSteps(StreamOriginClient& it, TimePoint from,
                                                            Duration time) {
  std::vector<std::map<NodeName, std::size_t>> steps;
  for (TimePoint now = from; now < from + time; now += 5ms) {
    it.tick(now);
    auto& sent = steps.emplace_back();
    for (const wire::SendEffect& send : it.takeMessages()) {
      sent[send.to] += std::holds_alternative<wire::StreamOriginQuery>(send.message) ? 1 : 0;
    }
  }
  return steps;
}

TEST_CASE("Many callers that return at once are all asked for, without overflowing a member's send queue") {
  constexpr std::size_t kCallers = 100;
  constexpr std::size_t kSendQueue = 16;
  StreamOriginClient it = client(3);
  for (std::size_t i = 0; i < kCallers; ++i) {
    REQUIRE(it.ask(RequestId("stream-" + std::to_string(i)), kStart));
  }
  std::map<NodeName, std::size_t> total;
  for (const auto& step : queriesInSteps(it, kStart, 75ms)) {
    for (const auto& [member, queries] : step) {
      CHECK(queries <= kSendQueue);
      total[member] += queries;
    }
  }
  CHECK(total == std::map<NodeName, std::size_t>{{NodeName("control-0"), kCallers},
                                                 {NodeName("control-1"), kCallers},
                                                 {NodeName("control-2"), kCallers}});
}

TEST_CASE("A member that doesn't answer is asked once more before the query ends") {
  StreamOriginClient it = client(2);
  REQUIRE(it.ask(kStream, kStart));
  it.takeMessages();
  it.accept(NodeName("control-0"), {kStream, std::nullopt}, kStart);
  std::map<NodeName, std::size_t> repeated;
  for (const auto& step : queriesInSteps(it, kStart, 200ms)) {
    for (const auto& [member, queries] : step) {
      repeated[member] += queries;
    }
  }
  CHECK(repeated == std::map<NodeName, std::size_t>{{NodeName("control-1"), 1}});
  const auto answer = it.accept(NodeName("control-1"), {kStream, origin("stream-1")}, kStart + 200ms);
  REQUIRE(answer);
  CHECK(answer->origin == origin("stream-1"));
}

}  // namespace
}  // namespace ferryrock::calls
