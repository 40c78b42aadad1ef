#include "emulator/engine_json.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/error.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {

using control::EngineOrder;
using control::EngineRole;
using control::EngineState;
using control::HeldSlot;
using control::HeldState;
using control::OrderKind;
using nlohmann::json;

namespace {

/// One word of the protocol and the value it stands for.
template <class Value>
struct Word {
  std::string_view text;
  Value value;
};

constexpr std::array kOrderKinds = {Word<OrderKind>{"load", OrderKind::Load},
                                    Word<OrderKind>{"unload", OrderKind::Unload},
                                    Word<OrderKind>{"load_adapter", OrderKind::LoadAdapter},
                                    Word<OrderKind>{"unload_adapter", OrderKind::UnloadAdapter},
                                    Word<OrderKind>{"drain", OrderKind::Drain},
                                    Word<OrderKind>{"resume", OrderKind::Resume},
                                    Word<OrderKind>{"prefetch", OrderKind::Prefetch},
                                    Word<OrderKind>{"set_role", OrderKind::SetRole}};
constexpr std::array kRoles = {Word<EngineRole>{"both", EngineRole::Both},
                               Word<EngineRole>{"prefill", EngineRole::Prefill},
                               Word<EngineRole>{"decode", EngineRole::Decode}};
constexpr std::array kTiers = {Word<CheckpointTier>{"memory", CheckpointTier::Memory},
                               Word<CheckpointTier>{"disk", CheckpointTier::Disk},
                               Word<CheckpointTier>{"peer", CheckpointTier::Peer},
                               Word<CheckpointTier>{"remote", CheckpointTier::Remote}};
constexpr std::array kPrefetchTiers = {Word<CheckpointTier>{"memory", CheckpointTier::Memory},
                                       Word<CheckpointTier>{"disk", CheckpointTier::Disk}};
constexpr std::array kHeldStates = {
    Word<HeldState>{"loading", HeldState::Loading}, Word<HeldState>{"ready", HeldState::Ready},
    Word<HeldState>{"draining", HeldState::Draining}, Word<HeldState>{"unloading", HeldState::Unloading},
    Word<HeldState>{"failed", HeldState::Failed}};
constexpr std::array kRunOutcomes = {Word<RunOutcome>{"complete", RunOutcome::Complete},
                                     Word<RunOutcome>{"cancelled", RunOutcome::Cancelled},
                                     Word<RunOutcome>{"failed", RunOutcome::Failed}};

template <class Value, std::size_t Size>
Value fromWord(const std::array<Word<Value>, Size>& words, const std::string& text, const char* key) {
  std::string list;
  for (const Word<Value>& word : words) {
    if (word.text == text) {
      return word.value;
    }
    list += (list.empty() ? "" : ", ") + std::string(word.text);
  }
  throw Error(ResultCode::InvalidField, "'" + std::string(key) + "' must be one of " + list, key);
}

template <class Value, std::size_t Size>
std::string toWord(const std::array<Word<Value>, Size>& words, Value value) {
  for (const Word<Value>& word : words) {
    if (word.value == value) {
      return std::string(word.text);
    }
  }
  return "unknown";
}

template <class Tag>
json namesJson(const std::vector<Name<Tag>>& names) {
  json list = json::array();
  for (const Name<Tag>& name : names) {
    list.push_back(name.value);
  }
  return list;
}

wire::Fence fenceOf(const JsonFields& fields) {
  return wire::Fence{Term(fields.number("term")), fields.number("sequence")};
}

json fenceJson(const wire::Fence& fence) {
  return {{"term", fence.term.value}, {"sequence", fence.sequence}};
}

std::string hashText(PrefixHash hash) {
  constexpr int kHexadecimal = 16;
  std::array<char, 16> digits{};
  const auto [end, fault] = std::to_chars(digits.data(), digits.data() + digits.size(), hash, kHexadecimal);
  return std::string(digits.data(), end);
}

PrefixHash parseHash(const std::string& text) {
  constexpr int kHexadecimal = 16;
  PrefixHash hash = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), hash, kHexadecimal);
  if (fault != std::errc{} || end != text.data() + text.size()) {
    throw Error(ResultCode::InvalidField, "'blocks' must hold hexadecimal numbers", "blocks");
  }
  return hash;
}

json slotJson(const HeldSlot& slot) {
  return {{"slot", slot.slot.value},
          {"model", slot.model.value},
          {"version", slot.version.value},
          {"state", toWord(kHeldStates, slot.state)},
          {"adapters", namesJson(slot.adapters)},
          {"running", slot.running},
          {"loaded_from", toWord(kTiers, slot.loaded_from)},
          {"load_ms", slot.load_ms}};
}

json recordJson(const StartRecord& record) {
  return {{"event", "start"},
          {"engine", record.engine.value},
          {"incarnation", record.incarnation.value},
          {"accelerators", record.accelerators},
          {"bytes_per_accelerator", record.bytes_per_accelerator}};
}

json recordJson(const RunBeginRecord& record) {
  return {{"event", "run_begin"},    {"attempt", record.attempt.value}, {"request", record.request.value},
          {"key", record.key.value}, {"model", record.model.value},     {"from_chunk", record.from_chunk}};
}

json recordJson(const RunEndRecord& record) {
  return {{"event", "run_end"},
          {"attempt", record.attempt.value},
          {"tokens", record.tokens},
          {"how", toWord(kRunOutcomes, record.how)}};
}

json recordJson(const HoldBeginRecord& record) {
  return {{"event", "hold_begin"},
          {"slot", record.slot.value},
          {"model", record.model.value},
          {"version", record.version.value},
          {"accelerators", record.accelerators},
          {"bytes_per_accelerator", record.bytes_per_accelerator}};
}

