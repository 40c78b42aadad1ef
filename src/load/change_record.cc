#include "load/change_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

constexpr std::array<std::pair<ChangeOutcome, const char*>, 3> kOutcomeWords = {
    {{ChangeOutcome::Accepted, "accepted"},
     {ChangeOutcome::Refused, "refused"},
     {ChangeOutcome::Unknown, "unknown"}}};

const char* outcomeWord(ChangeOutcome outcome) {
  for (const auto& [value, word] : kOutcomeWords) {
    if (value == outcome) {
      return word;
    }
  }
  throw Error(ResultCode::Internal, "unknown outcome of a change");
}

ChangeOutcome outcomeFromWord(const std::string& text, const std::string& place) {
  for (const auto& [value, word] : kOutcomeWords) {
    if (text == word) {
      return value;
    }
  }
  throw Error(ResultCode::MalformedBody, "'" + text + "' isn't an outcome of a change", place);
}

ChangeRecord changeFromJson(const nlohmann::json& json, const std::string& place) {
  ChangeRecord record;
  json.at("change").get_to(record.change_id);
  json.at("control").get_to(record.control);
  json.at("base_version").get_to(record.base_version);
  json.at("node").get_to(record.node);
  json.at("value").get_to(record.value);
  json.at("sent_ms").get_to(record.sent_ms);
  json.at("end_ms").get_to(record.end_ms);
  record.outcome = outcomeFromWord(json.at("outcome").get<std::string>(), place);
  json.at("version").get_to(record.version);
  json.at("code").get_to(record.code);
  return record;
}

VersionSighting sightingFromJson(const nlohmann::json& json) {
  VersionSighting sighting;
  json.at("process").get_to(sighting.process);
  json.at("asked_ms").get_to(sighting.asked_ms);
  json.at("answered_ms").get_to(sighting.answered_ms);
  json.at("version").get_to(sighting.version);
  return sighting;
}

void addLine(const std::string& line, const std::string& place, ChangeHistory& history) {
  try {
    const nlohmann::json json = nlohmann::json::parse(line);
    if (json.contains("process")) {
      history.sightings.push_back(sightingFromJson(json));
    } else if (json.contains("change")) {
      history.changes.push_back(changeFromJson(json, place));
    } else {
      history.final_history.push_back(
          {json.at("version").get<std::uint64_t>(), json.at("history").get<std::string>()});
    }
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), place);
  }
}

}  // namespace

std::string toJsonLine(const ChangeRecord& record) {
  return nlohmann::json{{"change", record.change_id},
                        {"control", record.control},
                        {"base_version", record.base_version},
                        {"node", record.node},
                        {"value", record.value},
                        {"sent_ms", record.sent_ms},
                        {"end_ms", record.end_ms},
                        {"outcome", outcomeWord(record.outcome)},
                        {"version", record.version},
                        {"code", record.code}}
      .dump();
}

std::string toJsonLine(const VersionSighting& sighting) {
  return nlohmann::json{{"process", sighting.process},
                        {"asked_ms", sighting.asked_ms},
                        {"answered_ms", sighting.answered_ms},
                        {"version", sighting.version}}
      .dump();
}

std::string toJsonLine(const HistoryLine& line) {
  return nlohmann::json{{"history", line.change_id}, {"version", line.version}}.dump();
}

ChangeHistory readChangeHistory(const std::string& file) {
  ChangeHistory history;
  forEachLine(
      file, [&history](const std::string& line, const std::string& place) { addLine(line, place, history); });
  return history;
}

}  // namespace ferryrock::load
