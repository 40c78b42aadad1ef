#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <string>
#include <vector>

#include "platform/fleet_fixture.h"
#include "platform/raw_replica.h"

/// A planned stop of a router whose callers go on using the connections that they have.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStopLimit = 3s;

void shortenStop(service_process::CallRouterProcessSettings& settings) {
  settings.stop_limit = kStopLimit;
  settings.stop_accepts = 800ms;
  settings.stop_linger = 1200ms;
}

std::string slowCatalog() {
  return R"({"generation":1,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":"unsafe",)"
         R"("timeoutMs":20000,"targetLatencyMs":300,"maxAttempts":1,"service":"desk"}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":90}],"limits":{}})";
}

/// A caller with one open connection.
struct Caller {
  http::RawConnection connection;
  std::string received;
  bool sent = false;

  void send(const std::string& id, const std::string& deadline) {
    connection.write("POST /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\n" + deadline +
                     "Content-Length: 4\r\n\r\nbody");
  }
  bool hasAnswer() const {
    const std::size_t head_end = received.find("\r\n\r\n");
    const std::size_t length = received.find("Content-Length: ");
    return head_end != std::string::npos && length < head_end &&
           received.size() == head_end + 4 + std::stoul(received.substr(length + 16));
  }
};

/// Never answers calls whose id begins with "slow", and all others at once.
bool answerSome(RawReplica::Arrival& arrival) {
  if (arrival.id.starts_with("slow")) {
    arrival.connection.readUntil("never");
    return false;
  }
  arrival.connection.write(responseText(200, arrival.id, "X-Server-Seal: s\r\n", "answer"));
  return true;
}

TEST_CASE(
    "Each call that a stopping router has read gets an answer, however late it comes and long it runs") {
  std::list<RawReplica> replicas;
  Fleet fleet(&shortenStop);
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", slowCatalog()).status == 200);
  constexpr int kReplicas = 8;
  for (int i = 0; i < kReplicas; ++i) {
    const RawReplica& replica = replicas.emplace_back(&answerSome);
    REQUIRE(fleet.beat("i-" + std::to_string(i), replica.address(), 1, "ready").status == 200);
  }
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "first").status == 200; }));
  const std::string address = fleet.resolve();
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  constexpr int kCallers = 120;
  constexpr Duration kInterval = 25ms;
  std::vector<Caller> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back({http::RawConnection::connect(port), "", false});
    callers.back().send("warm-" + std::to_string(i), "");
  }
  REQUIRE(fleet.tryUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](Caller& caller) {
      caller.received += caller.connection.readAvailable();
      return caller.hasAnswer();
    });
  }));

  bool stopped = false;
  fleet.router().beginStop([&stopped] { stopped = true; });
  int sent = 0;
  for (int i = 0; i < kCallers && !stopped; ++i) {
    Caller& caller = callers[static_cast<std::size_t>(i)];
    caller.received = caller.connection.readAvailable();
    if (!caller.connection.ended()) {
      const std::string deadlines[] = {"", "X-Deadline-Ms: 300\r\n", "X-Deadline-Ms: 1500\r\n",
                                       "X-Deadline-Ms: 20000\r\n"};
      caller.send((i % 8 < 4 ? "slow-" : "fast-") + std::to_string(i), deadlines[i % 4]);
      caller.sent = true;
      ++sent;
    }
    fleet.loop.runFor(kInterval);
  }
  REQUIRE(fleet.loop.runUntil([&stopped] { return stopped; }));
  fleet.endRouter();
  std::string unanswered;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    Caller& caller = callers[i];
    caller.received += caller.sent ? caller.connection.readAvailable() : "";
    if (caller.sent && !caller.hasAnswer()) {
      unanswered +=
          std::to_string(i) + (caller.connection.wasReset() ? " (reset): '" : ": '") + caller.received + "' ";
    }
  }
  CHECK(sent > kCallers / 4);
  INFO(unanswered);
  CHECK(unanswered.empty());
}

}  // namespace
}  // namespace ferryrock::platform
