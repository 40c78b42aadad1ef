#include "control_process/engine_json.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "common/error.h"

namespace ferryrock::control_process {
namespace {

using control::EngineRole;
using control::HeldState;
using control::OrderKind;
using nlohmann::json;
using placement::CheckpointTier;

constexpr std::array<std::pair<std::string_view, OrderKind>, 8> kOrderKinds{{
    {"load", OrderKind::Load},
    {"unload", OrderKind::Unload},
    {"load_adapter", OrderKind::LoadAdapter},
    {"unload_adapter", OrderKind::UnloadAdapter},
    {"drain", OrderKind::Drain},
    {"resume", OrderKind::Resume},
    {"prefetch", OrderKind::Prefetch},
    {"set_role", OrderKind::SetRole},
}};
constexpr std::array<std::pair<std::string_view, HeldState>, 5> kHeldStates{{
    {"loading", HeldState::Loading},
    {"ready", HeldState::Ready},
    {"draining", HeldState::Draining},
    {"unloading", HeldState::Unloading},
    {"failed", HeldState::Failed},
}};
constexpr std::array<std::pair<std::string_view, CheckpointTier>, 4> kTiers{{
    {"memory", CheckpointTier::Memory},
    {"disk", CheckpointTier::Disk},
    {"peer", CheckpointTier::Peer},
    {"remote", CheckpointTier::Remote},
}};
constexpr std::array<std::pair<std::string_view, EngineRole>, 3> kRoles{{
    {"both", EngineRole::Both},
    {"prefill", EngineRole::Prefill},
    {"decode", EngineRole::Decode},
}};
template <class Table, class Value>
std::string wordOf(const Table& table, Value value) {
  for (const auto& [word, candidate] : table) {
    if (candidate == value) {
      return std::string(word);
    }
  }
  throw Error(ResultCode::Internal, "an enumeration has no word");
}

template <class Table>
auto valueOf(const Table& table, const std::string& word) {
  for (const auto& [candidate, value] : table) {
    if (candidate == word) {
      return value;
    }
  }
  throw Error(ResultCode::MalformedMessage, "the word '" + word + "' isn't known");
}

wire::Fence readFence(const json& object) {
  return {Term(object.at("term").get<std::uint64_t>()), object.at("sequence").get<std::uint64_t>()};
}

std::vector<ModelName> readNames(const json& object, const char* key) {
  std::vector<ModelName> names;
  if (object.contains(key)) {
    for (const json& name : object.at(key)) {
      names.emplace_back(name.get<std::string>());
    }
  }
  return names;
}

control::HeldSlot readSlot(const json& object) {
  control::HeldSlot slot;
  slot.slot = SlotId(object.at("slot").get<std::uint64_t>());
  slot.model = ModelName(object.at("model").get<std::string>());
  slot.version = ModelVersion(object.value("version", std::string()));
  slot.state = valueOf(kHeldStates, object.at("state").get<std::string>());
  slot.adapters = readNames(object, "adapters");
  slot.running = object.value("running", 0U);
  slot.loaded_from = valueOf(kTiers, object.value("loaded_from", std::string("remote")));
  slot.load_ms = object.value("load_ms", std::int64_t{0});
  return slot;
}

control::EngineState readState(const json& object) {
  control::EngineState state;
  state.engine = EngineName(object.at("engine").get<std::string>());
  state.incarnation = Incarnation(object.at("incarnation").get<std::uint64_t>());
  state.highest_fence = readFence(object.at("fence"));
  state.state_version = object.at("state_version").get<std::uint64_t>();
  state.machine = MachineName(object.at("machine").get<std::string>());
  state.zone = ZoneName(object.value("zone", std::string()));
  state.accelerators = object.at("accelerators").get<std::uint32_t>();
  state.bytes_per_accelerator = object.at("bytes_per_accelerator").get<std::uint64_t>();
  state.draining = object.value("draining", false);
  state.running = object.value("running", 0U);
  state.waiting = object.value("waiting", 0U);
  state.in_memory = readNames(object, "in_memory");
  state.on_disk = readNames(object, "on_disk");
  for (const json& slot : object.at("slots")) {
    state.slots.push_back(readSlot(slot));
  }
  return state;
}

/// Reads a body; faults of its form become MalformedMessage.
template <class Read>
auto readBody(const std::string& body, const Read& read) {
  try {
    return read(json::parse(body));
  } catch (const json::exception& fault) {
    throw Error(ResultCode::MalformedMessage, fault.what());
  }
}

}  // namespace

std::string fenceJson(const wire::Fence& fence) {
  return json{{"term", fence.term.value}, {"sequence", fence.sequence}}.dump();
}

std::string orderJson(const control::EngineOrder& order) {
  json object{{"term", order.fence.term.value},
              {"sequence", order.fence.sequence},
              {"incarnation", order.incarnation.value},
              {"kind", wordOf(kOrderKinds, order.kind)},
              {"slot", order.slot.value},
              {"model", order.model.value},
              {"version", order.version.value},
              {"accelerators", order.accelerators},
              {"bytes_per_accelerator", order.bytes_per_accelerator},
              {"checkpoint_bytes", order.checkpoint_bytes},
              {"prefetch_to", wordOf(kTiers, order.prefetch_to)},
              {"role", wordOf(kRoles, order.role)}};
  if (!order.adapter.empty()) {
    object["adapter"] = order.adapter.value;
  }
  return object.dump();
}

control::EngineState parseEngineState(const std::string& body) {
  return readBody(body, [](const json& object) { return readState(object); });
}

control::EngineAnswer parseOrderAnswer(int status, const std::string& body) {
  constexpr int kFirstErrorStatus = 400;
  control::EngineAnswer answer;
  answer.reached = true;
  if (status < kFirstErrorStatus) {
    answer.state = parseEngineState(body);
    return answer;
  }
  return readBody(body, [&answer](const json& object) {
    answer.code = static_cast<ResultCode>(object.at("code").get<int>());
    if (object.contains("slots")) {
      answer.state = readState(object);
    }
    return answer;
  });
}

}  // namespace ferryrock::control_process
