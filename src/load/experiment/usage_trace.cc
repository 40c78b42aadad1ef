#include "load/experiment/usage_trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

#include "common/random.h"

namespace ferryrock::load::experiment {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr Duration kDay = hours(24);
constexpr int kDaysPerWeek = 7;
constexpr int kWorkDays = 5;
constexpr double kNightActivity = 0.08;
constexpr double kWeekendFactor = 0.35;
constexpr int kHoursPerDay = 24;
/// Activity of each hour of a working day; the mean over a week is made up for in dailyActivity().
constexpr std::array<double, kHoursPerDay> kHourActivity = {0.05, 0.04, 0.04, 0.05, 0.10, 0.30, 0.60, 0.90,
                                                            1.00, 1.00, 0.95, 0.80, 0.60, 0.85, 0.95, 0.90,
                                                            0.80, 0.60, 0.40, 0.30, 0.22, 0.15, 0.10, 0.07};
constexpr double kThinkSigma = 0.8;
constexpr Duration kTimetableJitter = minutes(4);

double meanActivity() {
  double sum = 0;
  for (int hour = 0; hour < kHoursPerDay * kDaysPerWeek; ++hour) {
    sum += activityAt(hours(hour));
  }
  return sum / (kHoursPerDay * kDaysPerWeek);
}

/// The instant at which so many seconds of activity, at the weekly mean, have passed since a time.
Duration afterActivity(Duration from, double active_seconds, Duration end) {
  static const double mean = meanActivity();
  Duration at = from;
  double left = active_seconds * mean;
  while (at < end) {
    const Duration hour_end = hours(1) * (at / hours(1) + 1);
    const double rate = activityAt(at);
    const double in_hour = toSeconds(hour_end - at) * rate;
    if (in_hour >= left) {
      return at + fromSeconds(left / rate);
    }
    left -= in_hour;
    at = hour_end;
  }
  return end;
}

double normal(Random& random) {
  const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
  return radius * std::cos(2 * std::numbers::pi * random.unit());
}

double logNormal(double mean, double sigma, Random& random) {
  return mean * std::exp(sigma * normal(random) - sigma * sigma / 2);
}

/// Adds the requests of one model and its adapters.
class ModelUsage {
 public:
  ModelUsage(const ExperimentSettings& settings, const ModelGroup& group, std::vector<std::size_t> names,
             Random& random, UsageTrace& trace)
      : settings_(settings), group_(group), names_(std::move(names)), random_(random), trace_(trace) {}

  void addSessions(std::uint32_t rank) {
    const double per_day =
        group_.usage.sessions_per_day / std::pow(static_cast<double>(rank), group_.usage.popularity_exponent);
    if (per_day <= 0) {
      return;
    }
    const double mean_gap = toSeconds(kDay) / per_day;
    Duration at = afterActivity(Duration::zero(), mean_gap * random_.unit(), settings_.length);
    while (at < settings_.length) {
      addSession(at);
      at = afterActivity(at, logNormal(mean_gap, group_.usage.gap_sigma, random_), settings_.length);
    }
  }

  void addTimetable() {
    std::vector<Duration> times;
    for (std::uint32_t use = 0; use < group_.usage.timetable_uses; ++use) {
      times.push_back(fromSeconds(toSeconds(kDay) * random_.unit()));
    }
    for (Duration day{}; day < settings_.length; day += kDay) {
      for (const Duration time : times) {
        addSession(day + time + fromSeconds(toSeconds(kTimetableJitter) * random_.unit()));
      }
    }
  }

  void addBurst(Duration at) {
    for (std::uint32_t request = 0; request < group_.usage.burst_requests; ++request) {
      add(at + fromSeconds(toSeconds(group_.usage.burst_span) * random_.unit()), names_.front());
    }
  }

 private:
  void addSession(Duration at) {
    std::size_t name = names_.front();
    if (names_.size() > 1 && random_.chance(group_.adapter_share)) {
      name = names_[1 + random_.below(names_.size() - 1)];
    }
    const std::uint32_t router = drawRouter();
    do {
      add(at, name, router);
      at += fromSeconds(toSeconds(group_.usage.think_time) * std::exp(kThinkSigma * normal(random_)));
    } while (random_.chance(1 - 1 / group_.usage.requests_per_session));
  }

