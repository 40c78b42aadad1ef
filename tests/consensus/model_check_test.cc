#include <catch2/catch.hpp>
#include <iostream>

#include "model.h"

namespace ferryrock::consensus {
namespace {

struct ModelRow {
  const char* name;
  ModelSettings settings;
  std::uint64_t max_states;
};

/// All members have identical logs, so the first candidate can be fixed to member 1.
ModelSettings identicalLogs(Budget budget) {
  ModelSettings settings;
  settings.budget = budget;
  settings.first_candidate_count = 1;
  return settings;
}

/// Members 1 and 2 led terms 2 and 3, and each has an entry of its term that no other member has.
ModelSettings divergentLogs(Budget budget) {
  ModelSettings settings;
  settings.logs = {{{2}, {3}, {}}};
  settings.terms = {2, 3, 3};
  settings.budget = budget;
  return settings;
}

void print(const char* name, const Exploration& found) {
  std::cout << name << ": " << found.states << " states, " << found.steps << " steps, all paths of "
            << found.depth << " steps" << (found.complete ? ", no longer paths exist" : "") << std::endl;
  for (const std::string& step : found.trace) {
    std::cout << "  " << step << std::endl;
  }
}

TEST_CASE("no order of messages, crashes and elections violates an invariant") {
  const std::vector<ModelRow> rows{
      {"one election, one crash", identicalLogs({1, 1, 0, 0, 0}), 40'000},
      {"two elections", identicalLogs({2, 0, 0, 0, 0}), 40'000},
      {"two elections, one crash", identicalLogs({2, 1, 0, 0, 0}), 40'000},
      {"one election, a proposal, a heartbeat, a copy", identicalLogs({1, 0, 1, 1, 1}), 40'000},
      {"divergent logs, two elections", divergentLogs({2, 0, 0, 0, 0}), 40'000},
      {"divergent logs, two elections, one crash", divergentLogs({2, 1, 0, 0, 0}), 40'000},
  };
  for (const ModelRow& row : rows) {
    const Exploration found = explore(row.settings, row.max_states);
    print(row.name, found);
    INFO(row.name);
    CHECK_THAT(found.violation, Catch::Equals(""));
    CHECK(found.states > 100);
  }
}

struct DefectRow {
  const char* name;
  bool Defects::*flag;
  ModelSettings settings;
  const char* invariant;
};

TEST_CASE("exhaustive exploration finds deliberate defects") {
  const std::vector<DefectRow> rows{
      {"answer_before_sync", &Defects::answer_before_sync, identicalLogs({2, 1, 0, 0, 0}), "election safety"},
      {"vote_without_log_check", &Defects::vote_without_log_check, identicalLogs({2, 0, 0, 0, 0}),
       "state machine safety"},
      {"commit_older_terms", &Defects::commit_older_terms, divergentLogs({2, 0, 0, 0, 0}), "log matching"},
  };
  for (const DefectRow& row : rows) {
    ModelSettings settings = row.settings;
    settings.defects.*row.flag = true;
    const Exploration found = explore(settings, 1'000'000);
    print(row.name, found);
    INFO(row.name);
    CHECK_THAT(found.violation, Catch::StartsWith(row.invariant));
  }
}

}  // namespace
}  // namespace ferryrock::consensus
