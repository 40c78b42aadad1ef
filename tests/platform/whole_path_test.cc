#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>

#include "http/fixture.h"
#include "platform/call_dialect.h"
#include "platform/control_api.h"
#include "platform/order_dialect.h"
#include "process/shared_settings.h"

/// The whole path over loopback: three control members and a router, each with its real sockets and disk, and
/// scripted replicas, operators and clients that speak the platform's protocol.
namespace ferryrock::platform {
namespace {

using namespace std::chrono_literals;

/// Ports for servers that name theirs before they start, on every loopback address of the fleet.
///
/// They lie below the range from which the system gives ports to outgoing connections and to servers that
/// name none, and each process has its own: no port that was found free is taken by another before it is
/// used.
class PortRange {
 public:
  std::uint16_t next(event::Dispatcher& dispatcher) {
    constexpr int kPortsPerProcess = 16;
    while (used_ < kPortsPerProcess) {
      const auto port = static_cast<std::uint16_t>(firstPort(kPortsPerProcess) + used_++);
      if (isFree(dispatcher, port)) {
        return port;
      }
    }
    FAIL("no port of this process's range is free");
    return 0;
  }

 private:
  static int firstPort(int ports) {
    constexpr int kFirst = 20'000;
    constexpr int kEnd = 32'000;
    return kFirst + getpid() % ((kEnd - kFirst) / ports) * ports;
  }
  static bool isFree(event::Dispatcher& dispatcher, std::uint16_t port) {
    for (const char* address : {"127.0.0.1", "127.0.1.1", "127.0.1.2", "127.0.1.3"}) {
      http::ServerSettings settings;
      settings.address = address;
      settings.port = port;
      try {
        http::createServer(dispatcher, settings, [](const http::Request&, const http::ResponseWriterPtr&) {});
      } catch (const Error& fault) {
        REQUIRE(fault.code() == ResultCode::AddressInUse);
        return false;
      }
    }
    return true;
  }

  int used_ = 0;
};

struct ControlMember {
  std::unique_ptr<service_process::ServiceControlShell> shell;
  std::unique_ptr<http::Server> control;
  std::unique_ptr<http::Server> directory;
};

/// A replica that answers with its id as the seal, and notes what reached it.
struct ScriptedReplica {
  std::string id;
  std::unique_ptr<http::Server> server;
  std::vector<http::Request> calls;
  std::vector<std::string> orders;
  std::function<void(const http::Request&, const http::ResponseWriterPtr&)> answer;

  std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }
};

/// No member's disk may refuse a write.
class StorageWatch : public EventLog {
 public:
  void write(LogLevel, std::string_view event, std::initializer_list<LogField>) override {
    if (event == "storage.blocked") {
      FAIL("storage failed");
    }
  }
};

class Fleet {
 public:
  Fleet()
      : folder_(std::filesystem::temp_directory_path() / ("ferryrock-path-" + std::to_string(systemSeed()))) {
    client_ = http::createClient(loop.dispatcher());
    internal_port_ = ports_.next(loop.dispatcher());
    for (int i = 0; i < 3; ++i) {
      control_ports_.push_back(ports_.next(loop.dispatcher()));
      seeds_.push_back(host(i) + ":" + std::to_string(control_ports_.back()));
    }
    for (int i = 0; i < 3; ++i) {
      startControl(i);
    }
    startRouter();
  }
  ~Fleet() {
    router_.reset();
    members_.clear();
    std::filesystem::remove_all(folder_);
  }

