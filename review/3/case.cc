// Every process of the core is killed at the same moment and is back within a second. One replica begins its planned
// end meanwhile: where it would have reported next, it sends `deregister`, until that is acknowledged. Judges the
// requests that reach it later than drainMs after the acknowledgement.

#include "../stand-ins/harness.h"

namespace {

using namespace review;

constexpr int kCores = 5;
constexpr int kEdges = 2;
constexpr int kReplicas = 3;
constexpr int kClients = 12;
constexpr double kWorkMs = 150;
constexpr double kDownMs = 700;     // of the core
constexpr double kFirstPauseMs = 200;
constexpr double kLingerMs = 600;   // a replica serves on for drainMs and this long after the acknowledgement

struct Arrival {
  std::string id;
  double at;
};

/// A replica of the service "desk".
class Replica {
 public:
  Replica(Record& record, const Fleet& fleet, int number)
      : record_(record),
        reporter_(fleet, static_cast<std::size_t>(number)),
        zone_(std::string("hall-") + static_cast<char>('a' + number)),
        id_("i-desk" + std::to_string(number + 1)),
        server_(std::make_unique<Server>(Address{"127.0.3." + std::to_string(number + 1), 0},
                                         [this](int socket, const Request& request) { return serve(socket, request); })),
        beats_([this] { report(); }) {}
  ~Replica() {
    stopping_ = true;
    beats_.join();
    server_->stop();
  }
  const std::string& id() const { return id_; }
  /// The next report is a `deregister`, at once.
  void leave() { leaving_ = true; }
  double acknowledgedAt() const { return acknowledged_at_; }
  bool ended() const { return ended_; }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  bool serve(int socket, const Request& request) {
    const std::string id = request.header("X-Attempt-Id");
    Headers headers{{"X-Attempt-Id", id}};
    if (request.header("X-Expect-Instance") != id_) {
      headers.push_back({"X-Not-Executed", "1"});
      return sendAll(socket, responseText(421, headers, ""));
    }
    if (request.target == "/v1/report" || request.target == "/health") {
      return sendAll(socket, responseText(200, {{"X-Instance-Id", id_}}, "{}"));
    }
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back({id, nowMs()});
    }
    record_.line("run %s at %s", id.c_str(), id_.c_str());
    sleepMs(kWorkMs);
    headers.push_back({"X-Server-Seal", "seal." + id});
    const bool closes = leaving_;
    if (closes) {
      headers.push_back({"Connection", "close"});
    }
    return sendAll(socket, responseText(200, headers, "answer of " + id)) && !closes;
  }
  void report() {
    double next = nowMs();
    while (!stopping_ && !ended_) {
      if (leaving_ && acknowledged_at_ < 0) {
        // The pause before each move to another node grows.
        sleepMs(std::exchange(pause_, pause_ == 0 ? kFirstPauseMs : 2 * pause_));
        const int status = reporter_.post("/v1/instances/" + id_ + "/deregister", "");
        record_.line("%s: deregister to %s: %d", id_.c_str(), reporter_.last().c_str(), status);
        if (status / 100 == 2) {
          acknowledged_at_ = nowMs();
        }
      } else if (leaving_ && nowMs() > acknowledged_at_ + kDrainMs + kLingerMs) {
        server_->stop();
        ended_ = true;
        record_.line("%s has ended", id_.c_str());
      } else if (!leaving_ && nowMs() >= next) {
        next += kHeartbeatMs;
        const std::string body = "{\"service\":\"desk\",\"address\":\"" + server_->address().text() + "\",\"zone\":\"" + zone_ +
                                 "\",\"generation\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"seqNo\":" +
                                 std::to_string(++sequence_) + "}";
        const int status = reporter_.post("/v1/instances/" + id_ + "/heartbeat", body);
        record_.line("%s: heartbeat %d to %s: %d", id_.c_str(), sequence_, reporter_.last().c_str(), status);
        if (status / 100 != 2) {
          next = nowMs() + 200;
        }
      } else {
        sleepMs(5);
      }
    }
  }

  Record& record_;
  Reporter reporter_;
  std::string zone_;
  std::string id_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  int sequence_ = 0;
  double pause_ = 0;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> ended_{false};
  std::atomic<double> acknowledged_at_{-1};
  std::unique_ptr<Server> server_;
  std::thread beats_;
};

struct Outcome {
  double sent;
  double ended;
  int status;
};

