#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "placement/ledger.h"

/// Compares the ledger with a naive one, which keeps plain lists and recomputes every total, on random
/// commands.
namespace ferryrock::placement {
namespace {

constexpr std::uint32_t kAccelerators = 2;
constexpr std::uint64_t kCapacity = 100;
constexpr std::uint32_t kMaximum = 3;
constexpr int kEngines = 2;
constexpr int kModels = 2;

struct Step {
  int kind = 0;
  int engine = 0;
  int model = 0;
  int slot = 0;
  int number = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << "{kind " << step.kind << ", engine " << step.engine << ", model " << step.model << ", slot "
      << step.slot << ", number " << step.number << "}";
}

struct NaiveSlot {
  std::uint64_t id = 0;
  int model = 0;
  int engine = 0;
  std::uint64_t incarnation = 0;
  std::vector<std::uint32_t> accelerators;
  std::uint64_t bytes = 0;
  std::map<int, std::uint64_t> adapters;
  wire::SlotState state = wire::SlotState::Decided;
};

struct NaiveEngine {
  bool registered = false;
  std::uint64_t incarnation = 0;
  std::vector<NaiveSlot> removed_slots;
  std::uint64_t removed_incarnation = 0;
};

/// Reference implementation of the ledger, used as the oracle.
struct NaiveLedger {
  std::vector<NaiveSlot> slots;
  NaiveEngine engines[kEngines];
  std::uint64_t next_slot = 1;

  std::uint64_t held(int engine, std::uint32_t accelerator) const {
    std::uint64_t sum = 0;
    for (const NaiveSlot& slot : slots) {
      for (const std::uint32_t used : slot.accelerators) {
        if (slot.engine == engine && used == accelerator) {
          sum += slot.bytes;
          for (const auto& [adapter, bytes] : slot.adapters) {
            sum += bytes;
          }
        }
      }
    }
    return sum;
  }

  bool fits(int engine, const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes) const {
    for (const std::uint32_t accelerator : accelerators) {
      if (held(engine, accelerator) + bytes > kCapacity) {
        return false;
      }
    }
    return true;
  }

  NaiveSlot* find(std::uint64_t id) {
    for (NaiveSlot& slot : slots) {
      if (slot.id == id) {
        return &slot;
      }
    }
    return nullptr;
  }

  bool registerEngine(int engine, std::uint64_t incarnation) {
    NaiveEngine& record = engines[engine];
    if (record.registered && incarnation < record.incarnation) {
      return false;
    }
    if (record.registered && incarnation > record.incarnation) {
      std::erase_if(slots, [engine](const NaiveSlot& slot) { return slot.engine == engine; });
    }
    if (!record.registered) {
      if (record.removed_incarnation == incarnation) {
        for (NaiveSlot slot : record.removed_slots) {
          for (const auto& [adapter, bytes] : slot.adapters) {
            slot.bytes += bytes;
          }
          slot.adapters.clear();
          slot.state = wire::SlotState::Unloading;
          slots.push_back(slot);
        }
      }
      record.removed_slots.clear();
    }
    record.registered = true;
    record.incarnation = incarnation;
    return true;
  }

  void removeMachine(int engine) {
    NaiveEngine& record = engines[engine];
    if (!record.registered) {
      return;
    }
    record.registered = false;
    record.removed_incarnation = record.incarnation;
    std::copy_if(slots.begin(), slots.end(), std::back_inserter(record.removed_slots),
                 [engine](const NaiveSlot& slot) { return slot.engine == engine; });
    std::erase_if(slots, [engine](const NaiveSlot& slot) { return slot.engine == engine; });
  }

  bool decide(int model, int engine, std::uint64_t incarnation, std::vector<std::uint32_t> accelerators,
              std::uint64_t bytes) {
    const auto count = std::count_if(slots.begin(), slots.end(),
                                     [model](const NaiveSlot& slot) { return slot.model == model; });
    const NaiveEngine& record = engines[engine];
    if (!record.registered || record.incarnation != incarnation || count >= kMaximum ||
        !fits(engine, accelerators, bytes)) {
      return false;
    }
    slots.push_back({next_slot++, model, engine, incarnation, std::move(accelerators), bytes, {}, {}});
    return true;
  }

  bool setState(std::uint64_t id, wire::SlotState state, wire::FreeProof proof, std::uint64_t incarnation) {
    NaiveSlot* slot = find(id);
    if (slot == nullptr) {
      return state == wire::SlotState::Freed && id < next_slot;
    }
    if (state != wire::SlotState::Freed) {
      if (incarnation != slot->incarnation || state < slot->state) {
        return false;
      }
      slot->state = state;
      return true;
    }
    const bool unloaded = proof == wire::FreeProof::UnloadAcknowledged &&
                          slot->state == wire::SlotState::Unloading && incarnation == slot->incarnation;
    const bool replaced = proof == wire::FreeProof::NewIncarnation && incarnation > slot->incarnation;
    if (unloaded || replaced) {
      std::erase_if(slots, [id](const NaiveSlot& other) { return other.id == id; });
      return true;
    }
    return false;
  }

