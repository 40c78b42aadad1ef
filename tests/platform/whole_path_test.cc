#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/fleet_fixture.h"

/// The whole path over loopback: three control members and a router, each with its real sockets and disk, and
/// scripted replicas, operators and clients that speak the platform's protocol.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

TEST_CASE("A client asks the directory, reaches a router and is served by a replica that reported itself") {
  Fleet fleet;
  CHECK(fleet.ready().status == 503);
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(3)).status == 200);
  CHECK(fleet.askControl("GET", "/v1/config/get", "").body == Fleet::catalog(3));
  CHECK(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(4, "nobody")).status == 400);
  CHECK(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(4).substr(0, 90)).status == 400);
  CHECK(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(2)).status == 200);
  CHECK(fleet.askControl("GET", "/v1/config/get", "").body == Fleet::catalog(3));

  ScriptedReplica& replica = fleet.addReplica("i-1");
  const http::CallRecord beat = fleet.beat(replica, 1, "ready");
  CHECK(beat.status == 200);
  CHECK(beat.body.find("beatAddr") != std::string::npos);
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x?y=%20", "c1").status == 200; }));
  const http::CallRecord answer = fleet.call("/a/x?y=%20", "c2", {{"X-Own", "1"}});
  CHECK(answer.body == "answer of i-1");
  CHECK(http::findHeader(answer.headers, "X-Server-Seal") == "i-1");
  CHECK(http::findHeader(answer.headers, "X-Odd") == "kept");
  const http::Request& seen = replica.calls.back();
  CHECK(seen.target == "/a/x?y=%20");
  CHECK(seen.body == "the body");
  CHECK(http::findHeader(seen.headers, "Host") == "shop.example");
  CHECK(http::findHeader(seen.headers, "X-Own") == "1");
  CHECK(http::findHeader(seen.headers, "X-Expect-Instance") == "i-1");
  CHECK(fleet.ready().status == 200);
  CHECK(fleet.call("/unknown/", "c3").status == 404);
}

TEST_CASE("A drain that was acknowledged holds, and what a replica refuses unrun is told so") {
  Fleet fleet;
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(1)).status == 200);
  ScriptedReplica& leaving = fleet.addReplica("i-1");
  ScriptedReplica& staying = fleet.addReplica("i-2");
  fleet.beat(leaving, 1, "ready");
  fleet.beat(staying, 1, "ready");
  REQUIRE(fleet.tryUntil([&] {
    fleet.call("/a/x", "c1");
    return !leaving.calls.empty() && !staying.calls.empty();
  }));
  CHECK(fleet.beat(leaving, 2, "draining").status == 200);
  const std::size_t before = leaving.calls.size();
  for (int i = 0; i < 12; ++i) {
    CHECK(fleet.call("/a/x", "d" + std::to_string(i)).status == 200);
  }
  CHECK(leaving.calls.size() == before);

  staying.answer = [](const http::Request& request, const http::ResponseWriterPtr& response) {
    response->respond(
        503, {{"X-Attempt-Id", *http::findHeader(request.headers, "X-Attempt-Id")}, {"X-Not-Executed", "1"}},
        "");
  };
  const http::CallRecord refused = fleet.call("/a/x", "e1");
  CHECK(refused.status == 503);
  CHECK(http::findHeader(refused.headers, "Retry-After").has_value());
  staying.answer = [](const http::Request& request, const http::ResponseWriterPtr& response) {
    response->respond(200, {{"X-Attempt-Id", *http::findHeader(request.headers, "X-Attempt-Id")}}, "no seal");
  };
  CHECK(fleet.tryUntil([&] { return fleet.call("/a/x", "e2").status == 502; }));
}

