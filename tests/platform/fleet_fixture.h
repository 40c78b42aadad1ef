#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/fixture.h"
#include "platform/call_dialect.h"
#include "platform/control_api.h"
#include "platform/order_dialect.h"
#include "process/shared_settings.h"

namespace ferryrock::platform {

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

/// Three control members and a router, each with its real sockets and disk, over loopback.
class Fleet {
 public:
  using SettingsChange = std::function<void(service_process::CallRouterProcessSettings&)>;

  /// change: applied to the router's settings before it starts; may be empty.
  explicit Fleet(const SettingsChange& change = {})
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
    startRouter(change);
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
      loop.runFor(std::chrono::milliseconds(50));
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
      loop.runFor(std::chrono::milliseconds(50));
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
    return beat(replica.id, replica.address(), sequence, state, models);
  }
  http::CallRecord beat(const std::string& id, const std::string& address, int sequence,
                        const std::string& state, const std::string& models = "[]") {
    const std::string body = R"({"service":"desk","address":")" + address +
                             R"(","zone":"z","generation":"v1","slots":4,"state":")" + state +
                             R"(","coldRemainingMs":0,"models":)" + models + R"(,"seqNo":)" +
                             std::to_string(sequence) + "}";
    return askControl("POST", "/v1/instances/" + id + "/heartbeat", body);
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
  service_process::CallRouterShell& router() { return *router_; }
  /// Ends the router as the end of its process does.
  void endRouter() {
    status_.reset();
    router_.reset();
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

  void startRouter(const SettingsChange& change) {
    service_process::CallRouterProcessSettings settings;
    settings.node = NodeName("edge-1");
    settings.host = "127.0.0.1";
    settings.internal_port = internal_port_;
    settings.seeds = seeds_;
    settings.listen_calls = "127.0.0.1:" + std::to_string(ports_.next(loop.dispatcher()));
    if (change) {
      change(settings);
    }
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

}  // namespace ferryrock::platform
