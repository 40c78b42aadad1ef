#include "simulation/sweep.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace ferryrock::simulation {
namespace {

void add(RunReport& sum, const RunReport& one) {
  sum.events += one.events;
  for (std::size_t i = 0; i < kFaultKinds; ++i) {
    sum.faults[i] += one.faults[i];
  }
  sum.requests.sent += one.requests.sent;
  sum.requests.answered += one.requests.answered;
  sum.requests.refused_not_run += one.requests.refused_not_run;
  sum.requests.failed_ran += one.requests.failed_ran;
  sum.requests.failed_unknown += one.requests.failed_unknown;
  sum.requests.cut += one.requests.cut;
  sum.requests.left += one.requests.left;
  sum.changes_accepted += one.changes_accepted;
  sum.changes_in_conflict += one.changes_in_conflict;
  sum.messages_dropped += one.messages_dropped;
  sum.messages_doubled += one.messages_doubled;
  sum.torn_writes += one.torn_writes;
  sum.entries_committed += one.entries_committed;
  sum.settled_change = std::max(sum.settled_change, one.settled_change);
}

/// Runs work on so many threads and waits for all.
void onThreads(std::uint32_t threads, const std::function<void()>& work) {
  std::vector<std::thread> running;
  for (std::uint32_t i = 0; i < threads; ++i) {
    running.emplace_back(work);
  }
  for (std::thread& thread : running) {
    thread.join();
  }
}

}  // namespace

SweepReport sweep(const SweepSettings& settings, const std::function<void(const RunReport&)>& on_failure) {
  SweepReport report;
  std::mutex mutex;
  std::atomic<std::uint64_t> next_seed = settings.first_seed;
  const auto work = [&] {
    for (;;) {
      const std::uint64_t seed = next_seed++;
      if (seed > settings.last_seed) {
        return;
      }
      RunSettings one = settings.run;
      one.seed = seed;
      const RunReport result = run(one);
      const std::lock_guard lock(mutex);
      ++report.runs;
      report.passed += result.passed ? 1 : 0;
      add(report.sum, result);
      if (!result.passed) {
        report.failures.push_back(result);
        on_failure(result);
      }
    }
  };
  onThreads(settings.threads, work);
  std::sort(report.failures.begin(), report.failures.end(),
            [](const RunReport& left, const RunReport& right) { return left.seed < right.seed; });
  return report;
}

std::optional<RunReport> firstFailure(const RunSettings& settings, std::uint64_t first_seed,
                                      std::uint64_t last_seed, std::uint32_t threads) {
  std::optional<RunReport> lowest;
  std::mutex mutex;
  std::atomic<std::uint64_t> next_seed = first_seed;
  std::atomic<bool> found = false;
  // Seeds are begun in order, and one that is begun is finished, so the lowest failing one is always seen.
  onThreads(threads, [&] {
    while (!found) {
      const std::uint64_t seed = next_seed++;
      if (seed > last_seed) {
        return;
      }
      RunSettings one = settings;
      one.seed = seed;
      RunReport result = run(one);
      const std::lock_guard lock(mutex);
      if (!result.passed && (!lowest || seed < lowest->seed)) {
        lowest = std::move(result);
        found = true;
      }
    }
  });
  return lowest;
}

void printCounts(std::ostream& output, const RunReport& counts) {
  const auto line = [&output](std::string_view name, std::uint64_t value) {
    output << "  " << name << ": " << value << '\n';
  };
  output << "faults injected\n";
  for (std::size_t i = 0; i < kFaultKinds; ++i) {
    line(faultName(static_cast<FaultKind>(i)), counts.faults[i]);
  }
  line("messages dropped", counts.messages_dropped);
  line("messages doubled", counts.messages_doubled);
  line("writes torn", counts.torn_writes);
  output << "requests\n";
  line("sent", counts.requests.sent);
  line("answered", counts.requests.answered);
  line("refused as not run", counts.requests.refused_not_run);
  line("failed after they ran", counts.requests.failed_ran);
  line("outcome unknown", counts.requests.failed_unknown);
  line("cut by their router's death", counts.requests.cut);
  line("left by their caller", counts.requests.left);
  output << "changes\n";
  line("accepted", counts.changes_accepted);
  line("in conflict", counts.changes_in_conflict);
  line("log entries committed", counts.entries_committed);
  line("longest time for a change to be in force after the faults, ms",
       static_cast<std::uint64_t>(toMilliseconds(counts.settled_change)));
}

}  // namespace ferryrock::simulation
