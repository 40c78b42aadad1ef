#include "common/event_log.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "common/bounded_output.h"

namespace ferryrock {
namespace {

TEST_CASE(
    "A stalled reader of the log output never blocks the writer, and dropped lines are counted and reported "
    "later") {
  int ends[2] = {-1, -1};
  REQUIRE(::pipe(ends) == 0);
  constexpr std::size_t kBound = 10'000;
  BoundedOutput output(ends[1], kBound);
  for (int i = 0; i < 5000; ++i) {
    output.add(std::string(99, 'x'));
  }
  CHECK(output.dropped() > 0);
  std::string read;
  std::string buffer(1 << 16, '\0');
  for (int i = 0; i < 20; ++i) {
    const ssize_t count = ::read(ends[0], buffer.data(), buffer.size());
    read.append(buffer, 0, static_cast<std::size_t>(count));
    output.flush();
    if (read.find("log.dropped") != std::string::npos) {
      break;
    }
  }
  CHECK(read.find("\"event\":\"log.dropped\",\"lines\":" + std::to_string(output.dropped())) !=
        std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("An event line contains its typed and escaped fields and the number of suppressed lines") {
  const std::string line = eventLine("t", LogLevel::Warning, "router", "call.refused",
                                     {{"request", std::string_view("a\"b\n")},
                                      {"code", std::int64_t{2006}},
                                      {"share", 0.5},
                                      {"not_run", true}},
                                     3);
  CHECK(line ==
        R"({"time":"t","level":"warning","part":"router","event":"call.refused","request":"a\"b\u000a",)"
        R"("code":2006,"share":0.5,"not_run":true,"left_out":3})");
}

}  // namespace
}  // namespace ferryrock