  http::CallRecord ask(http::ClientRequest request) {
    http::CallRecord record;
    const auto call = client_->send(std::move(request), http::recordInto(record));
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    return record;
  }
  /// Follows redirects and asks on, as operators do.
  http::CallRecord askControl(const std::string& method, const std::string& path, const std::string& body) {
    for (int i = 0; i < 200; ++i) {
      std::string url = "http://" + seeds_[static_cast<std::size_t>(i) % 3] + path;
      http::CallRecord record = ask(http::makeRequest(method, url, body));
      if (record.status == 307) {
        record = ask(http::makeRequest(method, *http::findHeader(record.headers, "Location"), body));
      }
      if (record.status != 503 && record.complete) {
        return record;
      }
      loop.runFor(50ms);
    }
    return {};
  }
  /// Asks again until the condition holds, which may itself run the loop; false if it never did.
  bool tryUntil(const std::function<bool()>& condition) {
    constexpr int kTries = 200;
    for (int i = 0; i < kTries; ++i) {
      if (condition()) {
        return true;
      }
      loop.runFor(50ms);
    }
    return false;
  }
  std::string resolve() {
    std::string address;
    tryUntil([&] {
      const http::CallRecord record =
          ask(http::makeRequest("GET", directoryUrl() + "/v1/resolve?name=h&region=r&zone=z"));
      const std::size_t begin = record.body.find("127.");
      address =
          begin == std::string::npos ? "" : record.body.substr(begin, record.body.find('"', begin) - begin);
      return !address.empty();
    });
    return address;
  }
  http::CallRecord call(const std::string& path, const std::string& id, http::Headers headers = {}) {
    http::ClientRequest request = http::makeRequest("POST", "http://" + resolve() + path, "the body");
    request.headers = {{"Host", "shop.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "3000"}};
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    return ask(std::move(request));
  }
  ScriptedReplica& addReplica(const std::string& id) {
    auto replica = std::make_unique<ScriptedReplica>();
    ScriptedReplica& added = *replica;
    added.id = id;
    added.answer = [id](const http::Request& request, const http::ResponseWriterPtr& response) {
      response->respond(200,
                        {{"X-Attempt-Id", http::findHeader(request.headers, "X-Attempt-Id").value_or("")},
                         {"X-Server-Seal", id},
                         {"X-Odd", "kept"}},
                        "answer of " + id);
    };
    added.server =
        http::createServer(loop.dispatcher(), {},
                           [&added](const http::Request& request, const http::ResponseWriterPtr& response) {
                             if (request.target == "/v1/order") {
                               added.orders.push_back(request.body);
                               response->respond(202, {}, "");
                             } else if (request.target == "/v1/report") {
                               response->respond(200, {}, R"({"seqNo":0,"busy":false,"models":[]})");
                             } else {
                               added.calls.push_back(request);
                               added.answer(request, response);
                             }
                           });
    replicas_.push_back(std::move(replica));
    return added;
  }
  http::CallRecord beat(const ScriptedReplica& replica, int sequence, const std::string& state,
                        const std::string& models = "[]") {
    const std::string body = R"({"service":"desk","address":")" + replica.address() +
                             R"(","zone":"z","generation":"v1","slots":4,"state":")" + state +
                             R"(","coldRemainingMs":0,"models":)" + models + R"(,"seqNo":)" +
                             std::to_string(sequence) + "}";
    return askControl("POST", "/v1/instances/" + replica.id + "/heartbeat", body);
  }
  static std::string catalog(int version, const std::string& service = "desk") {
    return R"({"generation":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":"unsafe","timeoutMs":2000,)"
           R"("targetLatencyMs":300,"maxAttempts":1,"service":")" +
           service + R"("}],"services":[{"name":"desk","healthPath":"/health","maxConns":9}],"limits":{}})";
  }
  http::CallRecord ready() {
    return ask(http::makeRequest("GET", "http://127.0.0.1:" + std::to_string(status_->port()) + "/v1/ready"));
  }
  std::string directoryUrl() const {
    return "http://127.0.0.1:" + std::to_string(members_[1].directory->port());
  }

  http::Loop loop;

 private:
  static std::string host(int number) { return "127.0.1." + std::to_string(number + 1); }

  void startControl(int number) {
    service_process::ServiceControlProcessSettings settings;
    settings.node = NodeName("core-" + std::to_string(number));
    settings.host = host(number);
    settings.internal_port = internal_port_;
    settings.seeds = seeds_;
    settings.listen_control = seeds_[static_cast<std::size_t>(number)];
    settings.listen_directory = "127.0.0.1:0";
    settings.data_folder = (folder_ / std::to_string(number)).string();
    settings.bootstrap = true;
    settings.zones = {"z", "y"};
    ControlMember member;
    member.shell =
        std::make_unique<service_process::ServiceControlShell>(loop.dispatcher(), settings, orders_, log_);
    member.control =
        http::createServer(loop.dispatcher(), process::listenSettings(settings.listen_control, {}, 1 << 20),
                           controlHandler(*member.shell));
    member.directory =
        http::createServer(loop.dispatcher(), process::listenSettings(settings.listen_directory, {}, 1 << 20),
                           directoryHandler(*member.shell));
    members_.push_back(std::move(member));
  }

  void startRouter() {
    service_process::CallRouterProcessSettings settings;
    settings.node = NodeName("edge-1");
    settings.host = "127.0.0.1";
    settings.internal_port = internal_port_;
    settings.seeds = seeds_;
    settings.listen_calls = "127.0.0.1:" + std::to_string(ports_.next(loop.dispatcher()));
    router_ = std::make_unique<service_process::CallRouterShell>(loop.dispatcher(), settings, calls_, log_);
    status_ = http::createServer(loop.dispatcher(), {}, statusHandler(*router_));
  }

  PortRange ports_;
  std::filesystem::path folder_;
  StorageWatch log_;
  PlatformCallDialect calls_;
  PlatformOrderDialect orders_;
  std::uint16_t internal_port_ = 0;
  std::vector<std::uint16_t> control_ports_;
  std::vector<std::string> seeds_;
  std::unique_ptr<http::Client> client_;
  std::vector<std::unique_ptr<ScriptedReplica>> replicas_;
  std::vector<ControlMember> members_;
  std::unique_ptr<service_process::CallRouterShell> router_;
  std::unique_ptr<http::Server> status_;
};

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
