// Every process of the core and one router are killed at the same moment and are back within a second. Clients take up
// the streams that this broke at the other router, as the pages say: with Last-Event-Id and Resumes. Judges the share of
// them that goes on, in touch, against that of new streams.

#include "../stand-ins/harness.h"

namespace {

using namespace review;

constexpr int kCores = 5;
constexpr int kReplicas = 3;
constexpr int kStreams = 24;
constexpr int kEvents = 100;
constexpr double kEventMs = 100;
constexpr double kDeadlineMs = 15'000;
constexpr double kDownMs = 700;

const char* const kConfig =
    R"({"generation":1,"routes":[{"name":"r-talk","host":"talk.example","pathPrefix":"/talk/","kind":"streaming",)"
    R"("timeoutMs":15000,"targetLatencyMs":600,"priority":1,"service":"talk","maxAttempts":2,"sticky":false,)"
    R"("resumable":true,"gapTargetMs":300}],"services":[{"name":"talk","healthPath":"/health","maxConns":360,)"
    R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

/// A replica of the service "talk". Each stream has the events 1 to kEvents; one that is taken up goes on behind the
/// last event that the request names.
class Replica {
 public:
  Replica(Record& record, const Fleet& fleet, int number)
      : record_(record),
        id_("i-talk" + std::to_string(number + 1)),
        server_(Address{"127.0.3." + std::to_string(number + 1), 0},
                [this](int socket, const Request& request) { return serve(socket, request); }),
        beats_([this, &fleet, number] { report(fleet, number); }) {}
  ~Replica() {
    stopping_ = true;
    beats_.join();
    server_.stop();
  }

 private:
  bool serve(int socket, const Request& request) {
    const std::string id = request.header("X-Attempt-Id");
    if (request.header("X-Expect-Instance") != id_) {
      return sendAll(socket, responseText(421, {{"X-Attempt-Id", id}, {"X-Not-Executed", "1"}}, ""));
    }
    if (request.target == "/v1/report" || request.target == "/health") {
      return sendAll(socket, responseText(200, {{"X-Instance-Id", id_}}, "{}"));
    }
    int last = std::atoi(request.header("Last-Event-Id").c_str());
    record_.line("%s runs %s behind event %d", id_.c_str(), id.c_str(), last);
    if (!sendAll(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal." + id +
                             "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    while (++last <= kEvents && !stopping_) {
      const std::string event = "id: " + std::to_string(last) + "\ndata: piece " + std::to_string(last) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!sendAll(socket, size + event + "\r\n")) {
        return false;
      }
      sleepMs(kEventMs);
    }
    return sendAll(socket, "0\r\n\r\n");
  }
  void report(const Fleet& fleet, int number) {
    Reporter reporter(fleet, static_cast<std::size_t>(number));
    int sequence = 0;
    for (double next = nowMs(); !stopping_; sleepMs(5)) {
      if (nowMs() < next) {
        continue;
      }
      next = nowMs() + kHeartbeatMs;
      const int status = reporter.post(
          "/v1/instances/" + id_ + "/heartbeat",
          "{\"service\":\"talk\",\"address\":\"" + server_.address().text() + "\",\"zone\":\"hall-" +
              static_cast<char>('a' + number) + "\",\"generation\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"seqNo\":" +
              std::to_string(++sequence) + "}");
      if (status / 100 != 2) {
        next = nowMs() + 150;
      }
    }
  }

