#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

#include "services/service_cluster.h"
#include "wire/replica_incarnation.h"

/// A cell of control members under faults: formation, durability, membership repair, replica drains and
/// orders.
namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

/// A cell of three founders and two that joined, five voters in all.
struct FullCell {
  explicit FullCell(std::uint64_t seed = 7) : cluster(3, 2, seed) {
    cluster.addMember("10.0.0.4:7000");
    cluster.addMember("10.0.0.5:7000");
    REQUIRE(cluster.runUntil([this] { return voters() == 5; }));
  }
  std::size_t voters() {
    ServiceMember* member = cluster.leader();
    return member == nullptr ? 0 : member->control->view(cluster.now()).voters;
  }
  /// A member that doesn't lead.
  ServiceMember& follower(std::size_t skip = 0) {
    for (std::size_t i = 0; i < 5; ++i) {
      if (&cluster.member(i) != cluster.leader() && skip-- == 0) {
        return cluster.member(i);
      }
    }
    throw std::logic_error("no follower");
  }
  ServiceCluster cluster;
};

TEST_CASE("Joining processes become voters only until the cell tolerates the configured losses") {
  FullCell cell;
  cell.cluster.addMember("10.0.0.6:7000");
  cell.cluster.runFor(3s);
  CHECK(cell.voters() == 5);
}

TEST_CASE("A catalog isn't acknowledged before enough disks hold it") {
  ServiceCluster cluster(3, 2);
  REQUIRE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
  ServiceMember& leader = *cluster.leader();
  const std::uint64_t request_number = cluster.replace(leader, 1);
  cluster.runFor(1s);
  CHECK_FALSE(ServiceCluster::codeOf(leader, request_number).has_value());
  cluster.addMember("10.0.0.4:7000");
  REQUIRE(cluster.runUntil([&] { return ServiceCluster::codeOf(leader, request_number).has_value(); }, 2s));
  CHECK(ServiceCluster::codeOf(leader, request_number) == ResultCode::Ok);
}

TEST_CASE("A catalog that never reaches enough disks gets NoQuorum, which leaves the outcome open") {
  ServiceCluster cluster(3, 2);
  REQUIRE(cluster.runUntil([&] { return cluster.leader() != nullptr; }));
  ServiceMember& leader = *cluster.leader();
  const std::uint64_t request_number = cluster.replace(leader, 1);
  REQUIRE(cluster.runUntil([&] { return ServiceCluster::codeOf(leader, request_number).has_value(); }, 5s));
  CHECK(ServiceCluster::codeOf(leader, request_number) == ResultCode::NoQuorum);
}

TEST_CASE("Acknowledged catalogs survive the loss of two disks during a power loss of all members") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    FullCell cell(seed);
    REQUIRE(cell.cluster.replaceAcknowledged(3));
    REQUIRE(cell.cluster.replaceAcknowledged(9));
    Random random(seed);
    const std::size_t first = random.below(5);
    const std::size_t second = (first + 1 + random.below(4)) % 5;
    for (std::size_t i = 0; i < 5; ++i) {
      cell.cluster.powerOff(cell.cluster.member(i));
    }
    cell.cluster.wipe(cell.cluster.member(first));
    cell.cluster.wipe(cell.cluster.member(second));
    for (std::size_t i = 0; i < 5; ++i) {
      cell.cluster.start(cell.cluster.member(i));
    }
    CHECK(cell.cluster.readConfirmed() == "catalog 9");
    CHECK(cell.cluster.runUntil([&] { return cell.voters() == 5; }));
  }
}

TEST_CASE("A member with a lost disk rejoins under a new identity, and further disk losses are tolerated") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(4));
  ServiceMember& lost = cell.follower();
  cell.cluster.wipe(lost);
  cell.cluster.start(lost);
  REQUIRE(cell.cluster.runUntil([&] { return lost.control->view(cell.cluster.now()).catalog.value == 4; }));
  REQUIRE(cell.cluster.runUntil([&] { return cell.voters() == 5; }));
  cell.cluster.wipe(cell.follower(0));
  cell.cluster.wipe(cell.follower(1));
  cell.cluster.runFor(1s);
  CHECK(cell.cluster.readConfirmed() == "catalog 4");
}

