#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "balance/fleet_load_aggregator.h"
#include "balance/fleet_load_view.h"
#include "balance/load_key.h"

/// Load reports of routers, the leader's aggregates, and a router's view of them.
namespace ferryrock::balance {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

wire::CallRouterStatus status(const std::string& router, std::vector<wire::LocalReplicaLoad> local_loads) {
  wire::CallRouterStatus report;
  report.router = NodeName(router);
  report.local_loads = std::move(local_loads);
  return report;
}

wire::ReplicaLoad loadOf(FleetLoadAggregator& tally, std::uint32_t replica, TimePoint now) {
  for (const wire::ReplicaLoad& load : tally.loads(now)) {
    if (load.replica == replica) {
      return load;
    }
  }
  return {};
}

TEST_CASE("Aggregates contain exactly the last status of each router") {
  CHECK(rc::check("sums", [] {
    FleetLoadAggregator tally;
    std::map<std::string, std::uint32_t> last;
    TimePoint now = kStart;
    for (int i = 0; i < 40; ++i) {
      now += 10ms;
      const std::string router = "edge-" + std::to_string(*rc::gen::inRange(0, 5));
      last[router] = *rc::gen::inRange<std::uint32_t>(0, 50);
      tally.accept(status(router, {{7, last[router], last[router] * 100, 0}}), now);
    }
    std::uint32_t streams = 0;
    for (const auto& [router, own] : last) {
      streams += own;
    }
    const wire::ReplicaLoad load = loadOf(tally, 7, now + 100ms);
    RC_ASSERT(load.streams == streams);
    RC_ASSERT(load.pending_prefill_tokens == streams * 100);
  }));
}

TEST_CASE("A router that stops reporting is removed from the aggregates, and token rates decay") {
  FleetLoadAggregator tally;
  tally.accept(status("edge-1", {{7, 3, 9'000, 20'000}}), kStart);
  tally.accept(status("edge-2", {{7, 1, 0, 0}}), kStart);
  const wire::ReplicaLoad at_once = loadOf(tally, 7, kStart + 60ms);
  CHECK(at_once.streams == 4);
  CHECK(at_once.tokens_per_s == Approx(10'000).epsilon(0.05));
  tally.accept(status("edge-2", {{7, 1, 0, 0}}), kStart + 2s);
  tally.expire(kStart + 2s);
  const wire::ReplicaLoad later = loadOf(tally, 7, kStart + 2100ms);
  CHECK(later.streams == 1);
  CHECK(later.pending_prefill_tokens == 0);
  CHECK(later.tokens_per_s < 4'000);
  tally.accept(status("edge-2", {}), kStart + 20s);
  tally.expire(kStart + 20s);
  CHECK(tally.loads(kStart + 20s).empty());
}

TEST_CASE("A router replaces its share of the aggregates by its current local load") {
  FleetLoadView board;
  board.onReported({{7, 2, 500, 0}});
  CHECK_FALSE(board.isFresh(kStart));
  board.accept({{7, 10, 4'000, 1'000, 220}}, kStart);
  CHECK(board.isFresh(kStart + 2s));
  CHECK_FALSE(board.isFresh(kStart + 3s));
  const FleetLoad use = board.estimateLoad(7, {5, 900});
  CHECK(use.streams == 13);
  CHECK(use.pending_prefill_tokens == 4'400);
  CHECK(use.slowness == Approx(2.2));
  CHECK(board.estimateLoad(8, {1, 100}).streams == 1);
  CHECK(board.slowness(8) == 1);
  board.onReported({{7, 40, 90'000, 0}});  // newer than the aggregates, which don't contain it yet
  CHECK(board.estimateLoad(7, {}).streams == 0);
  CHECK(board.estimateLoad(7, {}).pending_prefill_tokens == 0);
}

TEST_CASE("Load keys of different names differ and are stable") {
  CHECK(loadKey("i-7f3a91c2") != loadKey("i-7f3a91c3"));
  CHECK(loadKey("i-7f3a91c2") == loadKey("i-7f3a91c2"));
}

}  // namespace
}  // namespace ferryrock::balance
