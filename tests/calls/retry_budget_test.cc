#include "calls/retry_budget.h"

#include <catch2/catch.hpp>

namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};
constexpr std::uint64_t kIncarnation = 7;
const ServiceName kDesk("desk");

RetryBudget budget() {
  balance::RetryBudgetSettings settings;
  settings.share = 0.2;
  return {settings, kIncarnation};
}

wire::RetryCredits credits(std::uint64_t status, std::uint64_t total, std::uint32_t keep = 100) {
  return {kIncarnation, status, 3000, {{kDesk, total, keep}}};
}

void sendStatus(RetryBudget& it, std::uint64_t sequence, TimePoint now, std::uint32_t waiting = 0) {
  it.report({{kDesk, waiting}}, now);
  it.onStatusSent(sequence, now);
}

TEST_CASE("A router without credits retries only within the small share of its own calls") {
  RetryBudget it = budget();
  for (int i = 0; i < 100; ++i) {
    it.onCall(kDesk, kStart);
  }
  int spent = 0;
  while (it.spend(kDesk, kStart)) {
    ++spent;
  }
  CHECK(spent == 5);  // 0.25 x 0.2 x 100
}

TEST_CASE("Credits lapse when the lease ends, which begins when the answered status was sent") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 4), kStart + 2s);
  CHECK(it.spend(kDesk, kStart + 2900ms) == RetryCharge::Credit);
  CHECK_FALSE(it.spend(kDesk, kStart + 3100ms));
  sendStatus(it, 2, kStart + 4s);
  it.accept(credits(2, 4), kStart + 4s);
  CHECK_FALSE(it.spend(kDesk, kStart + 4s));
  it.accept(credits(2, 5), kStart + 4s);
  CHECK(it.spend(kDesk, kStart + 4s));
}

TEST_CASE("Duplicate, foreign and unrequested credits aren't taken") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 1), kStart);
  it.accept(credits(1, 1), kStart);
  it.accept(credits(9, 5), kStart);
  it.accept({kIncarnation + 1, 1, 3000, {{kDesk, 5, 100}}}, kStart);
  CHECK(it.spend(kDesk, kStart));
  CHECK_FALSE(it.spend(kDesk, kStart));
}

TEST_CASE("A retry that didn't arrive gives its credit back unless the leader counts it already") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 1), kStart);
  const auto charge = it.spend(kDesk, kStart);
  REQUIRE(charge);
  it.refund(kDesk, *charge);
  REQUIRE(it.spend(kDesk, kStart));
  sendStatus(it, 2, kStart + 10ms);
  it.refund(kDesk, *charge);
  CHECK_FALSE(it.spend(kDesk, kStart + 20ms));
}

TEST_CASE("A leader that has no credit for a waiting retry isn't asked again for a while") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 0), kStart);
  CHECK(it.expectsCredit(kDesk, kStart));
  sendStatus(it, 2, kStart + 10ms, 1);
  CHECK(it.accept(credits(1, 0), kStart + 11ms).empty());
  CHECK(it.accept(credits(2, 0), kStart + 12ms).contains(kDesk));
  CHECK_FALSE(it.mayRetry(kDesk, kStart + 100ms));
  CHECK(it.mayRetry(kDesk, kStart + 300ms));
}

TEST_CASE("Credits beyond what the leader lets a router keep are returned") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 6), kStart);
  it.accept(credits(1, 6, 2), kStart);
  const auto uses = it.report({}, kStart);
  REQUIRE(uses.size() == 1);
  CHECK(uses[0].received == 6);
  CHECK(uses[0].dropped == 4);
  CHECK(it.usage(kDesk, kStart).credits == 2);
}

TEST_CASE("The report has the retries of each second of the window, whatever they were charged to") {
  RetryBudget it = budget();
  sendStatus(it, 1, kStart);
  it.accept(credits(1, 3), kStart);
  for (int i = 0; i < 20; ++i) {
    it.onCall(kDesk, kStart);
  }
  it.spend(kDesk, kStart);
  it.spend(kDesk, kStart + 1500ms);
  it.spend(kDesk, kStart + 1500ms);
  const auto uses = it.report({}, kStart + 2s);
  REQUIRE(uses.size() == 1);
  CHECK(uses[0].recent == std::vector<std::uint32_t>{2, 0, 1});
  CHECK(uses[0].used == 2);
  CHECK(uses[0].calls == 20);
}

}  // namespace
}  // namespace ferryrock::calls
