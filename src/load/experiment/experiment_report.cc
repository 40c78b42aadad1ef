#include <algorithm>
#include <array>
#include <iomanip>

#include "load/experiment/placement_experiment.h"

namespace ferryrock::load::experiment {
namespace {

struct CurvePoint {
  double idle = 0;
  double p99 = 0;
};

/// The fixed keep-alive's curve from the shortest time to the longest.
std::vector<CurvePoint> fixedCurve(const ExperimentResult& result) {
  std::vector<CurvePoint> curve;
  for (const VariantResult& variant : result.variants) {
    if (variant.kind == VariantKind::FixedKeepAlive) {
      curve.push_back({variant.figures.idle_hours, variant.figures.p99});
    }
  }
  std::sort(curve.begin(), curve.end(),
            [](const CurvePoint& left, const CurvePoint& right) { return left.idle < right.idle; });
  return curve;
}

double between(double low, double high, double share) {
  return low + (high - low) * std::clamp(share, 0.0, 1.0);
}

/// Fewest idle hours at which the curve comes down to a p99; 0: never.
double idleAt(const std::vector<CurvePoint>& curve, double p99) {
  for (std::size_t index = 0; index < curve.size(); ++index) {
    if (curve[index].p99 > p99) {
      continue;
    }
    if (index == 0 || curve[index - 1].p99 == curve[index].p99) {
      return curve[index].idle;
    }
    const CurvePoint& before = curve[index - 1];
    return between(before.idle, curve[index].idle, (before.p99 - p99) / (before.p99 - curve[index].p99));
  }
  return 0;
}

double p99At(const std::vector<CurvePoint>& curve, double idle) {
  if (curve.empty()) {
    return 0;
  }
  for (std::size_t index = 1; index < curve.size(); ++index) {
    const CurvePoint& before = curve[index - 1];
    if (curve[index].idle >= idle) {
      return between(before.p99, curve[index].p99, (idle - before.idle) / (curve[index].idle - before.idle));
    }
  }
  return curve.back().p99;
}

const char* kindText(VariantKind kind) {
  constexpr std::array<const char*, 5> kTexts = {"learned", "fixed", "always", "first-come", "unmerged"};
  return kTexts.at(static_cast<std::size_t>(kind));
}

void printComparison(const ExperimentResult& result, std::ostream& out) {
  for (const FixedComparison& comparison : compareWithFixed(result)) {
    const auto variant =
        std::find_if(result.variants.begin(), result.variants.end(),
                     [&](const VariantResult& other) { return other.name == comparison.name; });
    out << std::setw(24) << std::left << comparison.name << std::right;
    if (comparison.idle_at_same_p99 > 0) {
      out << "  idle hours to fixed at the same p99 "
          << variant->figures.idle_hours / comparison.idle_at_same_p99;
    } else {
      out << "  no fixed keep-alive has so low a p99";
    }
    if (comparison.p99_at_same_idle > 0) {
      out << "; p99 to fixed at the same idle hours " << variant->figures.p99 / comparison.p99_at_same_idle;
    }
    out << "\n";
  }
}

}  // namespace

std::vector<FixedComparison> compareWithFixed(const ExperimentResult& result) {
  const std::vector<CurvePoint> curve = fixedCurve(result);
  std::vector<FixedComparison> comparisons;
  for (const VariantResult& variant : result.variants) {
    if (variant.kind == VariantKind::Learned) {
      comparisons.push_back(
          {variant.name, idleAt(curve, variant.figures.p99), p99At(curve, variant.figures.idle_hours)});
    }
  }
  return comparisons;
}

void printTable(const ExperimentResult& result, std::ostream& out) {
  out << std::fixed << std::setprecision(2);
  out << "experiment " << result.name << ", seed " << result.seed << ", " << result.requests << " requests\n";
  out << "policy                      p50 s   p99 s p99.9 s cold-p50  cold % refused   loads  store"
         "  idle h  held h  to bound\n";
  for (const VariantResult& variant : result.variants) {
    const ExperimentFigures& figures = variant.figures;
    const double cold = figures.requests == 0 ? 0
                                              : 100.0 * static_cast<double>(figures.cold) /
                                                    static_cast<double>(figures.requests);
    out << std::setw(24) << std::left << variant.name << std::right << std::setw(9) << figures.p50
        << std::setw(8) << figures.p99 << std::setw(8) << figures.p999 << std::setw(9) << figures.p50_cold
        << std::setw(8) << cold << std::setw(8) << figures.refused << std::setw(8) << figures.loads
        << std::setw(7) << figures.loads_from_store << std::setw(8) << figures.idle_hours << std::setw(8)
        << figures.held_hours;
    if (variant.cost_to_bound > 0) {
      out << std::setw(10) << variant.cost_to_bound;
    }
    out << "\n";
  }
  out << "clairvoyant bound, loading ahead: idle h " << result.bound.idle_hours_loading_ahead
      << " at p99 0; loading with demand: idle h " << result.bound.idle_hours_at_p99_zero << " at p99 0\n";
  printComparison(result, out);
}

void writeCsv(const ExperimentResult& result, std::ostream& out) {
  out << "experiment,seed,kind,policy,requests,cold,refused,loads,store_loads,p50_s,p99_s,p999_s,cold_p50_s,"
         "cold_s,idle_h,held_h,cost_to_bound\n";
  for (const VariantResult& variant : result.variants) {
    const ExperimentFigures& figures = variant.figures;
    out << result.name << ',' << result.seed << ',' << kindText(variant.kind) << ',' << variant.name << ','
        << figures.requests << ',' << figures.cold << ',' << figures.refused << ',' << figures.loads << ','
        << figures.loads_from_store << ',' << figures.p50 << ',' << figures.p99 << ',' << figures.p999 << ','
        << figures.p50_cold << ',' << figures.cold_seconds << ',' << figures.idle_hours << ','
        << figures.held_hours << ',' << variant.cost_to_bound << "\n";
  }
  const ClairvoyantBound& bound = result.bound;
  out << result.name << ',' << result.seed << ",bound,loading ahead,0,0,0,0,0,0,0,0,0,0,"
      << bound.idle_hours_loading_ahead << ",0,1\n";
  out << result.name << ',' << result.seed << ",bound,loading with demand,0,0,0,0,0,0,0,0,0,0,"
      << bound.idle_hours_at_p99_zero << ",0,1\n";
}

}  // namespace ferryrock::load::experiment
