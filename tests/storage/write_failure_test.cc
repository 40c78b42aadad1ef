#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "storage_fixture.h"

/// Recovery from temporary write failures: a full disk or failing syncs.
namespace ferryrock::storage {
namespace {

struct DiskFaultRow {
  const char* name;
  std::function<void(MemoryDisk&)> inject;
};

const std::vector<DiskFaultRow> kDiskFaults{
    {"no space left", [](MemoryDisk& disk) { disk.setCapacity(disk.bytes()); }},
    {"space for a part of the record", [](MemoryDisk& disk) { disk.setCapacity(disk.bytes() + 10); }},
    {"space for the record, but not for what follows",
     [](MemoryDisk& disk) { disk.setCapacity(disk.bytes() + 90); }},
    {"syncs fail", [](MemoryDisk& disk) { disk.setSyncsFail(true); }},
};

struct WritesRow {
  const char* name;
  std::function<std::vector<consensus::PersistEffect>(WriteBuilder&)> make;
  const char* recovered;  ///< expected end of the description of the recovered state
};

const std::vector<WritesRow> kWrites{
    {"entries", [](WriteBuilder& make) { return std::vector{make.entries(3, 4)}; }, "1/1 2/1 3/1 4/1"},
    {"a vote and entries",
     [](WriteBuilder& make) {
       return std::vector{make.hardState(3, 2), make.entries(3, 4)};
     },
     "1/1 2/1 3/1 4/1"},
    {"entries that replace others", [](WriteBuilder& make) { return std::vector{make.replacement(2, 3, 2)}; },
     "1/1 2/2 3/2"},
    {"entries that fill a segment", [](WriteBuilder& make) { return std::vector{make.entries(3, 40)}; },
     "39/1 40/1"},
    {"entries, a snapshot and entries",
     [](WriteBuilder& make) {
       return std::vector{make.entries(3, 4), make.snapshot(3), make.entries(5, 5)};
     },
     "snapshot 3 4/1 5/1"},
};

void clearDiskFaults(MemoryDisk& disk) {
  disk.setCapacity(std::nullopt);
  disk.setSyncsFail(false);
}

/// Repairs the folder and persists the unwritten writes.
void writeRest(LogStorage& storage) {
  const std::vector<consensus::PersistEffect> rest = storage.unwritten();
  storage.repair();
  storage.persist(rest);
}

TEST_CASE("writes rejected by a full or faulty disk are written once it accepts them") {
  for (const DiskFaultRow& disk_fault : kDiskFaults) {
    for (const WritesRow& writes : kWrites) {
      INFO(disk_fault.name << ", " << writes.name);
      MemoryDisk disk(1);
      WriteBuilder make;
      {
        const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
        storage->recover();
        storage->persist({make.hardState(2, 1), make.entries(1, 2)});
        const std::vector<consensus::PersistEffect> rejected = writes.make(make);
        disk_fault.inject(disk);
        if (faultOf([&] { storage->persist(rejected); }) != ResultCode::Ok) {
          CHECK_FALSE(storage->unwritten().empty());
        }
        clearDiskFaults(disk);
        writeRest(*storage);
        CHECK(storage->unwritten().empty());
      }
      disk.crash();
      const std::string recovered = describe(recoverFrom(disk.open()));
      CHECK_THAT(recovered, Catch::EndsWith(writes.recovered));
    }
  }
}

TEST_CASE("a repair fails without data loss until the disk accepts writes") {
  MemoryDisk disk(1);
  WriteBuilder make;
  {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    storage->recover();
    storage->persist({make.entries(1, 2)});
    disk.setSyncsFail(true);
    CHECK(faultOf([&] { storage->persist({make.entries(3, 3)}); }) == ResultCode::SyncFailed);
    for (int again = 0; again < 3; ++again) {
      CHECK(faultOf([&] { storage->repair(); }) == ResultCode::SyncFailed);
      CHECK(storage->unwritten().size() == 1);
    }
  }
  disk.setSyncsFail(false);
  disk.crash();
  const std::string recovered = describe(recoverFrom(disk.open()));
  const bool kept = recovered == "term 0 vote 0 1/1 2/1" || recovered == "term 0 vote 0 1/1 2/1 3/1";
  CHECK(kept);
}

TEST_CASE("a full disk does not prevent recovery of the folder") {
  MemoryDisk disk(1);
  WriteBuilder make;
  {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    storage->recover();
    storage->persist({make.hardState(4, 2), make.entries(1, 2)});
    disk.setCapacity(disk.bytes() + 10);
    CHECK(faultOf([&] { storage->persist({make.entries(3, 3)}); }) == ResultCode::DiskFull);
  }
  {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    CHECK(describe(storage->recover()) == "term 4 vote 2 1/1 2/1");
    CHECK(faultOf([&] { storage->persist({make.entries(3, 4)}); }) != ResultCode::Ok);
    disk.setCapacity(std::nullopt);
    writeRest(*storage);
  }
  disk.crash();
  CHECK(describe(recoverFrom(disk.open())) == "term 4 vote 2 1/1 2/1 3/1 4/1");
}

TEST_CASE("a member on an empty disk without space starts and can write once there is space") {
  MemoryDisk disk(1);
  WriteBuilder make;
  disk.setCapacity(0);
  {
    const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
    CHECK(describe(storage->recover()) == "term 0 vote 0");
    CHECK(faultOf([&] { storage->persist({make.entries(1, 1)}); }) != ResultCode::Ok);
    CHECK(faultOf([&] { storage->repair(); }) == ResultCode::DiskFull);
    disk.setCapacity(std::nullopt);
    writeRest(*storage);
  }
  disk.crash();
  CHECK(describe(recoverFrom(disk.open())) == "term 0 vote 0 1/1");
}

/// Random disk faults come and go. After a final crash, the folder must be readable and hold everything that
/// was acknowledged.
TEST_CASE("acknowledged writes survive repeated disk-full and sync failures") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    MemoryDisk disk(seed);
    Random random(seed);
    WriteBuilder make;
    std::uint64_t acknowledged = 0;
    std::uint64_t next = 1;
    {
      const auto storage = createLogStorage(disk.open(), kMember, kSmallSegment);
      storage->recover();
      std::uint64_t attempted = 0;
      bool failed = false;
      for (int step = 0; step < 80; ++step) {
        if (random.chance(0.3)) {
          disk.setCapacity(disk.bytes() + random.below(300));
        } else if (random.chance(0.2)) {
          disk.setSyncsFail(true);
        } else {
          clearDiskFaults(disk);
        }
        const std::uint64_t last = next + random.below(6);
        try {
          if (failed) {
            writeRest(*storage);
          } else {
            std::vector<consensus::PersistEffect> writes{make.entries(next, last)};
            if (random.chance(0.2) && acknowledged > 0) {
              writes.push_back(make.snapshot(acknowledged));
            }
            attempted = last;
            next = last + 1;
            storage->persist(writes);
          }
          failed = false;
          acknowledged = attempted;
        } catch (const Error&) {
          failed = true;
        }
      }
      clearDiskFaults(disk);
    }
    disk.crash();
    const consensus::RecoveredState recovered = recoverFrom(disk.open());
    const std::uint64_t last = recovered.entries.empty()
                                   ? (recovered.snapshot ? recovered.snapshot->last_index.value : 0)
                                   : recovered.entries.back().index.value;
    CHECK(last >= acknowledged);
  }
}

}  // namespace
}  // namespace ferryrock::storage