  bool setAdapter(std::uint64_t id, int adapter, std::uint64_t bytes, bool remove) {
    NaiveSlot* slot = find(id);
    if (slot == nullptr) {
      return false;
    }
    if (remove) {
      slot->adapters.erase(adapter);
      return true;
    }
    if (slot->adapters.contains(adapter)) {
      return true;
    }
    if (slot->state > wire::SlotState::Ready || !fits(slot->engine, slot->accelerators, bytes)) {
      return false;
    }
    slot->adapters[adapter] = bytes;
    return true;
  }
};

EngineName engineName(int index) {
  return EngineName{"engine-" + std::to_string(index)};
}
ModelName modelName(int index) {
  return ModelName{"model-" + std::to_string(index)};
}

/// Applies a step to both ledgers; returns whether they agree on accepting it.
bool applyBoth(const Step& step, Ledger& ledger, NaiveLedger& oracle) {
  const auto ok = [](const wire::CommandResult& result) { return result.code == ResultCode::Ok; };
  const std::uint64_t incarnation = 1 + step.number % 3;
  const auto slot = static_cast<std::uint64_t>(step.slot);
  const std::vector<std::vector<std::uint32_t>> choices = {{0}, {1}, {0, 1}};
  switch (step.kind) {
    case 0:
      return ok(ledger.apply(wire::RegisterEngineCommand{
                 engineName(step.engine), Incarnation{incarnation}, "",
                 MachineName{"machine-" + std::to_string(step.engine)}, ZoneName{"zone"}, kAccelerators,
                 kCapacity})) == oracle.registerEngine(step.engine, incarnation);
    case 1:
      oracle.removeMachine(step.engine);
      return ok(
          ledger.apply(wire::RemoveMachineCommand{MachineName{"machine-" + std::to_string(step.engine)}}));
    case 2:
    case 3: {
      wire::Slot decided;
      decided.model = modelName(step.model);
      decided.engine = engineName(step.engine);
      decided.incarnation =
          step.kind == 2 ? Incarnation{oracle.engines[step.engine].incarnation} : Incarnation{incarnation};
      decided.accelerators = choices[step.slot % 3];
      decided.bytes_per_accelerator = static_cast<std::uint64_t>(step.number) * 10;
      return ok(ledger.apply(wire::DecideSlotCommand{decided}, {kMaximum})) ==
             oracle.decide(step.model, step.engine, decided.incarnation.value, decided.accelerators,
                           decided.bytes_per_accelerator);
    }
    case 4:
    case 5: {
      const auto state = static_cast<wire::SlotState>(step.number % 6);
      const auto proof = static_cast<wire::FreeProof>(step.model + step.engine);
      const NaiveSlot* held = oracle.find(slot);
      const std::uint64_t from = step.kind == 4 && held != nullptr ? held->incarnation : incarnation;
      return ok(ledger.apply(wire::SlotStateCommand{SlotId{slot}, state, proof, Incarnation{from}})) ==
             oracle.setState(slot, state, proof, from);
    }
    default:
      return ok(ledger.apply(wire::DecideAdapterCommand{SlotId{slot}, modelName(10 + step.model),
                                                        static_cast<std::uint64_t>(step.number) * 10,
                                                        step.engine == 1 && step.number < 4})) ==
             oracle.setAdapter(slot, step.model, static_cast<std::uint64_t>(step.number) * 10,
                               step.engine == 1 && step.number < 4);
  }
}

bool sameState(const Ledger& ledger, const NaiveLedger& oracle) {
  if (ledger.slots().size() != oracle.slots.size()) {
    return false;
  }
  for (const NaiveSlot& slot : oracle.slots) {
    const wire::Slot* held = ledger.findSlot(SlotId{slot.id});
    if (held == nullptr || held->state != slot.state || held->adapters.size() != slot.adapters.size()) {
      return false;
    }
  }
  for (int engine = 0; engine < kEngines; ++engine) {
    const std::vector<std::uint64_t> held = ledger.heldBytes(engineName(engine));
    if (held.empty() == oracle.engines[engine].registered) {
      return false;
    }
    for (std::uint32_t accelerator = 0; accelerator < held.size(); ++accelerator) {
      if (held[accelerator] != oracle.held(engine, accelerator) || held[accelerator] > kCapacity) {
        return false;
      }
    }
  }
  return true;
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 8)),
                              rc::gen::set(&Step::engine, rc::gen::inRange(0, kEngines)),
                              rc::gen::set(&Step::model, rc::gen::inRange(0, kModels)),
                              rc::gen::set(&Step::slot, rc::gen::inRange(0, 12)),
                              rc::gen::set(&Step::number, rc::gen::inRange(0, 9)));
}

TEST_CASE("the ledger agrees with a naive reference ledger on every command") {
  constexpr int kKeepExisting = 0;
  setenv("RC_PARAMS", "seed=20260 max_success=400 max_size=300", kKeepExisting);
  const bool holds = rc::check("ledger against oracle", [] {
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    Ledger ledger;
    NaiveLedger oracle;
    for (const Step& step : steps) {
      RC_ASSERT(applyBoth(step, ledger, oracle));
      RC_ASSERT(sameState(ledger, oracle));
    }
    Ledger restored;
    restored.restore(ledger.serialize());
    RC_ASSERT(restored.serialize() == ledger.serialize());
    RC_ASSERT(sameState(restored, oracle));
  });
  CHECK(holds);
}

}  // namespace
}  // namespace ferryrock::placement
