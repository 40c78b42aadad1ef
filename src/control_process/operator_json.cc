#include "control_process/operator_json.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "catalog/tree_json.h"
#include "http/json_limits.h"

namespace ferryrock::control_process {
namespace {

/// Members stand in the order in which they are written here, which is how `ferryrock` shows them.
using json = nlohmann::ordered_json;

json errorObject(ResultCode code, const std::string& message, const std::string& place = {}) {
  const ResultCodeInfo& info = resultCodeInfo(code);
  json object{{"code", static_cast<int>(code)},
              {"name", info.name},
              {"message", message.empty() ? std::string(info.meaning) : message}};
  if (!place.empty()) {
    object["place"] = place;
  }
  object["remedy"] = info.remedy;
  return object;
}

/// Bytes of a request that aren't UTF-8 may stand in an error's sentence; they are replaced, not refused.
template <class Json>
std::string write(const Json& value) {
  constexpr int kOneLine = -1;
  constexpr char kNoIndent = ' ';
  constexpr bool kKeepUnicode = false;
  return value.dump(kOneLine, kNoIndent, kKeepUnicode, Json::error_handler_t::replace);
}

/// The library's sentence without its own code in front: "parse error at line 1, column 2: ...".
std::string sentenceOf(const nlohmann::json::exception& fault) {
  const std::string text = fault.what();
  const std::size_t end = text.find("] ");
  return end == std::string::npos ? text : text.substr(end + 2);
}

/// Parses a body and reads it; faults of its form become MalformedBody or InvalidField.
template <class Read>
auto readBody(const std::string& body, const Read& read) {
  http::checkJsonSize(body);
  nlohmann::json object;
  try {
    object = nlohmann::json::parse(body);
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, sentenceOf(fault));
  }
  if (!object.is_object()) {
    throw Error(ResultCode::MalformedBody, "the body must be a JSON object");
  }
  try {
    return read(object);
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::InvalidField, sentenceOf(fault));
  }
}

std::string_view slotStateName(wire::SlotState state) {
  switch (state) {
    case wire::SlotState::Decided:
      return "decided";
    case wire::SlotState::Loading:
      return "loading";
    case wire::SlotState::Ready:
      return "ready";
    case wire::SlotState::Draining:
      return "draining";
    case wire::SlotState::Unloading:
      return "unloading";
    case wire::SlotState::Freed:
      return "freed";
  }
  return "unknown";
}

std::string_view roleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::Learner:
      return "learner";
    case consensus::Role::Follower:
      return "follower";
    case consensus::Role::Candidate:
      return "candidate";
    case consensus::Role::Leader:
      return "leader";
  }
  return "unknown";
}

json memberObjects(const consensus::QuorumLog& log) {
  json members = json::array();
  for (const wire::Member& member : log.membership().members) {
    members.push_back({{"id", member.id.value},
                       {"node", member.node.value},
                       {"internal", member.address},
                       {"http", member.http},
                       {"voter", member.voter},
                       {"leader", member.node == log.leader()}});
  }
  return members;
}

std::vector<std::string> textsOf(const std::vector<ModelName>& names) {
  std::vector<std::string> texts;
  texts.reserve(names.size());
  for (const ModelName& name : names) {
    texts.push_back(name.value);
  }
  return texts;
}

json engineObjects(const placement::Ledger& ledger) {
  json engines = json::array();
  for (const auto& [name, engine] : ledger.engines()) {
    engines.push_back({{"engine", name.value},
                       {"zone", engine.zone.value},
                       {"machine", engine.machine.value},
                       {"incarnation", engine.incarnation.value},
                       {"draining", engine.draining},
                       {"slots", ledger.slotsOn(name).size()},
                       {"accelerators", engine.accelerators},
                       {"bytes_per_accelerator", engine.bytes_per_accelerator},
                       {"held_bytes", ledger.heldBytes(name)},
                       {"url", engine.url}});
  }
  return engines;
}

json slotObjects(const placement::Ledger& ledger) {
  json slots = json::array();
  for (const auto& [id, slot] : ledger.slots()) {
    slots.push_back({{"slot", id.value},
                     {"model", slot.model.value},
                     {"version", slot.version.value},
                     {"engine", slot.engine.value},
                     {"incarnation", slot.incarnation.value},
                     {"accelerators", slot.accelerators},
                     {"state", slotStateName(slot.state)},
                     {"adapters", textsOf(slot.adapters)},
                     {"bytes_per_accelerator", slot.bytes_per_accelerator + slot.adapter_bytes}});
  }
  return slots;
}

