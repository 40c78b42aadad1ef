#include "balance/event_gap_table.h"

#include <catch2/catch.hpp>

namespace ferryrock::balance {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

/// Reports several streams of a model at a replica; only the shortest gap counts.
void report(EventGapTable& table, std::uint32_t model, std::uint32_t replica, std::uint32_t gap_us,
            TimePoint at) {
  for (const std::uint32_t disturbance_us : {9'000U, 0U, 4'000U}) {
    table.accept({{replica, model, gap_us + disturbance_us}}, at);
  }
}

TEST_CASE("Slowness is the ratio of a replica's shortest gap to the lowest one of the same model") {
  EventGapTable table;
  report(table, 1, 11, 30'000, kStart);
  report(table, 1, 12, 66'000, kStart);
  const auto slowness = table.slowness();
  CHECK(slowness.at(11) == Approx(1));
  CHECK(slowness.at(12) == Approx(2.2));
}

/// Only slow replicas hold model 1; their slowness shows in model 2.
TEST_CASE("Slowness is derived from other models if all replicas of a model are slow") {
  EventGapTable table;
  report(table, 1, 12, 66'000, kStart);
  report(table, 1, 13, 66'000, kStart);
  report(table, 2, 11, 20'000, kStart);
  report(table, 2, 12, 44'000, kStart);
  const auto slowness = table.slowness();
  CHECK(slowness.at(12) == Approx(2.2).epsilon(0.01));
  CHECK(slowness.at(13) == Approx(2.2).epsilon(0.01));
}

TEST_CASE("A model on one replica or with too few reports yields no slowness") {
  EventGapTable table;
  report(table, 1, 11, 30'000, kStart);
  report(table, 2, 12, 90'000, kStart);
  table.accept({{12, 1, 90'000}}, kStart);
  CHECK(table.slowness().empty());
}

TEST_CASE("A slow replica without streams stays known as slow for a minute") {
  EventGapTable table;
  report(table, 1, 11, 30'000, kStart);
  report(table, 1, 12, 66'000, kStart);
  for (TimePoint at = kStart; at < kStart + 50s; at += 1s) {
    report(table, 1, 11, 30'000, at);
  }
  CHECK(table.slowness().at(12) == Approx(2.2));
  for (TimePoint at = kStart + 50s; at < kStart + 90s; at += 1s) {
    report(table, 1, 11, 30'000, at);
  }
  CHECK(table.slowness().empty());
}

TEST_CASE("A replica that was slow for a while counts as fast again after two windows") {
  EventGapTable table;
  for (TimePoint at = kStart; at < kStart + 20s; at += 1s) {
    report(table, 1, 11, 30'000, at);
    report(table, 1, 12, at < kStart + 7s ? 90'000 : 30'000, at);
    if (at == kStart + 6s) {
      CHECK(table.slowness().at(12) == Approx(3));
    }
  }
  CHECK(table.slowness().at(12) == Approx(1));
}

}  // namespace
}  // namespace ferryrock::balance
