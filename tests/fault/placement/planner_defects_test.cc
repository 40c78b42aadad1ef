#include <catch2/catch.hpp>

#include "planner_steps.h"

/// Faults put in on purpose: each is noticed by its listed seed, which passes without it. The list is in
/// docs/design/placement.md.
namespace ferryrock::placement {
namespace {

struct DefectCase {
  const char* name;
  CellDefects defects;
  std::uint64_t seed;
  const char* noticed_as;
};

CellDefects ledgerWithout(bool LedgerChecks::*check) {
  CellDefects defects;
  defects.ledger.*check = false;
  return defects;
}

CellDefects plannerWith(bool PlannerDefects::*defect) {
  CellDefects defects;
  defects.planner.*defect = true;
  return defects;
}

/// For who has changed the planner and needs another seed; 0: none of the first hundred.
std::uint64_t firstSeedThatNotices(const DefectCase& defect) {
  constexpr std::uint64_t kSeedsTried = 100;
  for (std::uint64_t seed = 1; seed <= kSeedsTried; ++seed) {
    if (runSteps(stepsFromSeed(seed), defect.defects).find(defect.noticed_as) != std::string::npos) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("each deliberate defect is caught by its seed") {
  const std::vector<DefectCase> cases = {
      {"memory isn't checked", ledgerWithout(&LedgerChecks::memory), 6, "overcommits an accelerator"},
      {"the maximum isn't checked", ledgerWithout(&LedgerChecks::replica_limit), 3, "above its maximum"},
      {"the incarnation isn't checked", ledgerWithout(&LedgerChecks::incarnation), 13,
       "of an incarnation that is gone"},
      {"a slot is freed without proof", ledgerWithout(&LedgerChecks::free_proof), 3, "that is freed"},
      {"proposals on their way aren't counted", plannerWith(&PlannerDefects::ignore_pending_proposals), 1,
       "gets another"},
      {"lost proposals are waited for, for ever", plannerWith(&PlannerDefects::never_expire_proposals), 3,
       "below its minimum"},
  };
  for (const DefectCase& defect : cases) {
    INFO(defect.name << ", seed " << defect.seed);
    const std::string broken = runSteps(stepsFromSeed(defect.seed), defect.defects);
    const bool noticed = broken.find(defect.noticed_as) != std::string::npos;
    const std::uint64_t other_seed = noticed ? defect.seed : firstSeedThatNotices(defect);
    INFO("noticed by seed " << other_seed);
    CHECK_THAT(broken, Catch::Contains(defect.noticed_as));
    CHECK_THAT(runSteps(stepsFromSeed(defect.seed)), Catch::Equals(""));
  }
}

}  // namespace
}  // namespace ferryrock::placement
