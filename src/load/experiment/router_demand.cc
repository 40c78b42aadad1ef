#include "load/experiment/router_demand.h"

#include <algorithm>

namespace ferryrock::load::experiment {

void RouterDemand::onArrival(std::size_t model, TimePoint deadline) {
  Figures& figures = figures_[model];
  figures.deadlines.insert(deadline);
  figures.arrivals += 1;
  changed_.insert(model);
}

void RouterDemand::onWaitEnded(std::size_t model, TimePoint deadline) {
  Figures& figures = figures_[model];
  figures.deadlines.erase(figures.deadlines.find(deadline));
  changed_.insert(model);
}

void RouterDemand::onStarted(std::size_t model) {
  figures_[model].running += 1;
  changed_.insert(model);
}

void RouterDemand::onEnded(std::size_t model) {
  figures_[model].running -= 1;
  changed_.insert(model);
}

wire::DemandReport RouterDemand::takeReport(const std::vector<wire::ResolvedModel>& models, TimePoint now) {
  wire::DemandReport report{name_, ++sequence_, {}};
  for (const std::size_t model : changed_) {
    Figures& figures = figures_[model];
    wire::ModelDemand row;
    row.model = models[model].name;
    row.waiting = static_cast<std::uint32_t>(figures.deadlines.size());
    row.running = figures.running;
    row.arrivals = figures.arrivals;
    if (!figures.deadlines.empty()) {
      row.earliest_deadline_ms = std::max<std::int64_t>(1, toMilliseconds(*figures.deadlines.begin() - now));
    }
    figures.arrivals = 0;
    report.demand.push_back(row);
  }
  changed_.clear();
  return report;
}

}  // namespace ferryrock::load::experiment