TEST_CASE(
    "After a power loss of the cell a leader is elected at once and knows the replicas that reported before "
    "the election") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    FullCell cell(seed);
    ScriptedRouter& router = cell.cluster.addRouter("edge-1");
    REQUIRE(cell.cluster.replaceAcknowledged(3));
    for (std::size_t i = 0; i < 5; ++i) {
      cell.cluster.powerOff(cell.cluster.member(i));
    }
    cell.cluster.runFor(500ms);
    router.status.revision = LogIndex{};
    router.status.catalog = CatalogVersion{};
    router.replicas.clear();
    for (std::size_t i = 0; i < 5; ++i) {
      cell.cluster.start(cell.cluster.member(i));
    }
    cell.cluster.runFor(20ms);
    const std::uint64_t refused = cell.cluster.report(cell.cluster.member(0), makeReport("r1", "desk", 5));
    CHECK(ServiceCluster::codeOf(cell.cluster.member(0), refused) == ResultCode::NoQuorum);
    CHECK(cell.cluster.runUntil([&] { return cell.cluster.leader() != nullptr; }, 400ms));
    CHECK(cell.cluster.runUntil(
        [&] {
          return router.status.catalog == CatalogVersion{3} && router.replicas.contains(ReplicaId("r1"));
        },
        300ms));
  }
}

TEST_CASE("A silent voter is replaced only once a joining process is available") {
  FullCell cell;
  ServiceMember& gone = cell.follower();
  cell.cluster.kill(gone);
  cell.cluster.runFor(8s);
  CHECK(cell.voters() == 5);
  ServiceMember& successor = cell.cluster.addMember("10.0.0.9:7000");
  cell.cluster.runFor(8s);
  CHECK(cell.voters() == 5);
  const auto peers = cell.cluster.leader()->control->peers();
  CHECK(std::find(peers.begin(), peers.end(), successor.node) != peers.end());
}

TEST_CASE("A leader that is cut off confirms no reads and acknowledges no changes or reports") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(1));
  ServiceMember& old_leader = *cell.cluster.leader();
  cell.cluster.isolate(old_leader.node);
  const std::uint64_t early = cell.cluster.read(old_leader);
  const std::uint64_t change = cell.cluster.replace(old_leader, 2);
  cell.cluster.runFor(3s);
  CHECK(ServiceCluster::codeOf(old_leader, early) == ResultCode::NoQuorum);
  CHECK(ServiceCluster::codeOf(old_leader, change) != ResultCode::Ok);
  const std::uint64_t late = cell.cluster.read(old_leader);
  const std::uint64_t report = cell.cluster.report(old_leader, makeReport("r1", "desk", 1));
  cell.cluster.runFor(100ms);
  CHECK(ServiceCluster::codeOf(old_leader, late) == ResultCode::NoQuorum);
  CHECK(ServiceCluster::codeOf(old_leader, report) == ResultCode::NoQuorum);
  CHECK(cell.cluster.readConfirmed() == "catalog 1");
}

TEST_CASE("A lower or equal catalog version is acknowledged without effect, and an invalid one is rejected") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(7));
  ServiceMember& leader = *cell.cluster.leader();
  wire::ServiceCatalog other = makeCatalog(7);
  other.routes.pop_back();
  const std::uint64_t equal = cell.cluster.replace(leader, other);
  const std::uint64_t lower = cell.cluster.replace(leader, 2);
  wire::ServiceCatalog invalid = makeCatalog(8);
  invalid.routes.front().targets.front().service = ServiceName("unknown");
  const std::uint64_t refused = cell.cluster.replace(leader, invalid);
  cell.cluster.runFor(500ms);
  CHECK(ServiceCluster::codeOf(leader, equal) == ResultCode::Ok);
  CHECK(ServiceCluster::codeOf(leader, lower) == ResultCode::Ok);
  CHECK(ServiceCluster::codeOf(leader, refused) == ResultCode::InvalidCatalog);
  CHECK(cell.cluster.readConfirmed() == "catalog 7");
}

TEST_CASE("An acknowledged catalog reaches routers at once, and no change of leader reverts it") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  cell.cluster.runFor(1s);
  REQUIRE(cell.cluster.replaceAcknowledged(1));
  cell.cluster.runFor(20ms);
  CHECK(router.status.catalog.value == 1);
  cell.cluster.kill(*cell.cluster.leader());
  REQUIRE(cell.cluster.replaceAcknowledged(2));
  cell.cluster.runFor(400ms);
  CHECK(router.versions == std::vector<CatalogVersion>{CatalogVersion{1}, CatalogVersion{2}});
}

