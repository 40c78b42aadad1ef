#include <catch2/catch.hpp>

#include "cli/fake_cell.h"

namespace ferryrock::cli {
namespace {

constexpr const char* kAnswer =
    R"({"calls":[{"fingerprint":"000000000000000100000000000000ab","state":"quarantined",)"
    R"("ends":[{"replica":"r1","refuted":false},{"replica":"r2","refuted":true}],"last_end_ms_ago":1500}]})";

TEST_CASE("quarantined calls are listed with the replicas that ended, and released by their fingerprint") {
  FakeCell cell;
  cell.fixed_answers["/api/quarantine"] = kAnswer;
  cell.fixed_answers["/api/quarantine/release"] = kAnswer;
  CommandRunner runner(cell);
  const RunOutcome listed = runner.run({"quarantine"});
  INFO(listed.err);
  CHECK(listed.code == ExitCode::Success);
  CHECK(listed.out.find("000000000000000100000000000000ab  quarantined  r1 r2 (refuted)  1500 ms ago") !=
        std::string::npos);
  CHECK(runner.run({"quarantine", "--release", "000000000000000100000000000000ab"}).code ==
        ExitCode::Success);
  CHECK(cell.requests.back().body.view().find("000000000000000100000000000000ab") != std::string::npos);
}

}  // namespace
}  // namespace ferryrock::cli
