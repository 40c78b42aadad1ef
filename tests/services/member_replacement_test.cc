#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "services/service_cluster.h"

/// Members that leave for good while others take their place, beside the disk losses that the cell tolerates.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kVoters = 5;
/// A member that is new or back counts as lost for this long.
constexpr Duration kCatchUp = 4s;
/// Limit on the time without service after losses that the cell tolerates.
constexpr Duration kRecovery = 12s;
constexpr Duration kDown = 500ms;

/// A cell of five voters, to which further members are added.
struct ReplaceableCell {
  explicit ReplaceableCell(std::uint64_t seed) : cluster(3, 2, seed), random(seed) {
    for (std::size_t i = 0; i < 3; ++i) {
      running.push_back(&cluster.member(i));
    }
    add();
    add();
    REQUIRE(cluster.runUntil([this] { return voters() == kVoters; }));
    REQUIRE(cluster.replaceAcknowledged(++version));
  }

  std::size_t voters() {
    ServiceMember* member = cluster.leader();
    return member == nullptr ? 0 : member->control->view(cluster.now()).voters;
  }
  void add() { running.push_back(&cluster.addMember("10.0.0." + std::to_string(++addresses) + ":7000")); }
  ServiceMember& follower() {
    return **std::find_if(running.begin(), running.end(),
                          [this](auto* member) { return member != cluster.leader(); });
  }
  ServiceMember& draw() { return *running[random.below(running.size())]; }
  void forget(ServiceMember& member) { std::erase(running, &member); }
  /// Processes that start later are given three members that run now.
  void updateSeeds() {
    std::vector<NodeName> seeds;
    for (std::size_t i = 0; i < 3; ++i) {
      seeds.push_back(running[i]->node);
    }
    cluster.setSeeds(seeds);
  }
  /// The member ends for good; returns how long its planned stop took.
  Duration leave(ServiceMember& member) {
    forget(member);
    return stop(member);
  }
  Duration stop(ServiceMember& member) {
    const TimePoint began = cluster.now();
    cluster.stop(member);
    cluster.runUntil([&] { return !member.control; });
    return cluster.now() - began;
  }
  void killForGood(ServiceMember& member) {
    forget(member);
    cluster.kill(member);
  }
  void loseDisks(const std::vector<ServiceMember*>& members) {
    for (ServiceMember* member : members) {
      cluster.wipe(*member);
    }
    cluster.runFor(kDown);
    for (ServiceMember* member : members) {
      cluster.start(*member);
    }
  }
  void restart(ServiceMember& member) {
    cluster.runFor(kDown);
    cluster.start(member);
  }
  /// The acknowledged catalog can be read back, and a new one is acknowledged.
  void checkServes() {
    CHECK(cluster.runUntil([this] { return cluster.leader() != nullptr; }, kRecovery));
    CHECK(cluster.readConfirmed() == "catalog " + std::to_string(version));
    CHECK(cluster.replaceAcknowledged(++version, kRecovery));
  }

  ServiceCluster cluster;
  Random random;
  std::vector<ServiceMember*> running;
  std::uint64_t version = 0;
  std::size_t addresses = 3;
};

/// Two members of those that run, by the number of the pair.
std::vector<ServiceMember*> pairOf(const ReplaceableCell& cell, std::size_t number) {
  std::vector<std::vector<ServiceMember*>> pairs;
  for (std::size_t i = 0; i < cell.running.size(); ++i) {
    for (std::size_t j = i + 1; j < cell.running.size(); ++j) {
      pairs.push_back({cell.running[i], cell.running[j]});
    }
  }
  return pairs.at(number);
}

TEST_CASE("Two disks that are lost right after a planned replacement don't end the cell") {
  const auto pair = GENERATE(range<std::size_t>(0, 10));
  const bool leader_leaves = GENERATE(false, true);
  INFO("pair " << pair << ", the leader leaves: " << leader_leaves);
  ReplaceableCell cell(pair + 1);
  cell.add();
  cell.cluster.runFor(kCatchUp);
  const Duration took = cell.leave(leader_leaves ? *cell.cluster.leader() : cell.follower());
  CHECK(took < 2s);
  REQUIRE(cell.cluster.replaceAcknowledged(++cell.version));
  cell.loseDisks(pairOf(cell, pair));
  cell.checkServes();
}

