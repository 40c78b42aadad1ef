#include "load/decisions.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

void addLine(const std::string& line, const std::string& place, Decisions& decisions) {
  try {
    const nlohmann::json json = nlohmann::json::parse(line);
    if (json.contains("slot")) {
      decisions.slots.push_back({json.at("wall_ms").get<WallMilliseconds>(),
                                 json.at("slot").get<std::uint64_t>(), json.at("model").get<std::string>(),
                                 json.at("engine").get<std::string>(),
                                 json.at("incarnation").get<std::uint64_t>()});
    } else {
      decisions.limits.push_back(
          {json.at("wall_ms").get<WallMilliseconds>(), json.at("model").get<std::string>(),
           json.at("max_replicas").get<std::uint32_t>(), json.value("tree_version", std::uint64_t{0})});
    }
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), place);
  }
}

std::vector<SlotDecision> earliestOfEachSlot(std::vector<SlotDecision> slots) {
  std::sort(slots.begin(), slots.end(), [](const SlotDecision& left, const SlotDecision& right) {
    return std::tie(left.slot, left.wall_ms) < std::tie(right.slot, right.wall_ms);
  });
  const auto end = std::unique(
      slots.begin(), slots.end(),
      [](const SlotDecision& left, const SlotDecision& right) { return left.slot == right.slot; });
  slots.erase(end, slots.end());
  return slots;
}

std::vector<ReplicaLimit> earliestOfRisingVersions(std::vector<ReplicaLimit> limits) {
  std::stable_sort(limits.begin(), limits.end(), [](const ReplicaLimit& left, const ReplicaLimit& right) {
    return left.wall_ms < right.wall_ms;
  });
  std::map<std::string, std::uint64_t> highest;
  std::vector<ReplicaLimit> first;
  for (const ReplicaLimit& limit : limits) {
    if (limit.tree_version == 0 || limit.tree_version > highest[limit.model]) {
      highest[limit.model] = limit.tree_version;
      first.push_back(limit);
    }
  }
  return first;
}

}  // namespace

Decisions readDecisions(const std::vector<std::string>& files) {
  Decisions decisions;
  for (const std::string& file : files) {
    forEachLine(file, [&decisions](const std::string& line, const std::string& place) {
      addLine(line, place, decisions);
    });
  }
  decisions.slots = earliestOfEachSlot(std::move(decisions.slots));
  decisions.limits = earliestOfRisingVersions(std::move(decisions.limits));
  return decisions;
}

}  // namespace ferryrock::load