  Record& record_;
  std::string id_;
  std::atomic<bool> stopping_{false};
  Server server_;
  std::thread beats_;
};

Headers headersOf(const std::string& id, double left_ms) {
  return {{"Host", "talk.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(static_cast<int>(left_ms))}};
}

int lastEvent(const std::string& body) {
  const std::size_t end = body.rfind("\n\n");
  const std::size_t begin = end == std::string::npos ? end : body.rfind("id: ", end);
  return begin == std::string::npos ? 0 : std::atoi(body.c_str() + begin + 4);
}

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  const bool trouble = withTrouble();
  record.say("trouble: %s", trouble ? "yes" : "no");
  Fleet fleet(record, kCores, 2);
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
  sleepMs(10'000);

  std::atomic<double> core_back{1e12};
  std::atomic<int> began{0}, taken_up{0}, went_on{0}, fresh{0}, fresh_began{0};
  std::mutex mutex;
  std::map<int, int> statuses;
  std::vector<std::thread> clients;
  for (int number = 0; number < kStreams; ++number) {
    clients.emplace_back([&, number] {
      const std::string first = "stream" + std::to_string(number);
      const double deadline = nowMs() + kDeadlineMs;
      if (!fleet.names("talk.example", fleet.front[0])) {
        record.line("the directory doesn't name the first router");
        return;
      }
      Connection old(fleet.front[0]);
      // Without the trouble the client's connection ends at the same time, but not by a kill.
      const Answer begun = old.call("POST", "/talk/x", headersOf(first, kDeadlineMs), "question", trouble ? kDeadlineMs : 3'000);
      old.close();
      int last = lastEvent(begun.body);
      record.line("%s: status %d, events up to %d, %s", first.c_str(), begun.status, last, begun.why.c_str());
      if (begun.status != 200 || last == 0 || begun.complete) {
        return;
      }
      ++began;
      // It tries again at once, after a while, and in touch, each time at the other router.
      for (int attempt = 1; attempt <= 3; ++attempt) {
        if (attempt == 2) {
          sleepMs(1500);
        }
        while (attempt == 3 && nowMs() < core_back + kContactMs + 300) {
          sleepMs(10);
        }
        // Of the addresses that the directory names, the one that has failed the client is left out.
        if (!fleet.names("talk.example", fleet.front[1])) {
          record.line("the directory doesn't name the second router");
          continue;
        }
        const bool in_touch = nowMs() > core_back + kContactMs;
        Headers headers = headersOf(first + "-again" + std::to_string(attempt), deadline - nowMs());
        headers.emplace_back("Last-Event-Id", std::to_string(last));
        headers.emplace_back("Resumes", first);
        Connection other(fleet.front[1]);
        const Answer answer = other.call("POST", "/talk/x", headers, "question", deadline - nowMs());
        const int now_last = lastEvent(answer.body);
        const bool goes_on = answer.status == 200 && now_last > last;
        record.line("%s taken up behind %d: status %d, events up to %d, %s %s", first.c_str(), last, answer.status, now_last,
                    goes_on ? "goes on" : "doesn't go on", answer.status == 200 ? "" : answer.body.c_str());
        if (in_touch || !trouble) {
          ++taken_up;
          went_on += goes_on ? 1 : 0;
          const std::lock_guard lock(mutex);
          ++statuses[answer.status];
        }
        if (goes_on) {
          return;
        }
      }
    });
  }
  sleepMs(3000);
  if (trouble) {
    for (const auto& member : fleet.members) {
      member->signal(SIGKILL);
    }
    fleet.routers[0]->signal(SIGKILL);
    const double killed = nowMs();
    for (const auto& member : fleet.members) {
      member->end(SIGKILL);
    }
    fleet.routers[0]->end(SIGKILL);
    record.say("killed every process of the core and one router of two");
    sleepMs(killed + kDownMs - nowMs());
    for (const auto& member : fleet.members) {
      member->start();
    }
    fleet.routers[0]->start();
    core_back = nowMs();
    record.say("started them again after %.0f ms", core_back - killed);
  } else {
    core_back = nowMs();
  }
  // New streams at the same router, in touch.
  sleepMs(core_back + kContactMs + 300 - nowMs());
  for (int number = 0; number < kStreams; ++number) {
    clients.emplace_back([&, number] {
      ++fresh;
      Connection connection(fleet.front[1]);
      const Answer answer = connection.call("POST", "/talk/x", headersOf("new" + std::to_string(number), kDeadlineMs), "question", 2'000);
      fresh_began += answer.status == 200 && lastEvent(answer.body) > 0 ? 1 : 0;
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.say("streams broken after they had begun: %d", began.load());
  record.say("taken up at the router that ran all the time, in touch: %d, went on: %d", taken_up.load(), went_on.load());
  for (const auto& [status, count] : statuses) {
    record.say("answered with %d: %d", status, count);
  }
  record.say("new streams there meanwhile: %d, begun: %d", fresh.load(), fresh_began.load());
  if (taken_up < 12 || fresh_began == 0) {
    record.say("too few for the rule");
    return kCouldNotRun;
  }
  const bool broken = 1.0 * went_on / taken_up < 0.5 * fresh_began / fresh;
  return broken ? kBroken : kHeld;
}
