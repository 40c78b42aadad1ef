#include "services/store_loads.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kNominal = 6s;
constexpr Duration kReportDelay = 300ms;
const TimePoint kStart{1000s};

ReplicaId replica(std::size_t number) {
  return ReplicaId("r" + std::to_string(number));
}

/// Begins as many loads as are allowed and returns their number.
std::size_t beginAll(StoreLoads& loads, std::size_t first, TimePoint now) {
  std::size_t begun = 0;
  while (loads.mayBegin(0, now)) {
    loads.onBegun(replica(first + begun), kNominal, now);
    ++begun;
  }
  return begun;
}

TEST_CASE("The estimated width grows while loads end on time") {
  StoreLoads loads;
  TimePoint now = kStart;
  std::size_t before = 0;
  for (int round = 0; round < 4; ++round) {
    const std::size_t begun = beginAll(loads, 0, now);
    CHECK(begun > before);
    before = begun;
    now += kNominal + kReportDelay;
    for (std::size_t i = 0; i < begun; ++i) {
      loads.onEnded(replica(i), now);
    }
  }
  CHECK(loads.width() >= 2 * 4);
}

/// Four loads of 16 s that share a store of width 1 all end after 64 s. Started one after the other, the
/// first ends after 16 s and three have ended within 48 s.
TEST_CASE("Long loads begin one at a time until the width has been estimated") {
  constexpr Duration kLong = 16s;
  StoreLoads loads;
  loads.expectLoad(kLong);
  std::size_t begun = 0;
  while (loads.mayBegin(0, kStart)) {
    loads.onBegun(replica(begun++), kLong, kStart);
  }
  CHECK(begun == 1);
}

/// Simulates requests for models without local weights at a store of width `store_width`: loads beyond the
/// width share its speed. Returns the number of models that serve within the time.
std::size_t modelsServing(std::size_t store_width, Duration nominal, Duration within) {
  constexpr std::size_t kModels = 12;
  constexpr Duration kStep = 100ms;
  StoreLoads loads;
  std::map<std::size_t, Duration> remaining;  ///< remaining time at full speed, by load in progress
  std::size_t next = 0;
  std::size_t serving = 0;
  for (TimePoint now = kStart; now < kStart + within; now += kStep) {
    loads.expectLoad(nominal);
    while (next < kModels && loads.mayBegin(0, now)) {
      loads.onBegun(replica(next), nominal, now);
      remaining[next++] = nominal;
    }
    const auto crowd = static_cast<std::int64_t>(std::max(store_width, remaining.size()));
    const Duration progress = kStep * static_cast<std::int64_t>(store_width) / crowd;
    for (auto& [model, rest] : remaining) {
      rest -= progress;
      if (rest <= Duration::zero()) {
        loads.onEnded(replica(model), now + kReportDelay);
        ++serving;
      }
    }
    std::erase_if(remaining, [](const auto& item) { return item.second <= Duration::zero(); });
    loads.observeOverdue(now);
  }
  return serving;
}

/// Started concurrently, no load of 16 s would complete within 50 s at a store of width 1.
TEST_CASE("Long loads at a store of width 1 complete one after the other") {
  CHECK(modelsServing(1, 16s, 50s) >= 2);
  CHECK(modelsServing(1, 16s, 120s) >= 6);
}

TEST_CASE("Short loads at a wide store aren't throttled") {
  CHECK(modelsServing(8, 3s, 10s) >= 12);
}

TEST_CASE("The estimated width follows from how much concurrent loads slow each other down") {
  StoreLoads loads;
  constexpr std::size_t kTrueWidth = 2;
  const std::size_t begun = beginAll(loads, 0, kStart);
  const TimePoint end = kStart + kNominal * (begun / kTrueWidth) + kReportDelay;
  for (std::size_t i = 0; i < begun; ++i) {
    loads.onEnded(replica(i), end);
  }
  CHECK(loads.width() < kTrueWidth + 1);
  CHECK(loads.width() >= kTrueWidth);
}

