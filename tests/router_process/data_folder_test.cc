#include "router_process/data_folder.h"

#include <catch2/catch.hpp>
#include <string>

#include "common/error.h"
#include "router_process/status_gate.h"
#include "storage/memory_file_system.h"

namespace ferryrock::router_process {
namespace {

TEST_CASE("incarnations rise over restarts, also when the clock goes back") {
  storage::MemoryDisk disk(1);
  CHECK(DataFolder(disk.open()).beginIncarnation(5000) == 5000);
  disk.crash();
  CHECK(DataFolder(disk.open()).beginIncarnation(3000) == 5001);
  disk.crash();
  CHECK(DataFolder(disk.open()).beginIncarnation(9000) == 9000);
}

TEST_CASE(
    "a saved table outlasts a crash, and at each operation of a later save the old or the new one is found") {
  for (std::uint64_t operation = 0; operation < 12; ++operation) {
    CAPTURE(operation);
    storage::MemoryDisk disk(operation);
    DataFolder(disk.open()).saveTable("old");
    disk.crash();
    bool saved = false;
    {
      DataFolder folder(disk.open());
      disk.crashAfter(operation);
      try {
        folder.saveTable("new");
        saved = true;
      } catch (const storage::DiskCrashed&) {
        saved = false;
      }
    }
    disk.crash();
    const auto found = DataFolder(disk.open()).readTable();
    REQUIRE(found.has_value());
    CHECK((*found == "new" || (!saved && *found == "old")));
  }
}

TEST_CASE("a damaged table isn't read") {
  storage::MemoryDisk disk(1);
  DataFolder(disk.open()).saveTable("a routing table");
  const std::uint64_t byte = GENERATE(0, 10, 30);
  disk.damage("routing-table", byte);
  CHECK_FALSE(DataFolder(disk.open()).readTable().has_value());
}

TEST_CASE("a removed table isn't found, and removing none is fine") {
  storage::MemoryDisk disk(1);
  {
    DataFolder folder(disk.open());
    folder.removeTable();
    folder.saveTable("a routing table");
    folder.removeTable();
  }
  disk.crash();
  CHECK_FALSE(DataFolder(disk.open()).readTable().has_value());
}

wire::SendEffect statusOf(std::uint64_t version, std::uint64_t sequence) {
  wire::RouterStatus status;
  status.tree_version = TreeVersion(version);
  status.sequence = sequence;
  return {NodeName("control-1"), status};
}

TEST_CASE("a status leaves only once its tree version is saved, other messages at once") {
  std::vector<wire::SendEffect> sent;
  StatusGate gate(TreeVersion(3), [&sent](const wire::SendEffect& effect) { sent.push_back(effect); });
  gate.send(statusOf(3, 1));
  CHECK(sent.size() == 1);
  gate.send(statusOf(4, 2));
  gate.send(statusOf(5, 3));
  gate.send({NodeName("control-1"), wire::DemandReport{}});
  CHECK(sent.size() == 2);
  gate.onSaved(TreeVersion(4));
  REQUIRE(sent.size() == 3);
  CHECK(std::get<wire::RouterStatus>(sent.back().message).sequence == 2);
  gate.onSaved(TreeVersion(5));
  REQUIRE(sent.size() == 4);
  CHECK(std::get<wire::RouterStatus>(sent.back().message).sequence == 3);
}

}  // namespace
}  // namespace ferryrock::router_process
