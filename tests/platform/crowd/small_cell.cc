#include "platform/crowd/small_cell.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "common/error.h"
#include "common/random.h"
#include "http/http.h"
#include "http/listen_socket.h"

namespace ferryrock::crowd {
namespace {

using namespace std::chrono_literals;

constexpr const char* kMemberHost = "127.0.2.1";
constexpr const char* kRouterHost = "127.0.2.2";
/// Longer than the route's timeout. Only bounds how long a failing test takes.
constexpr Duration kRequestTimeout = 30s;
constexpr Duration kRetryInterval = 50ms;
constexpr int kTries = 400;

constexpr const char* kCatalog =
    R"({"generation":1,"routes":[{"name":"r","host":"shop.example","pathPrefix":"/a/","kind":"unsafe",)"
    R"("timeoutMs":20000,"targetLatencyMs":300,"maxAttempts":1,"service":"desk"}],)"
    R"("services":[{"name":"desk","healthPath":"/health","maxConns":90}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// Ports for the processes, which name theirs before they start: below the range from which the system gives
/// ports to others, and each test process has its own.
class Ports {
 public:
  std::uint16_t next(const std::string& host) {
    constexpr int kFirst = 20'000;
    constexpr int kEnd = 32'000;
    constexpr int kEach = 16;
    const int first = kFirst + ::getpid() % ((kEnd - kFirst) / kEach) * kEach;
    while (used_ < kEach) {
      const auto port = static_cast<std::uint16_t>(first + used_++);
      try {
        ::close(http::openListenSocket(host, port, false).descriptor);
        return port;
      } catch (const Error&) {
        continue;  // taken
      }
    }
    throw std::runtime_error("no port of this process's range is free");
  }

 private:
  int used_ = 0;
};

bool answerAtOnce(platform::RawReplica::Arrival& arrival) {
  arrival.connection.write(platform::responseText(200, arrival.id, "X-Server-Seal: s\r\n", "answer"));
  return true;
}

int statusOf(const http::ClientRequest& request) {
  try {
    return http::blockingCall(request).status;
  } catch (const Error&) {
    return 0;
  }
}

http::ClientRequest requestTo(const Address& address, const std::string& method, const std::string& target,
                              std::string body = "") {
  http::ClientRequest request;
  request.method = method;
  request.url = "http://" + address.text() + target;
  request.body = std::move(body);
  request.total_timeout = kRequestTimeout;
  return request;
}

}  // namespace

SmallCell::SmallCell(platform::RawReplica::Script script)
    : folder_(std::filesystem::temp_directory_path() / ("ferryrock-crowd-" + std::to_string(systemSeed()))),
      replica_(std::make_unique<platform::RawReplica>(script ? std::move(script) : answerAtOnce)) {
  std::filesystem::create_directories(folder_);
  Ports ports;
  internal_ = {kMemberHost, ports.next(kMemberHost)};
  relay_ = {kRouterHost, internal_.port};
  control_ = {kMemberHost, ports.next(kMemberHost)};
  directory_ = {kMemberHost, ports.next(kMemberHost)};
  calls_ = {kRouterHost, ports.next(kRouterHost)};
  status_ = {kRouterHost, ports.next(kRouterHost)};
  startProcesses();
  waitUntilServing();
}

SmallCell::~SmallCell() {
  stopped_ = true;
  if (beats_thread_.joinable()) {
    beats_thread_.join();
  }
  router_.reset();
  member_.reset();
  std::filesystem::remove_all(folder_);
}

std::string SmallCell::settingsFile(const std::string& name, const std::string& text) const {
  std::string file = (folder_ / (name + ".yaml")).string();
  std::ofstream(file) << "node: " << name << "\nzone: z\ninternal_port: " << internal_.port << "\nseeds: [\""
                      << control_.text() << "\"]\n"
                      << text;
  return file;
}

void SmallCell::startProcesses() {
  const std::string program = FERRYROCK_PLATFORM_PROGRAM;
  const std::string member =
      settingsFile("core-1", "host: " + control_.host + "\nlisten_control: " + control_.text() +
                                 "\nlisten_directory: " + directory_.text() +
                                 "\ndata_folder: " + (folder_ / "data").string() +
                                 "\nbootstrap: true\nlosses_borne: 0\nzones: [z]\n");
  const std::string router =
      settingsFile("edge-1", "host: " + calls_.host + "\nlisten_calls: " + calls_.text() +
                                 "\nlisten_status: " + status_.text() + "\nstop_limit: 8s\n");
  member_ = std::make_unique<ChildProcess>(std::vector<std::string>{program, "control", "--settings", member},
                                           kMemberLimits, (folder_ / "core-1.log").string());
  router_ = std::make_unique<ChildProcess>(std::vector<std::string>{program, "router", "--settings", router},
                                           kRouterLimits, (folder_ / "edge-1.log").string());
}

void SmallCell::waitUntilServing() {
  untilOk([this] { return statusOf(requestTo(control_, "POST", "/v1/config/replace", kCatalog)); },
          "the catalog");
  untilOk([this] { return beat(); }, "the replica's heartbeat");
  untilOk(
      [this] {
        beat();
        return call();
      },
      "a call");
  untilOk([this] { return askReady(); }, "the router's status");
  untilOk([this] { return askDirectory(); }, "the directory");
  if (call(kLargestBody) != 200) {
    throw std::runtime_error("a call with a body of the largest size isn't served in calm");
  }
  beats_thread_ = std::thread([this] { keepBeating(); });
}

void SmallCell::untilOk(const std::function<int()>& request, const std::string& what) const {
  int status = 0;
  for (int i = 0; i < kTries && status != 200; ++i) {
    status = request();
    if (status != 200) {
      std::this_thread::sleep_for(kRetryInterval);
    }
  }
  if (status != 200) {
    throw std::runtime_error(what + " was never accepted: status " + std::to_string(status));
  }
}

int SmallCell::beat() {
  const std::string body = R"({"service":"desk","address":")" + replica_->address() +
                           R"(","zone":"z","generation":"v1","slots":64,"state":"ready",)"
                           R"("coldRemainingMs":0,"models":[],"seqNo":)" +
                           std::to_string(++beats_) + "}";
  return statusOf(requestTo(control_, "POST", "/v1/instances/i-1/heartbeat", body));
}

void SmallCell::keepBeating() {
  constexpr int kRetriesInInterval = 20;
  for (int i = 1; !stopped_; ++i) {
    if (i % kRetriesInInterval == 0) {
      beat();
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
}

int SmallCell::call(std::size_t body_bytes) const {
  http::ClientRequest request = requestTo(calls_, "POST", "/a/x", std::string(body_bytes, 'b'));
  request.headers = {{"Host", "shop.example"},
                     {"X-Attempt-Id", "ordinary-" + std::to_string(systemSeed())},
                     {"X-Deadline-Ms", "20000"}};
  return statusOf(request);
}

int SmallCell::askReady() const {
  return statusOf(requestTo(status_, "GET", "/v1/ready"));
}

int SmallCell::askCatalog() const {
  return statusOf(requestTo(control_, "GET", "/v1/config/get"));
}

int SmallCell::askDirectory() const {
  return statusOf(requestTo(directory_, "GET", "/v1/resolve?name=shop.example&region=r&zone=z"));
}

}  // namespace ferryrock::crowd