const char* const kConfig =
    R"({"generation":1,"routes":[{"name":"r-desk","host":"desk.example","pathPrefix":"/desk/","kind":"unsafe",)"
    R"("timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"sticky":false,)"
    R"("resumable":false}],"services":[{"name":"desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  record.say("trouble: %s", withTrouble() ? "yes" : "no");
  Fleet fleet(record, kCores, kEdges);
  fleet.start();
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(record, fleet, i));
  }
  if (fleet.order("/v1/config/replace", kConfig, 20'000) != 200) {
    record.say("the configuration wasn't taken");
    return kCouldNotRun;
  }
  fleet.endBootstrap();

  std::mutex mutex;
  std::map<std::string, Outcome> outcomes;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      const Address& router = fleet.front[static_cast<std::size_t>(number) % fleet.front.size()];
      Connection connection(router);
      double next_question = 0;
      std::mt19937 pauses(static_cast<unsigned>(number));
      for (int count = 0; !stopping; ++count) {
        // The directory is asked each second; a router that it doesn't name gets nothing.
        if (nowMs() >= next_question) {
          next_question = nowMs() + 1000;
          if (!fleet.names("desk.example", router)) {
            record.line("the directory doesn't name %s", router.text().c_str());
            next_question = 0;
            sleepMs(100);
            continue;
          }
        }
        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(count);
        const double sent = nowMs();
        const Answer answer = connection.call(
            "POST", "/desk/order", {{"Host", "desk.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "1000"}}, "order", 1000);
        const int status = answer.complete ? answer.status : 0;
        record.line("answer %s %d %s", id.c_str(), status, answer.why.c_str());
        {
          const std::lock_guard lock(mutex);
          outcomes[id] = {sent, nowMs(), status};
        }
        sleepMs(20 + static_cast<double>(pauses() % 100));
      }
    });
  }
  // Until all is steady: the leader has heard of everyone for longer than any time-out.
  sleepMs(12'000);

  Replica& leaver = *replicas.front();
  double core_back = -1e9;
  if (withTrouble()) {
    for (const auto& member : fleet.members) {
      member->signal(SIGKILL);
    }
    const double killed = nowMs();
    for (const auto& member : fleet.members) {
      member->end(SIGKILL);
    }
    record.say("killed every process of the core");
    leaver.leave();
    sleepMs(killed + kDownMs - nowMs());
    for (const auto& member : fleet.members) {
      member->start();
    }
    core_back = nowMs();
    record.say("started them again after %.0f ms", core_back - killed);
  } else {
    leaver.leave();
  }
  for (const double until = nowMs() + 15'000; nowMs() < until && !leaver.ended();) {
    sleepMs(20);
  }
  sleepMs(1000);
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto* group : {&fleet.members, &fleet.routers}) {
    for (const auto& process : *group) {
      if (process->hasEnded()) {
        record.say("a process of the product ended by itself, status %d", process->status());
        return kCouldNotRun;
      }
    }
  }

  const double acknowledged = leaver.acknowledgedAt();
  if (acknowledged < 0) {
    record.say("the deregister wasn't acknowledged");
    return kCouldNotRun;
  }
  // Routers are in touch from contactMs after the last start of a core process on.
  const double from = std::max(acknowledged + kDrainMs, core_back + kContactMs);
  int late = 0;
  int lost = 0;
  double last = 0;
  for (const Arrival& arrival : leaver.arrivals()) {
    if (arrival.at > from) {
      ++late;
      last = arrival.at;
      const auto outcome = outcomes.find(arrival.id);
      if (outcome == outcomes.end() || outcome->second.status != 200) {
        ++lost;
        record.line("late and without its answer: %s, status %d", arrival.id.c_str(),
                    outcome == outcomes.end() ? 0 : outcome->second.status);
      }
    }
  }
  const auto good = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& item) { return item.second.status == 200; });
  record.say("requests %zu, of these answered with 200: %ld", outcomes.size(), static_cast<long>(good));
  if (withTrouble()) {
    record.say("%s: deregister acknowledged %.0f ms after the core was back, by a machine %s", leaver.id().c_str(),
               acknowledged - core_back, acknowledged - core_back > kContactMs ? "in touch" : "not yet in touch");
  }
  record.say("requests that reached it later than drainMs after that, by routers in touch: %d", late);
  if (late > 0) {
    record.say("the last one %.0f ms after the acknowledgement; unsafe ones of these that ran and got no answer of it: %d",
               last - acknowledged, lost);
  }
  return late > 0 ? kBroken : kHeld;
}
