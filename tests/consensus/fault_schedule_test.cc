#include "fault_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "defect_switch.h"

namespace ferryrock::consensus {
namespace {

void add(FaultCounts& sum, const FaultCounts& counts) {
  sum.lost += counts.lost;
  sum.duplicated += counts.duplicated;
  sum.cut += counts.cut;
  sum.crashes += counts.crashes;
  sum.interrupted_writes += counts.interrupted_writes;
  sum.torn_writes += counts.torn_writes;
  sum.lost_disks += counts.lost_disks;
  sum.pauses += counts.pauses;
  sum.membership_changes += counts.membership_changes;
  sum.transfers += counts.transfers;
  sum.snapshots_installed += counts.snapshots_installed;
  sum.reads += counts.reads;
}

void print(const FaultCounts& counts, std::uint64_t seeds, std::uint64_t committed) {
  std::cout << "seeds " << seeds << ", entries committed " << committed << ", reads confirmed "
            << counts.reads << ", messages lost " << counts.lost << ", duplicated " << counts.duplicated
            << ", links cut " << counts.cut << ", crashes " << counts.crashes << ", writes interrupted "
            << counts.interrupted_writes << ", torn writes " << counts.torn_writes << ", disks lost "
            << counts.lost_disks << ", pauses " << counts.pauses << ", members added or promoted "
            << counts.membership_changes << ", transfers " << counts.transfers << ", snapshots restored "
            << counts.snapshots_installed << std::endl;
}

/// Runs the seeds and returns the number of seeds that violated an invariant.
std::uint64_t sweep(std::uint64_t first, std::uint64_t last, const Defects& defects) {
  FaultCounts sum;
  std::uint64_t committed = 0;
  std::uint64_t violations = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const ScheduleResult result = runSchedule(seed, defects);
    add(sum, result.counts);
    committed += result.committed;
    if (!result.violation.empty()) {
      ++violations;
      std::cout << "seed " << seed << ": " << result.violation << " (replay: FERRYROCK_SEEDS=" << seed << ".."
                << seed << " test_consensus '[sweep]')" << std::endl;
    }
  }
  print(sum, last - first + 1, committed);
  return violations;
}

TEST_CASE("no invariant is violated under mixed faults") {
  constexpr std::uint64_t kFirstSeed = 1;
  constexpr std::uint64_t kLastSeed = 500;
  CHECK(sweep(kFirstSeed, kLastSeed, Defects{}) == 0);
}

/// The defect selected by FERRYROCK_DEFECT, or no defect if the variable is not set. An unknown name fails
/// the test.
Defects chosenDefects() {
  Defects defects;
  const char* name = std::getenv("FERRYROCK_DEFECT");
  if (name == nullptr) {
    return defects;
  }
  const auto chosen = std::find_if(kDefectSwitches.begin(), kDefectSwitches.end(),
                                   [name](const auto& known) { return known.name == name; });
  REQUIRE(chosen != kDefectSwitches.end());
  defects.*chosen->flag = true;
  return defects;
}

/// FERRYROCK_SEEDS=A..B selects the seeds, FERRYROCK_DEFECT a defect of kDefectSwitches by name.
TEST_CASE("no invariant is violated at the selected seeds", "[.][sweep]") {
  const char* range = std::getenv("FERRYROCK_SEEDS");
  const std::string seeds = range == nullptr ? "1..1000" : range;
  const std::size_t dots = seeds.find("..");
  REQUIRE(dots != std::string::npos);
  CHECK(sweep(std::stoull(seeds.substr(0, dots)), std::stoull(seeds.substr(dots + 2)), chosenDefects()) == 0);
}

TEST_CASE("each deliberate defect is detected at its seed") {
  for (const DefectSwitch& defect : kDefectSwitches) {
    INFO(defect.name << ", seed " << defect.seed);
    Defects defects;
    defects.*defect.flag = true;
    CHECK_THAT(runSchedule(defect.seed, defects).violation, Catch::StartsWith(std::string(defect.invariant)));
    CHECK(runSchedule(defect.seed).violation.empty());
  }
}

}  // namespace
}  // namespace ferryrock::consensus