TEST_CASE("Extra statuses of a router that is up to date don't trigger an update each") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  REQUIRE(cell.cluster.replaceAcknowledged(2));
  cell.cluster.runFor(3s);
  const std::size_t before = router.updates;
  for (int i = 0; i < 50; ++i) {
    cell.cluster.sendStatus(router);
    cell.cluster.runFor(20ms);
  }
  CHECK(router.updates - before >= 3);
  CHECK(router.updates - before <= 6);
  router.model_calls = {{ServiceName("llm"), ModelName("m1"), "", 1, 0, 1}};
  const std::size_t before_waiting = router.updates;
  for (int i = 0; i < 10; ++i) {
    cell.cluster.sendStatus(router);
    cell.cluster.runFor(20ms);
  }
  CHECK(router.updates - before_waiting >= 10);
}

TEST_CASE("A follower rejects a change with the address of the leader") {
  FullCell cell;
  ServiceMember& follower = cell.follower();
  const std::uint64_t request_number = cell.cluster.replace(follower, 5);
  cell.cluster.runFor(50ms);
  CHECK(ServiceCluster::codeOf(follower, request_number) == ResultCode::NotLeader);
  CHECK(follower.answers[request_number].leader == cell.cluster.leader()->node.value);
}

TEST_CASE("A leave notice sent to a follower is acknowledged only once every router in contact applied it") {
  FullCell cell;
  ScriptedRouter& quick = cell.cluster.addRouter("edge-1");
  ScriptedRouter& slow = cell.cluster.addRouter("edge-2");
  cell.cluster.runFor(2s);
  wire::ReplicaReport report = makeReport("r1", "desk", 1);
  ServiceMember& reporting_to = cell.follower();
  cell.cluster.report(reporting_to, report);
  cell.cluster.runFor(1s);
  REQUIRE(slow.replicas.at(ReplicaId("r1")).accepting);
  slow.silent = true;
  report.leaving = true;
  report.sequence = 2;
  const std::uint64_t early = cell.cluster.report(reporting_to, report);
  cell.cluster.runFor(1200ms);
  CHECK(ServiceCluster::codeOf(reporting_to, early) == ResultCode::NotBoundEverywhere);
  CHECK_FALSE(quick.replicas.at(ReplicaId("r1")).accepting);
  slow.silent = false;
  cell.cluster.runFor(1s);
  CHECK_FALSE(slow.replicas.at(ReplicaId("r1")).accepting);
  report.sequence = 3;
  const std::uint64_t late = cell.cluster.report(reporting_to, report);
  cell.cluster.runFor(500ms);
  CHECK(ServiceCluster::codeOf(reporting_to, late) == ResultCode::Ok);
}

TEST_CASE("A router out of contact doesn't block a leave notice, and a leader that is cut off binds none") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  cell.cluster.runFor(2s);
  ServiceMember& leader = *cell.cluster.leader();
  wire::ReplicaReport report = makeReport("r1", "desk", 1);
  cell.cluster.report(leader, report);
  router.silent = true;
  cell.cluster.runFor(4s);
  report.leaving = true;
  report.sequence = 2;
  const std::uint64_t bound = cell.cluster.report(leader, report);
  cell.cluster.runFor(500ms);
  CHECK(ServiceCluster::codeOf(leader, bound) == ResultCode::Ok);
  cell.cluster.isolate(leader.node);
  report.id = ReplicaId("r2");
  const std::uint64_t cut = cell.cluster.report(leader, report);
  cell.cluster.runFor(1500ms);
  CHECK(ServiceCluster::codeOf(leader, cut) != ResultCode::Ok);
}

TEST_CASE("No later heartbeat revokes an acknowledged leave notice, even after all members restarted") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  cell.cluster.runFor(2s);
  ServiceMember& leader = *cell.cluster.leader();
  wire::ReplicaReport report = makeReport("r1", "desk", 1);
  report.leaving = true;
  const std::uint64_t request_number = cell.cluster.report(leader, report);
  REQUIRE(
      cell.cluster.runUntil([&] { return ServiceCluster::codeOf(leader, request_number).has_value(); }, 2s));
  REQUIRE(ServiceCluster::codeOf(leader, request_number) == ResultCode::Ok);
  for (std::size_t i = 0; i < 5; ++i) {
    cell.cluster.powerOff(cell.cluster.member(i));
  }
  for (std::size_t i = 0; i < 5; ++i) {
    cell.cluster.start(cell.cluster.member(i));
  }
  REQUIRE(cell.cluster.runUntil([&] { return cell.cluster.leader() != nullptr; }));
  router.replicas.clear();
  cell.cluster.report(*cell.cluster.leader(), makeReport("r1", "desk", 5));
  cell.cluster.runFor(1s);
  CHECK_FALSE(router.replicas.at(ReplicaId("r1")).accepting);
}