TEST_CASE("Two disks that are lost once a killed member's successor has caught up don't end the cell") {
  const auto pair = GENERATE(range<std::size_t>(0, 10));
  const bool leader_leaves = GENERATE(false, true);
  INFO("pair " << pair << ", the leader leaves: " << leader_leaves);
  ReplaceableCell cell(pair + 1);
  cell.killForGood(leader_leaves ? *cell.cluster.leader() : cell.follower());
  cell.add();
  cell.cluster.runFor(kCatchUp);
  REQUIRE(cell.cluster.replaceAcknowledged(++cell.version));
  cell.loseDisks(pairOf(cell, pair));
  cell.checkServes();
}

TEST_CASE("Three members that are replaced in turn don't end the cell") {
  const bool planned = GENERATE(true, false);
  const bool leader_leaves = GENERATE(false, true);
  INFO("planned: " << planned << ", the leader leaves: " << leader_leaves);
  ReplaceableCell cell(1);
  for (int i = 0; i < 3; ++i) {
    cell.add();
  }
  cell.cluster.runFor(kCatchUp);
  for (int i = 0; i < 3; ++i) {
    ServiceMember& leaving =
        leader_leaves && cell.cluster.leader() != nullptr ? *cell.cluster.leader() : cell.follower();
    if (planned) {
      cell.leave(leaving);
    } else {
      cell.killForGood(leaving);
      cell.cluster.runFor(kCatchUp);
    }
  }
  cell.loseDisks(pairOf(cell, 0));
  cell.checkServes();
}

TEST_CASE("Members that restart in turn leave the cell with its voters at every step") {
  const bool spare = GENERATE(true, false);
  INFO("a sixth member: " << spare);
  ReplaceableCell cell(3);
  if (spare) {
    cell.add();
  }
  cell.cluster.runFor(kCatchUp);
  for (ServiceMember* member : std::vector<ServiceMember*>(cell.running)) {
    const Duration took = cell.stop(*member);
    CHECK(took < 2s);
    CHECK(cell.cluster.runUntil([&] { return cell.cluster.leader() != nullptr; }, kRecovery));
    CHECK(cell.voters() == kVoters);
    cell.restart(*member);
    cell.cluster.runFor(kCatchUp);
    CHECK(cell.voters() == kVoters);
  }
  cell.loseDisks(pairOf(cell, 3));
  cell.checkServes();
  CHECK(cell.cluster.runUntil([&] { return cell.voters() == kVoters; }, kRecovery));
}

TEST_CASE("A member that lost its disk while another is being replaced doesn't end the cell") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 9));
  INFO("seed " << seed);
  ReplaceableCell cell(seed);
  cell.add();
  cell.cluster.runFor(kCatchUp);
  ServiceMember& leaving = cell.draw();
  cell.forget(leaving);
  ServiceMember& lost = cell.draw();
  cell.cluster.stop(leaving);
  cell.cluster.runFor(std::chrono::milliseconds(cell.random.below(300)));
  cell.loseDisks({&lost});
  cell.cluster.runFor(kCatchUp);
  cell.checkServes();
  cell.loseDisks(pairOf(cell, cell.random.below(10)));
  cell.checkServes();
}

/// One drawn change of the members, after which nothing counts as lost.
void changeMembers(ReplaceableCell& cell) {
  enum { kPlanned, kKilled, kStopped, kCrashed, kChanges };
  cell.updateSeeds();
  switch (cell.random.below(kChanges)) {
    case kPlanned:
      cell.add();
      cell.cluster.runFor(kCatchUp);
      cell.leave(cell.draw());
      break;
    case kKilled:
      cell.killForGood(cell.draw());
      cell.add();
      cell.cluster.runFor(kCatchUp);
      break;
    case kStopped: {
      ServiceMember& member = cell.draw();
      cell.stop(member);
      cell.restart(member);
      cell.cluster.runFor(kCatchUp);
      break;
    }
    default: {
      ServiceMember& member = cell.cluster.leader() == nullptr ? cell.draw() : *cell.cluster.leader();
      cell.cluster.kill(member);
      cell.restart(member);
      cell.cluster.runFor(kCatchUp);
    }
  }
}

TEST_CASE("Drawn replacements, restarts and disk losses never end the cell") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 21));
  INFO("seed " << seed);
  ReplaceableCell cell(seed);
  for (int round = 0; round < 10; ++round) {
    CAPTURE(round);
    changeMembers(cell);
    REQUIRE(cell.cluster.replaceAcknowledged(++cell.version));
    cell.loseDisks(pairOf(cell, cell.random.below(cell.running.size() * (cell.running.size() - 1) / 2)));
    cell.checkServes();
    cell.cluster.runFor(kCatchUp);
  }
}

}  // namespace
}  // namespace ferryrock::services
