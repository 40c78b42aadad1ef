// A machine of the core is replaced as planned: the new one first, then SIGTERM for the old one. When the replaced machine
// no longer counts as lost, two others lose their disks, as many as may be lost at once. Judges whether the acknowledged
// configuration can be read back. MODE=three: no disk is lost; three machines are replaced as planned, one every GAP_MS.

#include "../stand-ins/harness.h"

namespace {

using namespace review;

constexpr int kCores = 5;
constexpr double kCatchUpMs = 4000;
constexpr double kAskedForMs = 40'000;  // after the machines are back; far beyond recoveryS and contactMs
constexpr double kDownMs = 500;
constexpr std::size_t kReplaced = 3;  // with MODE=three

std::string config(int version) {
  return "{\"generation\":" + std::to_string(version) +
         R"(,"routes":[{"name":"r-desk","host":"desk.example","pathPrefix":"/desk/","kind":"unsafe","timeoutMs":1000,)"
         R"("targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":1,"sticky":false,"resumable":false}],)"
         R"("services":[{"name":"desk","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  Record record(arguments[1]);
  record.say("trouble: %s", withTrouble() ? "yes" : "no");
  const bool three = std::getenv("MODE") != nullptr && std::string(std::getenv("MODE")) == "three";
  Fleet fleet(record, kCores + kReplaced, 1);
  fleet.start(kReplaced);
  const std::size_t added = kCores;
  if (fleet.order("/v1/config/replace", config(1), 20'000) != 200) {
    record.say("the configuration wasn't taken");
    return kCouldNotRun;
  }
  record.say("configuration 1 acknowledged");
  fleet.endBootstrap();
  sleepMs(8000);

  const int leader = fleet.leader();
  if (leader < 0) {
    record.say("no leader");
    return kCouldNotRun;
  }
  // The old machine doesn't lead, and isn't a seed, so that nothing else changes.
  const std::size_t old = leader == 4 ? 3 : 4;
  const std::size_t first = leader == 0 ? 1 : 0;
  const std::size_t second = leader == 2 ? 1 : 2;
  std::vector<std::size_t> gone{old};
  fleet.members[added]->start();
  if (three) {
    for (std::size_t i = 1; i < kReplaced; ++i) {
      fleet.members[added + i]->start();
    }
    gone.clear();
    for (std::size_t i = kCores; i-- > 0 && gone.size() < kReplaced;) {
      if (static_cast<int>(i) != leader) {
        gone.push_back(i);
      }
    }
  }
  const double added_at = nowMs();
  record.say("%d machines of the core added, empty", three ? static_cast<int>(kReplaced) : 1);
  sleepMs(kCatchUpMs + 300);
  // Without the trouble there is time for each replacement to be finished.
  const char* gap = std::getenv("GAP_MS");
  const double gap_ms = !withTrouble() ? 8000 : gap == nullptr ? 2000 : std::atof(gap);
  for (const std::size_t i : gone) {
    if (i != gone.front()) {
      sleepMs(gap_ms);
    }
    if (three && i == gone.back() && fleet.order("/v1/config/replace", config(2), 5000) == 200) {
      record.say("configuration 2 acknowledged");
    }
    fleet.members[i]->end(SIGTERM);
    record.say("machine %zu has ended after SIGTERM and is gone for good, %.0f ms after its successor's start", i + 1,
               nowMs() - added_at);
  }
  // Beyond catchUpS, so that the replaced machine doesn't count by any reading; AFTER_MS tries other times.
  const char* after = std::getenv("AFTER_MS");
  sleepMs(after == nullptr ? kCatchUpMs + 100 : std::atof(after));
  if (!three && fleet.order("/v1/config/replace", config(2), 5000) != 200) {
    record.say("configuration 2 wasn't taken");
    return kCouldNotRun;
  }
  if (!three) {
    record.say("configuration 2 acknowledged");
  }
  if (withTrouble() && !three) {
    for (const std::size_t lost : {first, second}) {
      fleet.members[lost]->signal(SIGKILL);
    }
    for (const std::size_t lost : {first, second}) {
      fleet.members[lost]->end(SIGKILL);
      fleet.loseDisk(lost);
    }
    record.say("machines %zu and %zu lost their disks (the leader is %d)", first + 1, second + 1, leader + 1);
    sleepMs(kDownMs);
    fleet.members[first]->start();
    fleet.members[second]->start();
  }
  const double back = nowMs();
  std::vector<std::size_t> running;
  for (std::size_t i = 0; i < fleet.members.size(); ++i) {
    const bool runs = std::find(gone.begin(), gone.end(), i) == gone.end() && i < kCores + (three ? kReplaced : 1);
    if (runs) {
      running.push_back(i);
    }
  }
  int asked = 0;
  std::map<int, int> statuses;
  double read_at = -1;
  bool newest = false;
  while (nowMs() < back + kAskedForMs && read_at < 0) {
    const Address& node = fleet.control[running[static_cast<std::size_t>(asked) % running.size()]];
    const Answer answer = Fleet::ask(node, "GET", "/v1/config/get", "", 1000);
    ++asked;
    ++statuses[answer.complete ? answer.status : 0];
    record.line("read at %s: %d %s", node.text().c_str(), answer.complete ? answer.status : 0, answer.why.c_str());
    if (answer.complete && answer.status == 200) {
      read_at = nowMs();
      newest = answer.body == config(2);
    }
    sleepMs(250);
  }
  for (const std::size_t i : running) {
    if (fleet.members[i]->hasEnded()) {
      record.say("machine %zu ended by itself, status %d", i + 1, fleet.members[i]->status());
    }
  }
  for (const auto& [status, count] : statuses) {
    record.say("reads answered with %d: %d", status, count);
  }
  if (read_at >= 0) {
    record.say("configuration read back %.0f ms after the machines were back, %s", read_at - back,
               newest ? "the newest" : "NOT the newest");
    return newest ? kHeld : kBroken;
  }
  const int status = fleet.order("/v1/config/replace", config(3), 5000);
  record.say("the configuration didn't come for %.0f s although all %zu machines run; a new one: %d", kAskedForMs / 1000,
             running.size(), status);
  return kBroken;
}
