#include "service_process/evacuation_api.h"

#include <nlohmann/json.hpp>

#include "common/error.h"
#include "http/json_limits.h"

namespace ferryrock::service_process {
namespace {

using nlohmann::ordered_json;

constexpr int kStatusOk = 200;
constexpr const char* kListPath = "/api/evacuations";
constexpr const char* kStartPath = "/api/evacuations/start";
constexpr const char* kStopPath = "/api/evacuations/stop";

ZoneName parseZone(const std::string& body) {
  http::checkJsonSize(body);
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool valid = json.is_object() && json.contains("zone") && json["zone"].is_string();
  if (!valid) {
    throw Error(ResultCode::MalformedBody, "'zone' must hold the name of a zone");
  }
  return ZoneName(json["zone"].get<std::string>());
}

void respondJson(const http::ResponseWriterPtr& response, int status, const ordered_json& body) {
  constexpr int kCompact = -1;
  response->respond(status, {{"Content-Type", "application/json"}},
                    body.dump(kCompact, ' ', /*ensure_ascii=*/false, ordered_json::error_handler_t::replace));
}

void respondZones(const ServiceControlShell& shell, const http::ResponseWriterPtr& response) {
  ordered_json zones = ordered_json::array();
  for (const ZoneName& zone : shell.evacuatedZones()) {
    zones.push_back(zone.value);
  }
  respondJson(response, kStatusOk, {{"zones", std::move(zones)}});
}

void respondChange(const ServiceControlShell& shell, const services::AnswerEffect& answer,
                   const http::ResponseWriterPtr& response) {
  if (answer.code == ResultCode::Ok) {
    respondZones(shell, response);
    return;
  }
  const ResultCodeInfo& info = resultCodeInfo(answer.code);
  ordered_json body{{"code", static_cast<int>(answer.code)},
                    {"error", std::string(info.meaning) + " " + answer.detail}};
  if (answer.code == ResultCode::NotLeader && !answer.leader.empty()) {
    body["leader_url"] = "http://" + answer.leader;
  }
  respondJson(response, info.http_status, body);
}

}  // namespace

bool handleEvacuations(ServiceControlShell& shell, const http::Request& request,
                       const http::ResponseWriterPtr& response) {
  if (request.method == "GET" && request.path == kListPath) {
    respondZones(shell, response);
    return true;
  }
  const bool starts = request.path == kStartPath;
  if (request.method != "POST" || (!starts && request.path != kStopPath)) {
    return false;
  }
  shell.evacuateZone(
      parseZone(request.body), starts,
      [&shell, response](const services::AnswerEffect& answer) { respondChange(shell, answer, response); });
  return true;
}

}  // namespace ferryrock::service_process
