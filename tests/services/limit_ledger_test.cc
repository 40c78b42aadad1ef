#include "services/limit_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kNow{1000s};
const ReplicaId kReplica("r1");

/// A ledger that receives the messages of one router.
struct LedgerFixture {
  wire::LimitReply reportLimit(std::optional<double> per_second, Duration age, TimePoint now) {
    wire::LimitRequest request = nextRequest();
    request.heard = {{kReplica, per_second, toMilliseconds(age)}};
    return ledger.accept(request, now);
  }
  wire::LimitDecision requestCredit(Duration wait, TimePoint now, double per_second = 1, Duration age = 1s) {
    wire::LimitRequest request = nextRequest();
    request.asks = {{request.sequence, kReplica, toMilliseconds(wait), per_second, toMilliseconds(age)}};
    return ledger.accept(request, now).decisions.at(0);
  }
  wire::LimitRequest nextRequest() {
    wire::LimitRequest request;
    request.router = NodeName("edge-1");
    request.incarnation = 1;
    request.sequence = ++sequence;
    return request;
  }
  std::uint64_t sequence = 0;
  LimitLedger ledger;
};

TEST_CASE("Grants in any 4 s never exceed the limit plus a small burst, and nearly reach the limit") {
  const double per_second = GENERATE(0.0, 0.3, 1.0, 1.2, 7.5, 40.0);
  INFO(per_second);
  LedgerFixture fixture;
  fixture.reportLimit(per_second, 0s, kNow);
  std::vector<TimePoint> granted;
  for (Duration passed{}; passed < 20s; passed += 5ms) {
    const TimePoint now = kNow + passed;
    const wire::LimitDecision decision =
        fixture.requestCredit(toMilliseconds(passed) % 500 == 0 ? 2s : 0s, now, per_second, passed);
    if (decision.granted) {
      granted.push_back(now + std::chrono::milliseconds(decision.wait_ms));
    }
  }
  std::sort(granted.begin(), granted.end());
  for (const TimePoint first : granted) {
    const auto in_window = std::count_if(granted.begin(), granted.end(),
                                         [first](TimePoint at) { return at >= first && at < first + 4s; });
    CHECK(in_window <= std::max(0.1, per_second) * 4.25 + 1);
  }
  CHECK(static_cast<double>(granted.size()) >= per_second * 20 * 0.95 - 2);
}

TEST_CASE("Refused calls get staggered retry times that begin when credit is available") {
  LedgerFixture fixture;
  fixture.reportLimit(1, 0s, kNow);
  const wire::LimitDecision first = fixture.requestCredit(0s, kNow + 10ms);
  const wire::LimitDecision second = fixture.requestCredit(0s, kNow + 10ms);
  CHECK_FALSE(first.granted);
  CHECK(first.wait_ms == 990);
  CHECK(second.wait_ms == 1990);
  CHECK(fixture.requestCredit(0s, kNow + 1s).granted);
}

TEST_CASE("A call that can wait is granted credit in advance, and no credit is granted twice") {
  LedgerFixture fixture;
  fixture.reportLimit(1, 0s, kNow);
  CHECK(fixture.requestCredit(1500ms, kNow).wait_ms == 1000);
  const wire::LimitDecision second = fixture.requestCredit(1500ms, kNow);
  CHECK_FALSE(second.granted);
  CHECK_FALSE(fixture.requestCredit(0s, kNow + 1s).granted);
  CHECK(fixture.requestCredit(0s, kNow + 2s).granted);
}

TEST_CASE("Returned credit is granted again, and a duplicate message returns it only once") {
  LedgerFixture fixture;
  fixture.reportLimit(1, 0s, kNow);
  REQUIRE(fixture.requestCredit(0s, kNow + 1s).granted);
  wire::LimitRequest back = fixture.nextRequest();
  back.returned = {kReplica};
  fixture.ledger.accept(back, kNow + 1s);
  fixture.ledger.accept(back, kNow + 1s);
  CHECK(fixture.requestCredit(0s, kNow + 1s).granted);
  CHECK_FALSE(fixture.requestCredit(0s, kNow + 1s).granted);
}

TEST_CASE("The latest observation of a limit applies, in whichever order reports arrive") {
  LedgerFixture fixture;
  fixture.reportLimit(4, 0s, kNow);
  fixture.reportLimit(9, 3s, kNow);
  CHECK(fixture.requestCredit(0s, kNow, 4, 0s).calls_per_second == 4);
  fixture.reportLimit(std::nullopt, 1s, kNow);
  CHECK_FALSE(fixture.requestCredit(0s, kNow, 4, 0s).unlimited);
  fixture.reportLimit(std::nullopt, 0s, kNow + 1s);
  CHECK(fixture.requestCredit(0s, kNow + 2s, 4, 2s).unlimited);
  CHECK_FALSE(fixture.requestCredit(0s, kNow + 2s, 3, 500ms).unlimited);
}

TEST_CASE("A leader without the limit learns it from a credit request and starts without credit") {
  LedgerFixture fixture;
  CHECK_FALSE(fixture.requestCredit(0s, kNow, 2, 5s).granted);
  CHECK(fixture.ledger.activeCount() == 1);
  CHECK(fixture.requestCredit(0s, kNow + 500ms, 2, 5s).granted);
}

TEST_CASE("Only starts, ends and large changes of a limit are published to routers") {
  LedgerFixture fixture;
  fixture.reportLimit(4, 0s, kNow);
  CHECK(fixture.ledger.takeChanges() ==
        std::vector<std::pair<ReplicaId, std::optional<double>>>{{kReplica, 4.0}});
  fixture.reportLimit(4.5, 0s, kNow + 1s);
  CHECK(fixture.ledger.takeChanges().empty());
  fixture.reportLimit(8, 0s, kNow + 2s);
  CHECK(fixture.ledger.takeChanges().size() == 1);
  fixture.reportLimit(std::nullopt, 0s, kNow + 3s);
  CHECK(fixture.ledger.takeChanges() ==
        std::vector<std::pair<ReplicaId, std::optional<double>>>{{kReplica, std::nullopt}});
}

TEST_CASE("Invalid limits are ignored, and negative ages and thousands of replicas are tolerated") {
  LedgerFixture fixture;
  fixture.reportLimit(std::numeric_limits<double>::quiet_NaN(), 0s, kNow);
  fixture.reportLimit(-1, 0s, kNow);
  fixture.reportLimit(std::numeric_limits<double>::infinity(), 0s, kNow);
  CHECK(fixture.ledger.activeCount() == 0);
  fixture.reportLimit(2, -5s, kNow);
  CHECK(fixture.ledger.activeCount() == 1);
  constexpr int kReplicas = 12'000;
  for (int i = 0; i < kReplicas; ++i) {
    wire::LimitRequest request = fixture.nextRequest();
    request.heard = {{ReplicaId("x" + std::to_string(i)), 1.0, 0}};
    fixture.ledger.accept(request, kNow + std::chrono::milliseconds(i));
  }
  CHECK(fixture.ledger.activeCount() <= 10'000);
}

}  // namespace
}  // namespace ferryrock::services
