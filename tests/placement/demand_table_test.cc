#include "placement/demand_table.h"

#include <catch2/catch.hpp>
#include <map>

#include "common/random.h"

using namespace ferryrock;
using namespace ferryrock::placement;

namespace {

constexpr std::size_t kRouters = 3;
constexpr std::size_t kNames = 6;

ModelName nameOf(std::size_t name) {
  return ModelName("name-" + std::to_string(name));
}

/// Names 0 and 1 have base model 0, names 2 and 3 base model 1, and so on.
ModelName baseOf(std::size_t name) {
  return ModelName("base-" + std::to_string(name / 2));
}

struct Figures {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
};

}  // namespace

TEST_CASE("totals equal the sum of each router's last report after any number of renewals") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  Random random(seed);
  DemandTable table([](const ModelName& name) -> std::optional<ModelName> {
    return baseOf(static_cast<std::size_t>(name.value.back() - '0'));
  });
  std::map<std::pair<std::size_t, std::size_t>, Figures> last;
  std::uint64_t sequence = 0;
  TimePoint now{};
  for (int step = 0; step < 400; ++step) {
    now += std::chrono::milliseconds(random.below(2'000));
    const std::size_t router = random.below(kRouters);
    const std::size_t name = random.below(kNames);
    Figures figures;
    figures.waiting = random.chance(0.3) ? static_cast<std::uint32_t>(random.below(5)) : 0;
    figures.running = random.chance(0.8) ? static_cast<std::uint32_t>(random.below(9)) : 0;
    wire::DemandReport report;
    report.router = NodeName("router-" + std::to_string(router));
    report.sequence = ++sequence;
    report.demand.push_back({nameOf(name), figures.waiting, figures.running,
                             figures.waiting > 0 ? std::int64_t{100'000} : std::int64_t{0}, 1});
    const auto changes = table.apply(report, now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().used);
    last[{router, name}] = figures;

    Figures of_name;
    Figures of_base;
    for (const auto& [key, each] : last) {
      of_name.waiting += key.second == name ? each.waiting : 0;
      of_name.running += key.second == name ? each.running : 0;
      of_base.waiting += baseOf(key.second) == baseOf(name) ? each.waiting : 0;
      of_base.running += baseOf(key.second) == baseOf(name) ? each.running : 0;
    }
    REQUIRE(table.ofName(nameOf(name)).waiting == of_name.waiting);
    REQUIRE(table.ofName(nameOf(name)).running == of_name.running);
    REQUIRE(table.ofBase(baseOf(name)).waiting == of_base.waiting);
    REQUIRE(table.ofBase(baseOf(name)).running == of_base.running);
  }
}

TEST_CASE("a row expires after its lifetime unless reports renew it") {
  DemandTable table([](const ModelName& name) { return std::optional<ModelName>(name); });
  const auto report = [&table](const char* router, std::uint64_t sequence, TimePoint now) {
    wire::DemandReport sent;
    sent.router = NodeName(router);
    sent.sequence = sequence;
    sent.demand.push_back({ModelName("model"), 0, 2, 0, 1});
    table.apply(sent, now);
  };
  TimePoint now{};
  report("silent", 1, now);
  for (std::uint64_t minute = 1; minute <= 30; ++minute) {
    now += std::chrono::minutes(1);
    report("lively", minute, now);
    table.expire(now);
  }
  CHECK(table.ofName(ModelName("model")).running == 2);
}