/// The delay of orders and reports is about as long as the load itself.
TEST_CASE("The estimated width grows with short loads although their reports arrive late") {
  constexpr Duration kShort = 600ms;
  constexpr Duration kLate = 350ms;
  StoreLoads loads;
  TimePoint now = kStart;
  for (int round = 0; round < 6; ++round) {
    std::size_t begun = 0;
    for (; loads.mayBegin(0, now); ++begun) {
      loads.onBegun(replica(begun), kShort, now);
    }
    now += kShort + kLate;
    for (std::size_t i = 0; i < begun; ++i) {
      loads.onEnded(replica(i), now);
    }
  }
  CHECK(loads.width() >= 2 * 4);
}

/// With loads of 0.6 s, a store of any width completes the first round within seconds.
TEST_CASE("Short loads start with a high limit and fill a wide store within a few rounds") {
  constexpr Duration kShort = 600ms;
  constexpr std::size_t kStoreWidth = 100;
  StoreLoads loads;
  loads.expectLoad(kShort);
  TimePoint now = kStart;
  std::size_t begun = 0;
  for (int round = 0; round < 3; ++round) {
    for (begun = 0; loads.mayBegin(0, now); ++begun) {
      loads.onBegun(replica(begun), kShort, now);
    }
    now += kShort + kReportDelay;
    for (std::size_t i = 0; i < begun; ++i) {
      loads.onEnded(replica(i), now);
    }
  }
  CHECK(begun >= kStoreWidth / 2);
}

TEST_CASE("Long loads start with a low limit, and a later short load doesn't reset the estimate") {
  StoreLoads loads;
  loads.expectLoad(kNominal);
  const std::size_t begun = beginAll(loads, 0, kStart);
  CHECK(begun == 4);
  const TimePoint end = kStart + kNominal * 2 + kReportDelay;
  for (std::size_t i = 0; i < begun; ++i) {
    loads.onEnded(replica(i), end);
  }
  const double learned = loads.width();
  CHECK(learned < 3);
  loads.expectLoad(600ms);
  CHECK(loads.width() == learned);
}

TEST_CASE("Several overdue loads lower the estimated width before they end") {
  StoreLoads loads;
  const std::size_t begun = beginAll(loads, 0, kStart);
  const double before = loads.width();
  loads.observeOverdue(kStart + kNominal);
  CHECK(loads.width() == before);
  loads.observeOverdue(kStart + kNominal * 2);
  CHECK(loads.width() < before);
  CHECK(loads.inFlight() == begun);
}

TEST_CASE("A single overdue load among many doesn't lower the estimated width") {
  StoreLoads loads;
  const std::size_t begun = beginAll(loads, 0, kStart);
  REQUIRE(begun > 2);
  for (std::size_t i = 1; i < begun; ++i) {
    loads.onEnded(replica(i), kStart + kNominal + kReportDelay);
  }
  const double before = loads.width();
  for (Duration late = 2s; late < 60s; late += 1s) {
    loads.observeOverdue(kStart + kNominal + late);
  }
  CHECK(loads.width() == before);
}

TEST_CASE("Loads of removed replicas free their capacity") {
  StoreLoads loads;
  const std::size_t begun = beginAll(loads, 0, kStart);
  CHECK_FALSE(loads.mayBegin(0, kStart));
  loads.keepIf([](const ReplicaId& id) { return id == replica(0); }, kStart + 1s);
  CHECK(loads.inFlight() == 1);
  CHECK(beginAll(loads, begun, kStart + 1s) == begun - 1);
}

TEST_CASE("Loads begin no faster than the operator's rate") {
  StoreLoads loads;
  constexpr double kPerSecond = 0.5;
  std::size_t begun = 0;
  for (Duration passed = 0s; passed < 5s; passed += 100ms) {
    if (loads.mayBegin(kPerSecond, kStart + passed)) {
      loads.onBegun(replica(begun), kNominal, kStart + passed);
      loads.onDropped(replica(begun), kStart + passed);
      ++begun;
    }
  }
  CHECK(begun == 2);  // nine tenths of 0.5 per second over 5 s
}

TEST_CASE("The forecast queues loads behind those ahead of them") {
  StoreLoads loads;
  const std::size_t begun = beginAll(loads, 0, kStart);
  StoreLoads::Forecast forecast = loads.forecast(kStart + 2s);
  for (std::size_t i = 0; i < begun; ++i) {
    CHECK(forecast.add(kNominal, kStart + 2s) == kStart + 2 * kNominal);
  }
  CHECK(forecast.add(kNominal, kStart + 2s) == kStart + 3 * kNominal);
}

}  // namespace
}  // namespace ferryrock::services