json recordJson(const HoldReadyRecord& record) {
  return {{"event", "hold_ready"}, {"slot", record.slot.value}};
}

json recordJson(const HoldEndRecord& record) {
  return {{"event", "hold_end"}, {"slot", record.slot.value}};
}

json adapterJson(const char* event, SlotId slot, const ModelName& adapter, std::uint64_t bytes) {
  return {{"event", event}, {"slot", slot.value}, {"adapter", adapter.value}, {"bytes", bytes}};
}

json recordJson(const AdapterBeginRecord& record) {
  return adapterJson("adapter_begin", record.slot, record.adapter, record.bytes);
}

json recordJson(const AdapterEndRecord& record) {
  return adapterJson("adapter_end", record.slot, record.adapter, record.bytes);
}

}  // namespace

wire::Fence parseFence(std::string_view body) {
  return fenceOf(JsonFields(body));
}

EngineOrder parseOrder(std::string_view body) {
  const JsonFields fields(body);
  EngineOrder order;
  order.fence = fenceOf(fields);
  order.incarnation = Incarnation(fields.number("incarnation"));
  order.kind = fromWord(kOrderKinds, fields.text("kind"), "kind");
  order.slot = SlotId(fields.number("slot", 0));
  order.model = ModelName(fields.text("model", ""));
  order.version = ModelVersion(fields.text("version", ""));
  order.adapter = ModelName(fields.text("adapter", ""));
  order.accelerators = fields.indexes("accelerators");
  order.bytes_per_accelerator = fields.number("bytes_per_accelerator", 0);
  order.checkpoint_bytes = fields.number("checkpoint_bytes", 0);
  order.prefetch_to = fromWord(kPrefetchTiers, fields.text("prefetch_to", "disk"), "prefetch_to");
  order.role = fromWord(kRoles, fields.text("role", "both"), "role");
  const bool needs_model = order.kind == OrderKind::Load || order.kind == OrderKind::Prefetch;
  if (needs_model && order.model.empty()) {
    throw Error(ResultCode::InvalidField, "'model' is missing", "model");
  }
  const bool needs_adapter = order.kind == OrderKind::LoadAdapter || order.kind == OrderKind::UnloadAdapter;
  if (needs_adapter && order.adapter.empty()) {
    throw Error(ResultCode::InvalidField, "'adapter' is missing", "adapter");
  }
  return order;
}

std::string formatState(const EngineState& state, EngineRole role) {
  json slots = json::array();
  for (const HeldSlot& slot : state.slots) {
    slots.push_back(slotJson(slot));
  }
  return dumpJson(json{{"engine", state.engine.value},
                       {"incarnation", state.incarnation.value},
                       {"fence", fenceJson(state.highest_fence)},
                       {"state_version", state.state_version},
                       {"machine", state.machine.value},
                       {"zone", state.zone.value},
                       {"accelerators", state.accelerators},
                       {"bytes_per_accelerator", state.bytes_per_accelerator},
                       {"draining", state.draining},
                       {"role", toWord(kRoles, role)},
                       {"running", state.running},
                       {"waiting", state.waiting},
                       {"in_memory", namesJson(state.in_memory)},
                       {"on_disk", namesJson(state.on_disk)},
                       {"slots", std::move(slots)}});
}

std::string formatOrderRefusal(ResultCode code, const wire::Fence& highest) {
  return dumpJson(json{{"code", static_cast<int>(code)},
                       {"name", resultCodeInfo(code).name},
                       {"message", resultCodeInfo(code).meaning},
                       {"fence", fenceJson(highest)}});
}

std::string formatCacheExport(const CacheExport& exported) {
  json blocks = json::array();
  for (const PrefixHash block : exported.blocks) {
    blocks.push_back(hashText(block));
  }
  return dumpJson(
      json{{"model", exported.model.value}, {"tokens", exported.tokens}, {"blocks", std::move(blocks)}});
}

CacheExport parseCacheExport(std::string_view body) {
  const JsonFields fields(body);
  CacheExport exported;
  exported.model = ModelName(fields.text("model"));
  exported.tokens = fields.number("tokens");
  for (const std::string& block : fields.texts("blocks")) {
    exported.blocks.push_back(parseHash(block));
  }
  return exported;
}

std::string formatCacheEvents(const CacheEventPage& page) {
  json events = json::array();
  for (const CacheEvent& event : page.events) {
    events.push_back({{"number", event.number},
                      {"kind", event.kind == CacheEventKind::Stored ? "stored" : "removed"},
                      {"prefix_hash", hashText(event.prefix)}});
  }
  return dumpJson(json{{"next", page.next}, {"events", std::move(events)}});
}

std::string formatJournalRecord(const JournalRecord& record, WallMilliseconds wall_ms) {
  json line = std::visit([](const auto& typed) { return recordJson(typed); }, record);
  line["wall_ms"] = wall_ms;
  return dumpJson(line);
}

std::string formatCheckpoints(const std::list<Checkpoint>& checkpoints) {
  json list = json::array();
  for (const Checkpoint& checkpoint : checkpoints) {
    list.push_back({{"model", checkpoint.model.value},
                    {"version", checkpoint.version.value},
                    {"bytes", checkpoint.bytes}});
  }
  return dumpJson(json{{"checkpoints", std::move(list)}});
}

std::vector<Checkpoint> parseCheckpoints(std::string_view text) {
  std::vector<Checkpoint> checkpoints;
  const JsonFields fields(text);
  const json& list = fields.object().at("checkpoints");
  for (const json& item : list) {
    const JsonFields checkpoint = JsonFields::of(item);
    checkpoints.push_back({ModelName(checkpoint.text("model")), ModelVersion(checkpoint.text("version")),
                           checkpoint.number("bytes")});
  }
  return checkpoints;
}

}  // namespace ferryrock::emulator
