#include "calls/control_feed.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

/// Rate of statuses that a router sends to the members of its cell. In a large fleet the statuses of all
/// routers add up there.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMembers = 9;
constexpr TimePoint kStart{1000s};

NodeName memberAt(std::size_t number) {
  return NodeName("10.0.0." + std::to_string(number) + ":7000");
}

/// A feed whose members answer like those of a large fleet and request these status intervals.
struct FeedOfLargeFleet {
  FeedOfLargeFleet(Duration at_leader, Duration at_member)
      : leader_interval(at_leader), member_interval(at_member), feed(settings()) {}
  static ControlFeedSettings settings() {
    ControlFeedSettings settings;
    settings.router = NodeName("edge-1");
    settings.incarnation = 7;
    for (std::size_t i = 0; i < kMembers; ++i) {
      settings.seeds.push_back(memberAt(i));
    }
    return settings;
  }
  void run(Duration duration) {
    for (const TimePoint end = now + duration; now < end; now += 10ms) {
      if (feed.due(now)) {
        for (const wire::SendEffect& send : feed.statuses({}, now)) {
          ++statuses[send.to];
          answer(send.to);
        }
      }
    }
  }
  void answer(const NodeName& member) {
    if (leader_answers && member == memberAt(0)) {
      wire::ServiceUpdate update;
      update.revision = LogIndex{(std::uint64_t{1} << 40) + 1};
      update.base = update.revision;
      update.table = 5;
      update.status_interval_ms = toMilliseconds(leader_interval);
      if (!feed.holdsSubscribedTable()) {
        update.base = LogIndex{};
      }
      feed.accept(member, update, now);
    } else if (member != memberAt(0)) {
      feed.accept(member, wire::MemberList{{}, named_leader, toMilliseconds(member_interval)});
    }
  }
  Duration leader_interval;
  Duration member_interval;
  ControlFeed feed;
  TimePoint now = kStart;
  bool leader_answers = true;
  NodeName named_leader = memberAt(0);
  std::map<NodeName, std::size_t> statuses;
};

TEST_CASE("Statuses are sent at the intervals that the leader and the members request") {
  for (const std::size_t size : {1U, 2U}) {
    INFO("size " << size);
    FeedOfLargeFleet fleet(std::chrono::seconds(size), std::chrono::seconds(4 * size));
    fleet.run(10s);  // until the requested intervals are known
    fleet.statuses.clear();
    constexpr std::size_t kSeconds = 80;
    fleet.run(std::chrono::seconds(kSeconds));
    CHECK(fleet.statuses[memberAt(0)] <= kSeconds / size + 1);
    CHECK(fleet.statuses[memberAt(0)] >= kSeconds / size * 9 / 10);
    for (std::size_t i = 1; i < kMembers; ++i) {
      CHECK(fleet.statuses[memberAt(i)] <= kSeconds / (4 * size) + 1);
      CHECK(fleet.statuses[memberAt(i)] >= 1);
    }
  }
}

TEST_CASE("Without a leader, only a few members are queried at a time, however many there are") {
  FeedOfLargeFleet fleet(1s, 4s);
  fleet.run(10s);
  fleet.leader_answers = false;
  fleet.run(3s);
  REQUIRE(fleet.feed.leader().empty());
  fleet.statuses.clear();
  constexpr std::size_t kSeconds = 10;
  fleet.run(std::chrono::seconds(kSeconds));
  std::size_t all = 0;
  for (const auto& [member, count] : fleet.statuses) {
    all += count;
  }
  INFO(all << " statuses in " << kSeconds << " s");
  constexpr std::size_t kQueriesPerSecond = 4;  // two members, twice a second
  CHECK(all <= kQueriesPerSecond * kSeconds + 2);
  CHECK(fleet.statuses.size() == kMembers);  // each member was queried
}

TEST_CASE("A leader named by other members is queried at once") {
  FeedOfLargeFleet fleet(1s, 4s);
  fleet.run(10s);
  fleet.leader_answers = false;
  fleet.run(3s);
  REQUIRE(fleet.feed.leader().empty());
  fleet.leader_answers = true;
  fleet.run(1s);
  CHECK(fleet.feed.leader() == memberAt(0));
}

}  // namespace
}  // namespace ferryrock::calls
