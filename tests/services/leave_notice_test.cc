#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "services/subscribed_fleet.h"
#include "wire/replica_incarnation.h"

/// Leave notices of replicas that the leader has no record of, as it began to lead after they last reported.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr Duration kCoreDown = 700ms;
/// Limit on the time until a leave notice is acknowledged.
constexpr Duration kAcknowledged = 4s;
/// A router is in contact again this long after it was out of contact.
constexpr Duration kContact = 3s;

/// A cell with a router that takes each table as it comes, and one that decides as the production router
/// does.
struct NotifiedCell {
  NotifiedCell() : cluster(3, 1) {
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
    REQUIRE(cluster.replaceAcknowledged(1));
    cluster.runFor(8s);
  }
  void restartAllMembers() {
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.kill(cluster.member(i));
    }
    cluster.runFor(kCoreDown);
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.start(cluster.member(i));
    }
    REQUIRE(cluster.runUntil([this] { return cluster.leader() != nullptr; }));
  }
  /// Sends the notice, to the leader or another member, until it is acknowledged; false after the time limit.
  bool leave(const wire::ReplicaReport& notice, bool to_leader) {
    const TimePoint end = cluster.now() + kAcknowledged;
    while (cluster.now() < end) {
      ServiceMember* member = cluster.leader();
      for (std::size_t i = 0; i < 3 && !to_leader && member == cluster.leader(); ++i) {
        member = &cluster.member(i);
      }
      const std::uint64_t request = cluster.report(*member, notice);
      cluster.runUntil([&] { return ServiceCluster::codeOf(*member, request).has_value(); }, 1s);
      if (ServiceCluster::codeOf(*member, request) == ResultCode::Ok) {
        return true;
      }
      cluster.runFor(100ms);
    }
    return false;
  }
  bool isOpen(const ReplicaId& id) const {
    const auto known = scripted.replicas.find(id);
    return known != scripted.replicas.end() && known->second.accepting;
  }
  void report(const ReplicaId& id, std::uint64_t sequence) {
    wire::ReplicaReport report = makeReport("r1", "desk", sequence);
    report.id = id;
    cluster.report(*cluster.leader(), report);
  }

  ServiceCluster cluster;
  ScriptedRouter& scripted = cluster.addRouter("edge-1");
  RunningRouter& running = cluster.addCallRouter("edge-2");
};

/// A notice that names the replica only.
wire::ReplicaReport bareNotice(const std::string& name) {
  wire::ReplicaReport notice;
  notice.id = ReplicaId(name);
  notice.leaving = true;
  return notice;
}

TEST_CASE(
    "An acknowledged notice that is the first a new leader hears of a replica closes it at the routers") {
  const bool bare = GENERATE(true, false);
  const bool to_leader = GENERATE(true, false);
  INFO("without an address: " << bare << ", to the leader: " << to_leader);
  NotifiedCell cell;
  cell.report(ReplicaId("r1"), 1);
  cell.cluster.runFor(1s);
  REQUIRE(cell.isOpen(ReplicaId("r1")));
  REQUIRE(cell.running.logic->knownReplicas() == 1);
  cell.restartAllMembers();
  wire::ReplicaReport notice = bareNotice("r1");
  if (!bare) {
    notice = makeReport("r1", "desk", 2);
    notice.leaving = true;
  }
  CHECK(cell.leave(notice, to_leader));
  CHECK_FALSE(cell.isOpen(ReplicaId("r1")));
  if (bare) {
    CHECK(cell.running.logic->knownReplicas() == 0);
  }
  // A report that was delayed since before the notice opens it no more.
  cell.report(ReplicaId("r1"), 1);
  cell.cluster.runFor(1s);
  CHECK_FALSE(cell.isOpen(ReplicaId("r1")));
}