TEST_CASE(
    "A replica that asked for time, or said that it leaves, gets no further call over its connections") {
  Fleet fleet;
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(1)).status == 200);
  ScriptedReplica& asking = fleet.addReplica("i-1");
  ScriptedReplica& leaving = fleet.addReplica("i-2");
  ScriptedReplica& staying = fleet.addReplica("i-3");
  for (const ScriptedReplica* replica : {&asking, &leaving, &staying}) {
    fleet.beat(*replica, 1, "ready");
  }
  asking.answer = [](const http::Request& request, const http::ResponseWriterPtr& response) {
    response->respond(503,
                      {{"X-Attempt-Id", *http::findHeader(request.headers, "X-Attempt-Id")},
                       {"X-Not-Executed", "1"},
                       {"Retry-After", "30"}},
                      "");
  };
  leaving.answer = [](const http::Request& request, const http::ResponseWriterPtr& response) {
    response->respond(200,
                      {{"X-Attempt-Id", *http::findHeader(request.headers, "X-Attempt-Id")},
                       {"X-Server-Seal", "i-2"},
                       {"Server-Leaving", "1"}},
                      "served, and leaving");
  };
  REQUIRE(fleet.tryUntil([&] {
    fleet.call("/a/x", "c1");
    return !asking.calls.empty() && !leaving.calls.empty() && !staying.calls.empty();
  }));
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.call("/a/x", "d" + std::to_string(i)).body == "answer of i-3");
  }
  CHECK(asking.calls.size() == 1);
  CHECK(leaving.calls.size() == 1);
}

/// The replica names a limit in each of its answers.
void nameLimit(ScriptedReplica& replica, const std::string& limit) {
  replica.answer = [id = replica.id, limit](const http::Request& request,
                                            const http::ResponseWriterPtr& response) {
    response->respond(200,
                      {{"X-Attempt-Id", *http::findHeader(request.headers, "X-Attempt-Id")},
                       {"X-Server-Seal", id},
                       {"Server-Limit", limit}},
                      "answer of " + id);
  };
}

TEST_CASE("A replica that takes few calls a second gets few, and callers hear when there is room") {
  Fleet fleet;
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(1)).status == 200);
  ScriptedReplica& limited = fleet.addReplica("i-1");
  nameLimit(limited, "0.5");
  fleet.beat(limited, 1, "ready");
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "c1").status == 200; }));
  const std::size_t before = limited.calls.size();
  for (int i = 0; i < 20; ++i) {
    const http::CallRecord record = fleet.call("/a/x", "d" + std::to_string(i));
    CHECK((record.status == 200 || record.status == 503));
    if (record.status == 503) {
      CHECK(record.body.find("2026") != std::string::npos);
      CHECK(http::findHeader(record.headers, "Retry-After").has_value());
    }
  }
  CHECK(limited.calls.size() - before <= 3);

  ScriptedReplica& other = fleet.addReplica("i-2");
  fleet.beat(other, 1, "ready");
  REQUIRE(fleet.tryUntil([&] {
    fleet.call("/a/x", "e");
    return !other.calls.empty();
  }));
  for (int i = 0; i < 20; ++i) {
    CHECK(fleet.call("/a/x", "f" + std::to_string(i)).status == 200);
  }
}

TEST_CASE(
    "A heartbeat of another writer is answered with what is wrong in it, and the replicas known before "
    "serve") {
  Fleet fleet;
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(1)).status == 200);
  ScriptedReplica& replica = fleet.addReplica("i-1");
  REQUIRE(fleet.beat(replica, 1, "ready").status == 200);
  const std::string path = "/v1/instances/i-1/heartbeat";
  const std::string unknown_state =
      R"({"service":"desk","address":"10.0.0.1:80","slots":4,"state":"new","seqNo":9})";
  const http::CallRecord refused = fleet.askControl("POST", path, unknown_state);
  CHECK(refused.status == 400);
  CHECK(refused.body.find("'state'") != std::string::npos);
  for (const char* bytes : {"{\"service\":\"\xff\xfe\"}", "\xff", "[", "{\"service\":7}"}) {
    const http::CallRecord answer = fleet.askControl("POST", path, bytes);
    CHECK(answer.status == 400);
    CHECK(nlohmann::json::accept(answer.body));
  }
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "c1").status == 200; }));
}