json routerObjects(const std::vector<control::RouterView>& routers) {
  json objects = json::array();
  for (const control::RouterView& router : routers) {
    objects.push_back({{"router", router.router.value},
                       {"zone", router.zone.value},
                       {"tree_version", router.tree_version.value},
                       {"revision", router.revision.value},
                       {"last_heard_ms", toMilliseconds(router.last_heard)}});
  }
  return objects;
}

control::MembershipAction parseAction(const std::string& word) {
  if (word == "add") {
    return control::MembershipAction::AddLearner;
  }
  if (word == "promote") {
    return control::MembershipAction::Promote;
  }
  if (word == "remove") {
    return control::MembershipAction::Remove;
  }
  throw Error(ResultCode::InvalidField, "'action' must be add, promote or remove, not '" + word + "'");
}

}  // namespace

std::string errorJson(ResultCode code, const std::string& message, const std::string& place) {
  return write(errorObject(code, message, place));
}

std::string notLeaderJson(ResultCode code, const std::string& message, const std::string& leader_url) {
  json object = errorObject(code, message);
  object["leader_url"] = leader_url;
  return write(object);
}

std::string changeResultJson(const wire::CommandResult& result) {
  return write(catalog::changeResultToJson(result));
}

std::string treeJson(const catalog::SettingsTree& tree, TreeVersion version) {
  nlohmann::json nodes = nlohmann::json::array();
  for (const auto& [name, node] : tree.nodes()) {
    nodes.push_back(catalog::nodeToJson(node));
  }
  return write(nlohmann::json{{"version", version.value}, {"nodes", std::move(nodes)}});
}

std::string resolvedJson(const catalog::SettingsTree& tree, TreeVersion version, const std::string& node) {
  json settings = json::array();
  for (const catalog::ResolvedSetting& setting : tree.resolveSettings(node)) {
    settings.push_back({{"key", setting.key}, {"value", setting.value}, {"origin", setting.origin}});
  }
  return write(json{{"version", version.value}, {"node", node}, {"settings", settings}});
}

std::string historyJson(const catalog::Catalog& catalog) {
  json entries = json::array();
  for (const catalog::HistoryEntry& entry : catalog.history()) {
    entries.push_back({{"version", entry.version.value},
                       {"change_id", entry.change_id.value},
                       {"author", entry.author},
                       {"message", entry.message},
                       {"time_ms", entry.time},
                       {"upserts", entry.upserts},
                       {"removals", entry.removals}});
  }
  return write(json{{"version", catalog.version().value}, {"entries", entries}});
}

std::string explanationJson(const placement::Explanation& explanation) {
  return write(json{{"model", explanation.model.value},
                    {"wanted", explanation.wanted},
                    {"decided", explanation.decided},
                    {"reasons", explanation.reasons}});
}

std::string membersJson(const consensus::QuorumLog& log, bool confirmed) {
  return write(json{{"leader", log.leader().value},
                    {"term", log.term().value},
                    {"confirmed", confirmed},
                    {"members", memberObjects(log)}});
}

std::string statusJson(const control::ControlNode& node, const NodeName& self, bool confirmed,
                       TimePoint now) {
  return write(json{{"node", self.value},
                    {"role", roleName(node.log().role())},
                    {"confirmed", confirmed},
                    {"leader", node.log().leader().value},
                    {"term", node.log().term().value},
                    {"committed", node.log().committed().value},
                    {"members", memberObjects(node.log())},
                    {"tree_version", node.catalog().version().value},
                    {"engines", engineObjects(node.ledger())},
                    {"slots", slotObjects(node.ledger())},
                    {"routers", routerObjects(node.routers(now))}});
}

wire::ChangeTreeCommand parseChange(const std::string& body) {
  return readBody(body, [](const nlohmann::json& object) {
    wire::ChangeTreeCommand command = catalog::changeFromJson(object);
    if (command.change_id.empty()) {
      throw Error(ResultCode::InvalidField, "'change_id' must not be empty", "change_id");
    }
    return command;
  });
}

wire::DrainEngineCommand parseDrain(const std::string& body) {
  return readBody(body, [](const nlohmann::json& object) {
    wire::DrainEngineCommand command;
    command.engine = EngineName(object.at("engine").get<std::string>());
    command.drain = object.value("drain", true);
    return command;
  });
}

control::MembershipChange parseMembershipChange(const std::string& body) {
  return readBody(body, [](const nlohmann::json& object) {
    control::MembershipChange change;
    change.action = parseAction(object.at("action").get<std::string>());
    change.member.id = MemberId(object.at("id").get<std::uint64_t>());
    if (change.action == control::MembershipAction::AddLearner) {
      change.member.node = NodeName(object.at("node").get<std::string>());
      change.member.address = object.at("internal").get<std::string>();
      change.member.http = object.value("http", std::string());
    }
    return change;
  });
}

}  // namespace ferryrock::control_process