TEST_CASE(
    "A notice without a start time closes the incarnation that routers know, which the leader doesn't") {
  NotifiedCell cell;
  cell.report(wire::replicaIncarnationId("r1", 1000), 1);
  cell.cluster.runFor(1s);
  REQUIRE(cell.running.logic->knownReplicas() == 1);
  cell.restartAllMembers();
  CHECK(cell.leave(bareNotice("r1"), true));
  CHECK(cell.running.logic->knownReplicas() == 0);
}

TEST_CASE("A notice that an earlier leader acknowledged binds a router that was out of contact meanwhile") {
  const bool all_members_lost = GENERATE(true, false);
  INFO("all members are lost: " << all_members_lost);
  NotifiedCell cell;
  cell.report(ReplicaId("r1"), 1);
  cell.cluster.runFor(1s);
  REQUIRE(cell.isOpen(ReplicaId("r1")));
  cell.scripted.silent = true;
  cell.cluster.runFor(kContact + 500ms);
  CHECK(cell.leave(bareNotice("r1"), true));
  if (all_members_lost) {
    cell.restartAllMembers();
  } else {
    const NodeName old_leader = cell.cluster.leader()->node;
    cell.cluster.kill(*cell.cluster.leader());
    REQUIRE(cell.cluster.runUntil(
        [&] { return cell.cluster.leader() != nullptr && cell.cluster.leader()->node != old_leader; }));
  }
  cell.scripted.silent = false;
  cell.cluster.runFor(kContact);
  CHECK_FALSE(cell.isOpen(ReplicaId("r1")));
}

TEST_CASE("A replica that registers anew while the notice of its address waits isn't closed by it") {
  NotifiedCell cell;
  cell.report(ReplicaId("r1"), 1);
  cell.cluster.runFor(1s);
  cell.restartAllMembers();
  wire::ReplicaReport successor = makeReport("r2", "desk", 1);
  successor.address = makeReport("r1", "desk", 1).address;
  cell.cluster.report(*cell.cluster.leader(), bareNotice("r1"));
  cell.cluster.report(*cell.cluster.leader(), successor);
  CHECK(cell.leave(bareNotice("r1"), true));
  CHECK_FALSE(cell.isOpen(ReplicaId("r1")));
  CHECK(cell.isOpen(ReplicaId("r2")));
}

TEST_CASE(
    "No call is sent to a replica after its notice, the first a new leader hears of it in a large fleet") {
  constexpr std::size_t kReplicas = 560;
  SubscribedFleet fleet(4, kReplicas);
  const ReplicaId leaver(SubscribedFleet::nameAt(0));
  REQUIRE(SubscribedFleet::isPlain(0));
  fleet.stopped_replicas.insert(0);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.cluster.kill(fleet.cluster.member(i));
  }
  fleet.cluster.runFor(kCoreDown);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.cluster.start(fleet.cluster.member(i));
  }
  REQUIRE(fleet.cluster.runUntil([&] { return fleet.cluster.leader() != nullptr; }));
  ServiceMember& leader = *fleet.cluster.leader();
  std::optional<ResultCode> code;
  const TimePoint end = fleet.cluster.now() + kAcknowledged;
  while (code != ResultCode::Ok && fleet.cluster.now() < end) {
    const std::uint64_t request = fleet.cluster.report(leader, bareNotice(leaver.value));
    fleet.cluster.runUntil([&] { return ServiceCluster::codeOf(leader, request).has_value(); }, 1s);
    code = ServiceCluster::codeOf(leader, request);
  }
  CHECK(code == ResultCode::Ok);
  fleet.sent_to.clear();
  for (int i = 0; i < 200; ++i) {
    for (RunningRouter* router : fleet.routers) {
      fleet.call(*router, "");
    }
    fleet.cluster.runFor(20ms);
  }
  CHECK(fleet.sent_to.size() > 1);
  CHECK_FALSE(fleet.sent_to.contains(leaver));
}

}  // namespace
}  // namespace ferryrock::services
