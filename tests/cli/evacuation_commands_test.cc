#include <catch2/catch.hpp>

#include "cli/fake_cell.h"

namespace ferryrock::cli {
namespace {

TEST_CASE("Zones are evacuated, restored and listed by name") {
  FakeCell cell;
  cell.fixed_answers["/api/evacuations"] = R"({"zones":["hall-a"]})";
  cell.fixed_answers["/api/evacuations/start"] = R"({"zones":["hall-a"]})";
  cell.fixed_answers["/api/evacuations/stop"] = R"({"zones":[]})";
  CommandRunner runner(cell);
  const RunOutcome started = runner.run({"evacuate", "hall-a"});
  INFO(started.err);
  CHECK(started.code == ExitCode::Success);
  CHECK(started.out.find("hall-a") != std::string::npos);
  CHECK(cell.requests.back().body == R"({"zone":"hall-a"})");
  CHECK(runner.run({"evacuations"}).out.find("hall-a") != std::string::npos);
  CHECK(runner.run({"restore", "hall-a"}).out.find("hall-a") == std::string::npos);
  CHECK(runner.run({"evacuate"}).code == ExitCode::Usage);
}

}  // namespace
}  // namespace ferryrock::cli