/// The two incarnations report to different members, and the leader crashes in between.
TEST_CASE(
    "A replica that restarts under its name isn't affected by the leave notice of its former incarnation") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  cell.cluster.runFor(2s);
  const RunningRouter& running = cell.cluster.addCallRouter("edge-2");
  const ReplicaId former = wire::replicaIncarnationId("r1", 1000);
  const ReplicaId present = wire::replicaIncarnationId("r1", 2000);
  wire::ReplicaReport report = makeReport("r1", "desk", 40);
  report.id = former;
  report.leaving = true;
  ServiceMember& first = *cell.cluster.leader();
  const std::uint64_t request_number = cell.cluster.report(first, report);
  REQUIRE(
      cell.cluster.runUntil([&] { return ServiceCluster::codeOf(first, request_number).has_value(); }, 2s));
  REQUIRE(ServiceCluster::codeOf(first, request_number) == ResultCode::Ok);
  REQUIRE_FALSE(router.replicas.at(former).accepting);
  cell.cluster.kill(first);
  wire::ReplicaReport next = makeReport("r1", "desk", 1);
  next.id = present;
  cell.cluster.report(cell.cluster.member(&first == &cell.cluster.member(0) ? 1 : 0), next);
  REQUIRE(cell.cluster.runUntil([&] { return cell.cluster.leader() != nullptr; }));
  next.sequence = 5;
  cell.cluster.report(*cell.cluster.leader(), next);
  cell.cluster.runFor(1s);
  report.leaving = false;
  report.sequence = 41;
  cell.cluster.report(*cell.cluster.leader(), report);
  cell.cluster.runFor(1s);
  REQUIRE(router.replicas.contains(present));
  CHECK(router.replicas.at(present).accepting);
  CHECK(running.logic->knownReplicas() == 1);
}

/// Number of replicas that each member is assigned for the next report, when replicas 1 to `count` report to
/// the leader.
std::map<std::string, std::size_t> nextMembers(FullCell& cell, std::size_t count, std::uint64_t sequence) {
  std::map<std::string, std::size_t> named;
  ServiceMember& leader = *cell.cluster.leader();
  for (std::size_t i = 1; i <= count; ++i) {
    const std::uint64_t request_number =
        cell.cluster.report(leader, makeReport("r" + std::to_string(i), "llm", sequence));
    ++named[leader.answers.at(request_number).next_report_address];
  }
  return named;
}

TEST_CASE("Few replicas report to the leader, and many are distributed evenly over the live followers") {
  constexpr std::size_t kFew = 300;
  constexpr std::size_t kMany = 1500;
  FullCell cell;
  cell.cluster.runFor(1s);  // until the members that joined last have sent a hello as members
  const std::string leader = cell.cluster.leader()->node.value;
  CHECK(nextMembers(cell, kFew, 1) == std::map<std::string, std::size_t>{{leader, kFew}});
  nextMembers(cell, kMany, 2);
  const auto spread = nextMembers(cell, kMany, 3);
  CHECK(spread.size() == 4);
  CHECK_FALSE(spread.contains(leader));
  for (const auto& [member, replicas] : spread) {
    INFO(member);
    CHECK(replicas > kMany / 10);
    CHECK(replicas < kMany / 3);
  }
  ServiceMember& follower = cell.follower();
  cell.cluster.runFor(500ms);
  const std::uint64_t request_number = cell.cluster.report(follower, makeReport("r7", "llm", 4));
  CHECK(follower.answers.at(request_number).next_report_address == follower.node.value);
  cell.cluster.kill(follower);
  cell.cluster.runFor(2500ms);
  CHECK_FALSE(nextMembers(cell, kMany, 5).contains(follower.node.value));
}

TEST_CASE("A new leader without replica reports doesn't remove replicas from the routers") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  cell.cluster.runFor(1s);
  cell.cluster.report(*cell.cluster.leader(), makeReport("r1", "desk", 1));
  cell.cluster.runFor(1s);
  REQUIRE(router.replicas.size() == 1);
  for (std::size_t i = 0; i < 5; ++i) {
    cell.cluster.kill(cell.cluster.member(i));
  }
  for (std::size_t i = 0; i < 5; ++i) {
    cell.cluster.start(cell.cluster.member(i));
  }
  cell.cluster.runFor(4s);
  CHECK(router.replicas.size() == 1);
}

TEST_CASE("Every member offers accepting routers to callers, and no router that is stopping") {
  FullCell cell;
  cell.cluster.addRouter("edge-1");
  ScriptedRouter& stopping = cell.cluster.addRouter("edge-2");
  cell.cluster.runFor(1s);
  CHECK(cell.follower().control->routerAddresses(ZoneName{}, 64, cell.cluster.now()).size() == 2);
  stopping.status.accepting = false;
  cell.cluster.runFor(500ms);
  CHECK(cell.follower().control->routerAddresses(ZoneName{}, 64, cell.cluster.now()) ==
        std::vector<std::string>{"edge-1:80"});
}

