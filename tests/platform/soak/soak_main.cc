#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/http.h"
#include "platform/soak/soak_world.h"

/// The world around the product's real processes in a soak: replicas, clients and an operator that speak the
/// platform's protocol on loopback, and a judge. The processes and their faults are tools/platform-soak's.
namespace {

using namespace ferryrock;
using namespace ferryrock::platform;
using namespace std::chrono_literals;

constexpr int kDeskReplicas = 2;
constexpr int kModelReplicas = 4;
/// Every third client keeps its router.
constexpr int kKeepsRouter = 3;
constexpr Duration kReplacedEvery = 5s;
/// A crashed replica is followed by another one after up to this time.
constexpr Duration kRestoredEvery = 2s;
/// Served calls a second at the end for each client, below which service hasn't recovered; a client sends
/// about eight.
constexpr double kLeastServedPerSecond = 40.0 / 24;

/// Keeps the replicas, and lets the one that has lived longest leave now and then.
class Replicas {
 public:
  explicit Replicas(SoakContext& context) : context_(context) {
    for (int i = 0; i < kDeskReplicas + kModelReplicas; ++i) {
      add(i >= kDeskReplicas);
    }
    timer_ = context.dispatcher.createTimer([this] { replaceOldest(); });
    timer_->enable(kReplacedEvery);
    restore_timer_ = context.dispatcher.createTimer([this] { restore(); });
    restore_timer_->enable(kRestoredEvery);
  }

 private:
  void restore() {
    const auto up = std::count_if(replicas_.begin(), replicas_.end(),
                                  [](const auto& item) { return item.first && item.second->staysUp(); });
    for (auto i = up; i < kModelReplicas; ++i) {
      constexpr bool kWithModels = true;
      add(kWithModels);
    }
    restore_timer_->enable(kRestoredEvery);
  }
  void add(bool with_models) {
    const std::string id = (with_models ? "llm-" : "desk-") + std::to_string(++count_);
    replicas_.emplace_back(with_models, std::make_unique<SoakReplica>(context_, id, with_models));
  }
  void replaceOldest() {
    std::erase_if(replicas_, [](const auto& item) { return item.second->ended(); });
    const std::size_t position = context_.random.below(replicas_.size());
    if (!replicas_[position].second->staysUp()) {
      timer_->enable(kReplacedEvery);
      return;
    }
    const bool with_models = replicas_[position].first;
    replicas_[position].second->leave();
    add(with_models);
    timer_->enable(kReplacedEvery);
  }

  SoakContext& context_;
  std::vector<std::pair<bool, std::unique_ptr<SoakReplica>>> replicas_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<event::Timer> restore_timer_;
  int count_ = 0;
};

struct Excuse {
  std::string router;
  TimePoint from{};
  TimePoint to{};
};

/// Reads "ADDRESS=FROM-TO", in seconds from `start`; nullopt: the default, none is excused.
std::optional<Excuse> readExcuse(const std::string& entry, TimePoint start) {
  const std::size_t equals = entry.find('=');
  const std::size_t dash = entry.find('-', equals);
  if (equals == std::string::npos || dash == std::string::npos) {
    return std::nullopt;
  }
  const auto seconds = [start](const std::string& text) {
    return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::stod(text)));
  };
  return Excuse{entry.substr(0, equals), seconds(entry.substr(equals + 1, dash - equals - 1)),
                seconds(entry.substr(dash + 1))};
}

/// A partition of one process from all replicas.
struct Partition {
  std::string process;
  Excuse period;  ///< of the process' address
};

/// Reads "PROCESS@ADDRESS=FROM-TO", in seconds from `start`; nullopt: the default, there is none.
std::optional<Partition> readPartition(const std::string& entry, TimePoint start) {
  const std::size_t at = entry.find('@');
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const auto period = readExcuse(entry.substr(at + 1), start);
  return period ? std::optional(Partition{entry.substr(0, at), *period}) : std::nullopt;
}

/// Carries the partitions out at their times.
class Partitions {
 public:
  Partitions(SoakContext& context, const std::vector<Partition>& partitions) {
    for (const Partition& partition : partitions) {
      add(context, partition.period.from,
          [&context, process = partition.process] { context.links.partition(process); });
      add(context, partition.period.to,
          [&context, process = partition.process] { context.links.heal(process); });
      context.reach.partition(partition.period.router, partition.period.from, partition.period.to);
    }
  }

 private:
  void add(SoakContext& context, TimePoint at, event::Callback callback) {
    timers_.push_back(context.dispatcher.createTimer(std::move(callback)));
    timers_.back()->enable(std::max<Duration>(Duration::zero(), at - context.now()));
  }

  std::vector<std::unique_ptr<event::Timer>> timers_;
};

/// The start of the plan of faults by the dispatcher's clock.
TimePoint planStart(const SoakContext& context, double began) {
  if (began <= 0) {
    return context.now();
  }
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  const std::chrono::duration<double> since =
      std::chrono::duration<double>(unix_now) - std::chrono::duration<double>(began);
  return context.now() - std::chrono::duration_cast<Duration>(since);
}