TEST_CASE("A zone that is evacuated gets no calls until it is given back") {
  Fleet fleet;
  ScriptedReplica& replica = fleet.addReplica("r1");
  REQUIRE(fleet.tryUntil([&] { return fleet.beat(replica, 1, "ready").status == 200; }));
  REQUIRE(fleet.askControl("POST", "/v1/config/replace", Fleet::catalog(1)).status == 200);
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "c1").status == 200; }));
  CHECK(fleet.askControl("POST", "/v1/evacuations/z/start", "").status == 200);
  CHECK(fleet.askControl("POST", "/v1/evacuations/z/start", "").status == 200);
  // A member that doesn't lead hears of a change with the leader's next word.
  const auto listed = [&fleet] { return fleet.askControl("GET", "/api/evacuations", "").body; };
  REQUIRE(fleet.tryUntil([&] { return listed() == R"({"zones":["z"]})"; }));
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "c2").status == 503; }));
  const std::size_t served = replica.calls.size();
  const http::CallRecord refused = fleet.call("/a/x", "c3");
  CHECK(refused.status == 503);
  CHECK(http::findHeader(refused.headers, "Retry-After").has_value());
  CHECK(replica.calls.size() == served);
  http::CallRecord stopped = fleet.askControl("POST", "/api/evacuations/stop", R"({"zone":"z"})");
  if (stopped.status != 200) {
    const std::string leader = nlohmann::json::parse(stopped.body).at("leader_url");
    stopped = fleet.ask(http::makeRequest("POST", leader + "/api/evacuations/stop", R"({"zone":"z"})"));
  }
  CHECK(stopped.status == 200);
  CHECK(stopped.body == R"({"zones":[]})");  // the leader knows at once
  REQUIRE(fleet.tryUntil([&] { return listed() == R"({"zones":[]})"; }));
  REQUIRE(fleet.tryUntil([&] { return fleet.call("/a/x", "c4").status == 200; }));
}

TEST_CASE("An evacuation that isn't one is refused with its code, and changes nothing") {
  struct Case {
    const char* method;
    std::string path;
    std::string body;
    int status;
    const char* code;
  };
  const Case cases[] = {
      {"POST", "/v1/evacuations/x/start", "", 404, "3020"},
      {"POST", "/v1/evacuations/" + std::string(5000, 'z') + "/start", "", 404, "3020"},
      {"POST", "/v1/evacuations/%7A%20/start", "", 404, "3020"},
      {"POST", "/v1/evacuations/y%2Fz/stop", "", 404, "3020"},
      {"POST", "/v1/evacuations/z%00/stop", "", 404, "1006"},
      {"POST", "/v1/evacuations//start", "", 404, "1006"},
      {"POST", "/v1/evacuations/z/pause", "", 404, "1006"},
      {"GET", "/v1/evacuations/z/start", "", 405, "1007"},
      {"POST", "/v1/evacuations/z/start", "{}", 400, "1001"},
      {"POST", "/api/evacuations/start", "{}", 400, "1001"},
      {"POST", "/api/evacuations/start", R"({"zone":7})", 400, "1001"},
      {"POST", "/api/evacuations/start", R"({"zone":""})", 404, "3020"},
  };
  Fleet fleet;
  REQUIRE(fleet.askControl("POST", "/v1/evacuations/y/stop", "").status == 200);
  for (const Case& one : cases) {
    INFO(one.method << " " << one.path.substr(0, 60) << " " << one.body);
    const http::CallRecord answer = fleet.askControl(one.method, one.path, one.body);
    CHECK(answer.status == one.status);
    CHECK(answer.body.find(one.code) != std::string::npos);
  }
  CHECK(fleet.askControl("GET", "/api/evacuations", "").body == R"({"zones":[]})");
}

TEST_CASE(
    "Operators see which calls are kept away from replicas, and a release that can't be read says why") {
  Fleet fleet;
  CHECK(fleet.askControl("GET", "/api/quarantine", "").body == R"({"calls":[]})");
  const std::string fingerprint(32, 'a');
  CHECK(fleet.askControl("POST", "/api/quarantine/release", R"({"fingerprint":")" + fingerprint + R"("})")
            .status == 200);
  const http::CallRecord refused = fleet.askControl("POST", "/api/quarantine/release", "{}");
  CHECK(refused.status == 400);
  CHECK(refused.body.find("1001") != std::string::npos);
}

}  // namespace
}  // namespace ferryrock::platform
