#include "load/experiment/clairvoyant_bound.h"

#include <algorithm>

namespace ferryrock::load::experiment {
namespace {

constexpr double kSecondsPerHour = 3600;
constexpr double kTailShare = 0.01;

/// An idle stretch of a base model that ends with a use.
struct Gap {
  double held_cost = 0;      ///< idle accelerator seconds if a replica is kept
  double released_cost = 0;  ///< of loading it again
  double waits = 0;          ///< seconds that requests wait if it is loaded with demand
  double cold_requests = 0;
};

class GapCollector {
 public:
  GapCollector(const ExperimentSettings& settings, const UsageTrace& trace)
      : settings_(settings), trace_(trace) {}

  std::vector<Gap> collect() {
    std::vector<std::vector<const TracedRequest*>> uses(trace_.models.size());
    for (const TracedRequest& request : trace_.requests) {
      uses[trace_.models[request.model].base].push_back(&request);
    }
    for (std::size_t model = 0; model < uses.size(); ++model) {
      if (trace_.models[model].rarely_used) {
        collectModel(trace_.models[model].settings, uses[model]);
      }
    }
    return std::move(gaps_);
  }

 private:
  void collectModel(const wire::ResolvedModel& model, const std::vector<const TracedRequest*>& uses) {
    const double share = model.accelerators *
                         static_cast<double>(model.weight_bytes + model.cache_reserve_bytes) /
                         static_cast<double>(settings_.engine.bytes_per_accelerator);
    const Duration load = settings_.engine.load_overhead +
                          transferTime(settings_.engine, model.weight_bytes * model.accelerators,
                                       settings_.engine.memory_bytes_per_second);
    Duration busy_until = settings_.requests_lead;
    for (std::size_t index = 0; index < uses.size(); ++index) {
      const Duration at = uses[index]->at;
      if (at > busy_until && at >= settings_.requests_lead) {
        Gap gap{toSeconds(at - busy_until) * share, toSeconds(load + settings_.engine.unload_time) * share, 0,
                0};
        for (std::size_t next = index; next < uses.size() && uses[next]->at < at + load; ++next) {
          gap.waits += toSeconds(at + load - uses[next]->at);
          gap.cold_requests += 1;
        }
        gaps_.push_back(gap);
      }
      busy_until = std::max(busy_until, at + uses[index]->service);
    }
  }

  const ExperimentSettings& settings_;
  const UsageTrace& trace_;
  std::vector<Gap> gaps_;
};

double measuredRequests(const ExperimentSettings& settings, const UsageTrace& trace) {
  return static_cast<double>(
      std::count_if(trace.requests.begin(), trace.requests.end(), [&](const TracedRequest& request) {
        return request.at >= settings.requests_lead && trace.models[request.model].rarely_used;
      }));
}

/// Holds every gap but those whose release saves most for each cold request, until the tail's share is used
/// up; the last one in part, so that the sum is a bound.
double idleAtZeroTail(std::vector<Gap> gaps, double allowed_cold) {
  std::erase_if(gaps, [](const Gap& gap) { return gap.held_cost <= gap.released_cost; });
  std::sort(gaps.begin(), gaps.end(), [](const Gap& left, const Gap& right) {
    return (left.held_cost - left.released_cost) * right.cold_requests >
           (right.held_cost - right.released_cost) * left.cold_requests;
  });
  double idle = 0;
  for (const Gap& gap : gaps) {
    const double released = std::clamp(allowed_cold / gap.cold_requests, 0.0, 1.0);
    allowed_cold -= released * gap.cold_requests;
    idle += released * gap.released_cost + (1 - released) * gap.held_cost;
  }
  return idle;
}

}  // namespace

ClairvoyantBound clairvoyantBound(const ExperimentSettings& settings, const UsageTrace& trace) {
  const std::vector<Gap> gaps = GapCollector(settings, trace).collect();
  ClairvoyantBound bound;
  double short_gaps = 0;
  for (const Gap& gap : gaps) {
    bound.idle_hours_loading_ahead += std::min(gap.held_cost, gap.released_cost) / kSecondsPerHour;
    short_gaps += gap.held_cost <= gap.released_cost ? gap.held_cost : 0;
  }
  const double allowed_cold = measuredRequests(settings, trace) * kTailShare;
  bound.idle_hours_at_p99_zero = (short_gaps + idleAtZeroTail(gaps, allowed_cold)) / kSecondsPerHour;
  return bound;
}

double clairvoyantCost(const ExperimentSettings& settings, const UsageTrace& trace, double price_per_second) {
  double cost = 0;
  for (const Gap& gap : GapCollector(settings, trace).collect()) {
    cost += std::min(gap.held_cost, gap.released_cost + price_per_second * gap.waits);
  }
  return cost;
}

}  // namespace ferryrock::load::experiment