  std::uint32_t drawRouter() { return static_cast<std::uint32_t>(random_.below(settings_.routers)); }
  void add(Duration at, std::size_t name) { add(at, name, drawRouter()); }
  void add(Duration at, std::size_t name, std::uint32_t router) {
    const Duration service = fromSeconds(random_.exponential(toSeconds(group_.usage.service_time)));
    if (at < settings_.length) {
      trace_.requests.push_back({at, name, router, service});
    }
  }

  const ExperimentSettings& settings_;
  const ModelGroup& group_;
  std::vector<std::size_t> names_;
  Random& random_;
  UsageTrace& trace_;
};

std::size_t addModel(UsageTrace& trace, const ModelGroup& group, const std::string& name) {
  TracedModel model{group.settings, trace.models.size(), group.settings.min_replicas == 0};
  model.settings.name = model.settings.base = model.settings.served = ModelName{name};
  model.settings.adapter_bytes = 0;
  trace.models.push_back(model);
  return model.base;
}

std::size_t addAdapter(UsageTrace& trace, const ModelGroup& group, std::size_t base,
                       const std::string& name) {
  TracedModel model{group.settings, base, trace.models[base].rarely_used};
  model.settings.name = model.settings.served = ModelName{name};
  model.settings.base = trace.models[base].settings.name;
  model.settings.is_adapter = true;
  model.settings.weight_bytes = 0;
  model.settings.cache_reserve_bytes = 0;
  trace.models.push_back(model);
  return trace.models.size() - 1;
}

void addGroup(const ExperimentSettings& settings, const ModelGroup& group, Random& random,
              UsageTrace& trace) {
  std::vector<ModelUsage> usages;
  for (std::uint32_t number = 1; number <= group.models; ++number) {
    const std::string name = group.name + "-" + std::to_string(number);
    std::vector<std::size_t> names = {addModel(trace, group, name)};
    for (std::uint32_t adapter = number; adapter <= group.adapters; adapter += group.models) {
      names.push_back(addAdapter(trace, group, names.front(), name + "-adapter-" + std::to_string(adapter)));
    }
    usages.emplace_back(settings, group, std::move(names), random, trace);
  }
  const auto timetabled = static_cast<std::uint32_t>(std::lround(group.usage.timetable_share * group.models));
  for (std::uint32_t number = 1; number <= group.models; ++number) {
    const bool by_timetable = number > group.models - timetabled;
    by_timetable ? usages[number - 1].addTimetable() : usages[number - 1].addSessions(number);
  }
  if (group.usage.bursts_per_week <= 0) {
    return;
  }
  const double mean_gap = toSeconds(kDay) * kDaysPerWeek / group.usage.bursts_per_week;
  Duration at = afterActivity(Duration::zero(), random.exponential(mean_gap), settings.length);
  while (at < settings.length) {
    usages[random.below(usages.size())].addBurst(at);
    at = afterActivity(at, random.exponential(mean_gap), settings.length);
  }
}

}  // namespace

double activityAt(Duration time) {
  const std::int64_t hour = time / hours(1);
  const bool weekend = (hour / kHoursPerDay) % kDaysPerWeek >= kWorkDays;
  const double activity = kHourActivity.at(static_cast<std::size_t>(hour % kHoursPerDay));
  return std::max(kNightActivity, activity * (weekend ? kWeekendFactor : 1));
}

UsageTrace generateTrace(const ExperimentSettings& settings) {
  UsageTrace trace;
  Random random(settings.seed);
  for (const ModelGroup& group : settings.groups) {
    addGroup(settings, group, random, trace);
  }
  std::stable_sort(trace.requests.begin(), trace.requests.end(),
                   [](const TracedRequest& left, const TracedRequest& right) { return left.at < right.at; });
  return trace;
}

}  // namespace ferryrock::load::experiment