TEST_CASE("A new leader sends no orders before the order lease of the former leader has expired") {
  FullCell cell;
  ScriptedRouter& router = cell.cluster.addRouter("edge-1");
  REQUIRE(cell.cluster.replaceAcknowledged(1));
  wire::ReplicaReport report = makeReport("r1", "llm", 1);
  report.held = {{ModelName("m0"), {}}};
  router.model_calls = {{ServiceName("llm"), ModelName("m1"), "", 1, 0, 1}};
  const auto sendHeartbeat = [&] {
    ++report.sequence;
    cell.cluster.report(*cell.cluster.leader(), report);
  };
  sendHeartbeat();
  REQUIRE(cell.cluster.runUntil([&] { return !cell.cluster.orders.empty(); }, 6s));
  ServiceMember& old_leader = *cell.cluster.leader();
  cell.cluster.isolate(old_leader.node);
  const TimePoint cut = cell.cluster.now();
  REQUIRE(cell.cluster.runUntil(
      [&] { return cell.cluster.leader() != nullptr && cell.cluster.leader() != &old_leader; }));
  const std::size_t before = cell.cluster.orders.size();
  report.id = ReplicaId("r2");
  report.address = "r2:80";
  for (int i = 0; i < 10 && cell.cluster.orders.size() == before; ++i) {
    sendHeartbeat();
    cell.cluster.runFor(1s);
  }
  REQUIRE(cell.cluster.orders.size() > before);
  TimePoint last_old = cut;
  for (const auto& [node, time] : cell.cluster.order_times) {
    last_old = node == old_leader.node ? std::max(last_old, time) : last_old;
    if (node != old_leader.node) {
      CHECK(time - last_old >= 3s);
    }
  }
}

TEST_CASE("A leader with a full disk transfers its leadership, and catches up once there is space") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(2));
  ServiceMember& full = *cell.cluster.leader();
  full.disk->setCapacity(full.disk->bytes());
  const std::uint64_t request_number = cell.cluster.replace(full, 5);
  REQUIRE(cell.cluster.runUntil(
      [&] { return cell.cluster.leader() != nullptr && cell.cluster.leader() != &full; }, 5s));
  REQUIRE(cell.cluster.replaceAcknowledged(7, 5s));
  CHECK(cell.cluster.leader() != &full);
  CHECK(full.control != nullptr);
  CHECK(full.control->view(cell.cluster.now()).catalog <= CatalogVersion{7});
  full.disk->setCapacity(std::nullopt);
  REQUIRE(cell.cluster.runUntil(
      [&] { return full.control->view(cell.cluster.now()).catalog == CatalogVersion{7}; }, 5s));
  CHECK(ServiceCluster::codeOf(full, request_number).has_value());
}

TEST_CASE("A leader whose disk syncs hang transfers its leadership") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(2));
  ServiceMember& slow = *cell.cluster.leader();
  slow.disk_hangs = true;
  cell.cluster.replace(slow, 4);
  REQUIRE(cell.cluster.runUntil(
      [&] { return cell.cluster.leader() != nullptr && cell.cluster.leader() != &slow; }, 4s));
  CHECK(cell.cluster.replaceAcknowledged(6, 4s));
  CHECK(cell.cluster.leader() != &slow);
}

TEST_CASE("Two followers with full disks don't block commits, and catch up once there is space") {
  FullCell cell;
  REQUIRE(cell.cluster.replaceAcknowledged(2));
  ServiceMember& first = cell.follower(0);
  ServiceMember& second = cell.follower(1);
  for (ServiceMember* member : {&first, &second}) {
    member->disk->setCapacity(member->disk->bytes() + 20);
  }
  REQUIRE(cell.cluster.replaceAcknowledged(3, 5s));
  cell.cluster.kill(first);
  cell.cluster.start(first);
  REQUIRE(cell.cluster.replaceAcknowledged(9, 5s));
  for (ServiceMember* member : {&first, &second}) {
    member->disk->setCapacity(std::nullopt);
  }
  REQUIRE(cell.cluster.runUntil(
      [&] {
        return first.control->view(cell.cluster.now()).catalog == CatalogVersion{9} &&
               second.control->view(cell.cluster.now()).catalog == CatalogVersion{9};
      },
      5s));
}

}  // namespace
}  // namespace ferryrock::services
