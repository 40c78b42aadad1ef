#include "process/platform_list.h"

#include <nlohmann/json.hpp>

#include "common/error.h"

namespace ferryrock::process {
namespace {

using control::MachineState;
using nlohmann::json;

MachineState machineState(const std::string& word) {
  if (word == "live") {
    return MachineState::Live;
  }
  if (word == "leaving") {
    return MachineState::Leaving;
  }
  if (word == "gone") {
    return MachineState::Gone;
  }
  throw Error(ResultCode::MalformedMessage, "unknown machine state '" + word + "'");
}

control::MachineRecord readMachine(const json& object) {
  control::MachineRecord record;
  record.machine = MachineName(object.at("machine").get<std::string>());
  record.engine = EngineName(object.value("engine", std::string()));
  record.url = object.value("url", std::string());
  record.zone = ZoneName(object.value("zone", std::string()));
  record.state = machineState(object.at("state").get<std::string>());
  record.since_ms = object.value("since_ms", std::int64_t{0});
  if (object.contains("leaves_in_ms") && object.at("leaves_in_ms").is_number()) {
    record.leaves_in_ms = object.at("leaves_in_ms").get<std::int64_t>();
  }
  return record;
}

}  // namespace

control::MachineList parseMachineList(const std::string& body) {
  try {
    const json object = json::parse(body);
    control::MachineList list;
    list.version = object.at("version").get<std::uint64_t>();
    list.lag_ms = object.value("lag_ms", std::int64_t{0});
    for (const json& machine : object.at("machines")) {
      list.machines.push_back(readMachine(machine));
    }
    return list;
  } catch (const json::exception& fault) {
    throw Error(ResultCode::MalformedMessage, fault.what());
  }
}

}  // namespace ferryrock::process