int report(const SoakOracle& oracle, double served_per_second) {
  for (const std::string& line : oracle.broken()) {
    std::cout << "broken " << line << "\n";
  }
  std::cout << "served " << oracle.served() << ", refused as not run " << oracle.refused() << ", unclear "
            << oracle.unclear() << ", newest configuration acknowledged " << oracle.newestAcknowledged()
            << ", served a second at the end " << served_per_second << "\n";
  std::cout << (oracle.broken().empty() ? "clean" : "NOT clean") << "\n";
  return oracle.broken().empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("ferryrock-platform-soak", "The world around the processes in a soak.");
  options.add_options()("control", "Addresses of control members",
                        cxxopts::value<std::vector<std::string>>());
  options.add_options()("directory", "Addresses of directories", cxxopts::value<std::vector<std::string>>());
  options.add_options()("seconds", "How long", cxxopts::value<int>()->default_value("60"));
  options.add_options()("quiet", "Seconds without faults at the end",
                        cxxopts::value<int>()->default_value("15"));
  options.add_options()("excused", "ADDRESS=FROM-TO: a router and the seconds in which it may be down",
                        cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.add_options()("crashed", "ADDRESS=FROM-TO: a router and the seconds in which it may lose calls",
                        cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.add_options()("partitioned", "PROCESS@ADDRESS=FROM-TO: a router that reaches no replica then",
                        cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.add_options()("processes", "Folder with a file NAME.pid for each process",
                        cxxopts::value<std::string>()->default_value(""));
  options.add_options()("began", "Start of the plan of faults, in Unix seconds; 0: now",
                        cxxopts::value<double>()->default_value("0"));
  options.add_options()("clients", "How many clients", cxxopts::value<int>()->default_value("24"));
  options.add_options()("seed", "Of all that is drawn", cxxopts::value<std::uint64_t>()->default_value("1"));
  const auto given = options.parse(argc, argv);

  const auto dispatcher = event::createAceDispatcher();
  const auto client = http::createClient(*dispatcher);
  SoakOracle oracle;
  SoakNoticeOracle notices(oracle);
  SoakLimitJudge limits(oracle);
  SoakLossJudge losses(oracle);
  SoakReachJudge reach(oracle);
  SoakRetryJudge retries(oracle);
  SoakStreamJudge streams(oracle);
  SoakPartJudge parts(oracle);
  SoakLinks links(*dispatcher, given["processes"].as<std::string>());
  Random random(given["seed"].as<std::uint64_t>());
  SoakContext context{
      *dispatcher,
      *client,
      oracle,
      notices,
      limits,
      losses,
      reach,
      retries,
      streams,
      parts,
      links,
      random,
      {given["control"].as<std::vector<std::string>>(), given["directory"].as<std::vector<std::string>>()}};
  const TimePoint start = planStart(context, given["began"].as<double>());
  for (const std::string& entry : given["excused"].as<std::vector<std::string>>()) {
    if (const auto excused = readExcuse(entry, start)) {
      notices.excuse(excused->router, excused->from, excused->to);
      limits.excuse(excused->router, excused->from, excused->to);
      reach.excuse(excused->router, excused->from, excused->to);
    }
  }
  for (const std::string& entry : given["crashed"].as<std::vector<std::string>>()) {
    if (const auto crashed = readExcuse(entry, start)) {
      losses.excuse(crashed->router, crashed->from, crashed->to);
    }
  }
  std::vector<Partition> planned;
  for (const std::string& entry : given["partitioned"].as<std::vector<std::string>>()) {
    if (auto partition = readPartition(entry, start)) {
      planned.push_back(std::move(*partition));
    }
  }
  const Partitions partitions(context, planned);
  Replicas replicas(context);
  SoakOperator soak_operator(context);
  std::vector<std::unique_ptr<SoakClient>> clients;
  const int client_count = given["clients"].as<int>();
  clients.reserve(static_cast<std::size_t>(client_count));
  for (int i = 0; i < client_count; ++i) {
    const bool keeps_router = i % kKeepsRouter == 0;
    clients.push_back(std::make_unique<SoakClient>(context, "c" + std::to_string(i), keeps_router));
  }
  const Duration whole = std::chrono::seconds(given["seconds"].as<int>());
  const Duration last_part = std::chrono::seconds(given["quiet"].as<int>()) / 3;
  std::uint64_t served_before = 0;
  const auto mark = dispatcher->createTimer([&] { served_before = oracle.served(); });
  mark->enable(whole - last_part);
  const auto end = dispatcher->createTimer([&] { dispatcher->exit(); });
  end->enable(whole);
  dispatcher->run();

  const double seconds = std::chrono::duration<double>(last_part).count();
  const double served_per_second = static_cast<double>(oracle.served() - served_before) / seconds;
  if (served_per_second < kLeastServedPerSecond * client_count) {
    oracle.breakRule("RECOVER", "service did not come back after the last fault");
  }
  limits.judge();
  reach.judge();
  retries.judge();
  streams.judge();
  parts.judge(start + whole - std::chrono::seconds(given["quiet"].as<int>()));
  std::cout << "streams taken up " << streams.takenUp() << ", went on " << streams.wentOn()
            << ", with two versions " << streams.mixed() << "\n";
  std::cout << "worst use of a retry budget " << retries.worstUse() << "\n";
  std::cout << "partitions judged " << reach.judged() << "\n";
  std::cout << "crashes by the prompt part " << parts.crashes() << "\n";
  std::cout << "limits named " << limits.named() << "\n";
  return report(oracle, served_per_second);
}
