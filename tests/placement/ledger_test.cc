#include "placement/ledger.h"

#include <catch2/catch.hpp>

#include "common/error.h"

namespace ferryrock::placement {
namespace {

const EngineName kEngine{"engine-1"};
const ModelName kModel{"model"};

wire::RegisterEngineCommand registration(std::uint64_t incarnation, std::uint32_t accelerators = 2) {
  return {kEngine,
          Incarnation{incarnation},
          "http://127.0.0.1:1",
          MachineName{"machine-1"},
          ZoneName{"zone-1"},
          accelerators,
          100};
}

wire::DecideSlotCommand decision(std::vector<std::uint32_t> accelerators, std::uint64_t bytes,
                                 std::uint64_t incarnation = 1) {
  wire::Slot slot;
  slot.model = kModel;
  slot.version = ModelVersion{"1"};
  slot.engine = kEngine;
  slot.incarnation = Incarnation{incarnation};
  slot.accelerators = std::move(accelerators);
  slot.bytes_per_accelerator = bytes;
  return {slot};
}

Ledger ledgerWithSlot(std::uint64_t bytes = 60) {
  Ledger ledger;
  ledger.apply(registration(1));
  ledger.apply(decision({0}, bytes), {1});
  return ledger;
}

TEST_CASE("a slot decision that the engine, its memory or the replica limit does not allow is rejected") {
  struct Row {
    const char* what;
    wire::DecideSlotCommand command;
    std::uint32_t maximum;
    ResultCode expected;
  };
  wire::DecideSlotCommand elsewhere = decision({0}, 1);
  elsewhere.slot.engine = EngineName{"engine-2"};
  const std::vector<Row> rows = {
      {"fits beside the first", decision({0}, 40), 2, ResultCode::Ok},
      {"one byte too many", decision({0}, 41), 2, ResultCode::MemoryWouldOvercommit},
      {"fits on the other accelerator", decision({1}, 100), 2, ResultCode::Ok},
      {"needs both accelerators", decision({0, 1}, 41), 2, ResultCode::MemoryWouldOvercommit},
      {"a sum that overflows", decision({0}, UINT64_MAX), 2, ResultCode::MemoryWouldOvercommit},
      {"maximum reached", decision({1}, 1), 1, ResultCode::ReplicaLimitReached},
      {"no accelerator", decision({}, 1), 2, ResultCode::MemoryWouldOvercommit},
      {"an accelerator twice", decision({1, 1}, 1), 2, ResultCode::MemoryWouldOvercommit},
      {"an accelerator index out of range", decision({2}, 1), 2, ResultCode::MemoryWouldOvercommit},
      {"an older incarnation", decision({1}, 1, 0), 2, ResultCode::WrongIncarnation},
      {"a newer incarnation", decision({1}, 1, 2), 2, ResultCode::WrongIncarnation},
      {"an unknown engine", elsewhere, 2, ResultCode::UnknownEngine},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    Ledger ledger = ledgerWithSlot();
    CHECK(ledger.apply(row.command, {row.maximum}).code == row.expected);
    CHECK(ledger.slots().size() == (row.expected == ResultCode::Ok ? 2 : 1));
  }
}

TEST_CASE("a draining engine accepts no new replica") {
  Ledger ledger;
  ledger.apply(registration(1));
  ledger.apply(wire::DrainEngineCommand{kEngine, true});
  CHECK(ledger.apply(decision({0}, 1), {1}).code == ResultCode::WrongSlotState);
  ledger.apply(registration(2));
  CHECK(ledger.apply(decision({0}, 1, 2), {1}).code == ResultCode::WrongSlotState);
  ledger.apply(wire::DrainEngineCommand{kEngine, false});
  CHECK(ledger.apply(decision({0}, 1, 2), {1}).code == ResultCode::Ok);
  CHECK(ledger.apply(wire::DrainEngineCommand{EngineName{"engine-2"}, true}).code ==
        ResultCode::UnknownEngine);
}

TEST_CASE("a slot is freed only with proof of unloading or of a new incarnation") {
  struct Row {
    const char* what;
    wire::SlotState state;
    wire::FreeProof proof;
    std::uint64_t incarnation;
    bool freed;
  };
  using wire::FreeProof;
  using wire::SlotState;
  const std::vector<Row> rows = {
      {"no proof", SlotState::Unloading, FreeProof::None, 1, false},
      {"acknowledged", SlotState::Unloading, FreeProof::UnloadAcknowledged, 1, true},
      {"unload acknowledged in state Ready", SlotState::Ready, FreeProof::UnloadAcknowledged, 1, false},
      {"acknowledged by another incarnation", SlotState::Unloading, FreeProof::UnloadAcknowledged, 2, false},
      {"a new incarnation", SlotState::Ready, FreeProof::NewIncarnation, 2, true},
      {"proof NewIncarnation with the same incarnation", SlotState::Ready, FreeProof::NewIncarnation, 1,
       false},
      {"proof MachineGone for a single slot", SlotState::Unloading, FreeProof::MachineGone, 1, false},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    Ledger ledger = ledgerWithSlot();
    REQUIRE(
        ledger.apply(wire::SlotStateCommand{SlotId{1}, row.state, FreeProof::None, Incarnation{1}}).code ==
        ResultCode::Ok);
    const auto result = ledger.apply(
        wire::SlotStateCommand{SlotId{1}, SlotState::Freed, row.proof, Incarnation{row.incarnation}});
    CHECK(result.code == (row.freed ? ResultCode::Ok : ResultCode::WrongSlotState));
    CHECK(ledger.slots().empty() == row.freed);
    CHECK(ledger.heldBytes(kEngine)[0] == (row.freed ? 0 : 60));
  }
}

TEST_CASE(
    "slot states only move forward, only for the slot's own incarnation, and repeated commands change "
    "nothing") {
  Ledger ledger = ledgerWithSlot();
  const auto move = [&](wire::SlotState state, std::uint64_t incarnation = 1) {
    return ledger
        .apply(wire::SlotStateCommand{SlotId{1}, state, wire::FreeProof::None, Incarnation{incarnation}})
        .code;
  };
  CHECK(move(wire::SlotState::Loading) == ResultCode::Ok);
  CHECK(move(wire::SlotState::Ready, 2) == ResultCode::WrongIncarnation);
  CHECK(move(wire::SlotState::Ready) == ResultCode::Ok);
  CHECK(move(wire::SlotState::Ready) == ResultCode::Ok);
  CHECK(move(wire::SlotState::Loading) == ResultCode::WrongSlotState);
  CHECK(move(wire::SlotState::Unloading) == ResultCode::Ok);
  CHECK(move(wire::SlotState::Draining) == ResultCode::WrongSlotState);
  const wire::SlotStateCommand freed{SlotId{1}, wire::SlotState::Freed, wire::FreeProof::UnloadAcknowledged,
                                     Incarnation{1}};
  CHECK(ledger.apply(freed).code == ResultCode::Ok);
  CHECK(ledger.apply(freed).code == ResultCode::Ok);
  CHECK(move(wire::SlotState::Ready) == ResultCode::UnknownSlot);
  CHECK(ledger
            .apply(wire::SlotStateCommand{SlotId{9}, wire::SlotState::Freed,
                                          wire::FreeProof::UnloadAcknowledged, Incarnation{1}})
            .code == ResultCode::UnknownSlot);
}

TEST_CASE("a new incarnation frees the slots of the previous one, whose late registration is rejected") {
  Ledger ledger = ledgerWithSlot();
  CHECK(ledger.apply(registration(2)).code == ResultCode::Ok);
  CHECK(ledger.slots().empty());
  CHECK(ledger.apply(registration(1)).code == ResultCode::WrongIncarnation);
  CHECK(ledger.apply(decision({0}, 100, 2), {1}).slot == SlotId{2});
}

TEST_CASE("an incarnation that holds slots cannot change its accelerators") {
  Ledger ledger = ledgerWithSlot();
  CHECK(ledger.apply(registration(1)).code == ResultCode::Ok);
  CHECK(ledger.apply(registration(1, 1)).code == ResultCode::MemoryWouldOvercommit);
  CHECK(ledger.slots().size() == 1);
}

TEST_CASE(
    "removing a machine frees its slots, which are restored for unloading if its engine is still running") {
  Ledger ledger = ledgerWithSlot();
  ledger.apply(wire::DecideAdapterCommand{SlotId{1}, ModelName{"adapter"}, 10, false});
  ledger.apply(wire::RemoveMachineCommand{MachineName{"machine-1"}});
  CHECK(ledger.slots().empty());
  CHECK(ledger.engines().empty());
  Ledger surviving = ledger;
  surviving.apply(registration(1));
  REQUIRE(surviving.slots().size() == 1);
  CHECK(surviving.slots().begin()->second.state == wire::SlotState::Unloading);
  CHECK(surviving.heldBytes(kEngine)[0] == 70);
  ledger.apply(registration(2));
  CHECK(ledger.slots().empty());
}

TEST_CASE("adapters occupy memory on the accelerators of their slot") {
  Ledger ledger = ledgerWithSlot();
  const ModelName adapter{"adapter"};
  const auto decide = [&](std::uint64_t bytes, bool remove = false) {
    return ledger.apply(wire::DecideAdapterCommand{SlotId{1}, adapter, bytes, remove}).code;
  };
  CHECK(decide(41) == ResultCode::MemoryWouldOvercommit);
  CHECK(decide(40) == ResultCode::Ok);
  CHECK(decide(40) == ResultCode::Ok);
  CHECK(ledger.heldBytes(kEngine) == std::vector<std::uint64_t>{100, 0});
  CHECK(decide(999, true) == ResultCode::Ok);
  CHECK(decide(999, true) == ResultCode::Ok);
  CHECK(ledger.heldBytes(kEngine) == std::vector<std::uint64_t>{60, 0});
  ledger.apply(
      wire::SlotStateCommand{SlotId{1}, wire::SlotState::Draining, wire::FreeProof::None, Incarnation{1}});
  CHECK(decide(1) == ResultCode::WrongSlotState);
  CHECK(ledger.apply(wire::DecideAdapterCommand{SlotId{7}, adapter, 1, false}).code ==
        ResultCode::UnknownSlot);
}

TEST_CASE("a restored ledger equals the original, and corrupted bytes leave a ledger unchanged") {
  Ledger ledger = ledgerWithSlot();
  ledger.apply(wire::DecideAdapterCommand{SlotId{1}, ModelName{"adapter"}, 10, false});
  const std::string bytes = ledger.serialize();
  Ledger restored;
  restored.restore(bytes);
  CHECK(restored.serialize() == bytes);
  CHECK(restored.heldBytes(kEngine) == ledger.heldBytes(kEngine));
  CHECK(restored.apply(decision({1}, 1), {2}).slot == SlotId{2});
  Ledger untouched = ledgerWithSlot();
  const std::string before = untouched.serialize();
  CHECK_THROWS_AS(untouched.restore(bytes.substr(0, bytes.size() / 2)), Error);
  CHECK(untouched.serialize() == before);
}

}  // namespace
}  // namespace ferryrock::placement
