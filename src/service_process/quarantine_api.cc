#include "service_process/quarantine_api.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/error.h"
#include "http/json_limits.h"
#include "quarantine/call_fingerprint.h"
#include "quarantine/suspect.h"

namespace ferryrock::service_process {
namespace {

using nlohmann::ordered_json;

constexpr int kStatusOk = 200;
constexpr const char* kListPath = "/api/quarantine";
constexpr const char* kReleasePath = "/api/quarantine/release";

ordered_json callToJson(const services::SuspectedCall& call) {
  ordered_json ends = ordered_json::array();
  for (const wire::ReplicaCrash& end : call.record.ended) {
    ends.push_back({{"replica", end.replica.value}, {"refuted", end.refuted}});
  }
  return {{"fingerprint", quarantine::toText(call.record.call)},
          {"kind", std::string(quarantine::toText(call.record.kind))},
          {"name", call.record.name},
          {"trials", call.record.trials},
          {"state", call.quarantined ? "quarantined" : "suspected"},
          {"ends", std::move(ends)},
          {"last_end_ms_ago", call.record.age_ms}};
}

wire::CallFingerprint parseFingerprint(const std::string& body) {
  http::checkJsonSize(body);
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool valid = json.is_object() && json.contains("fingerprint") && json["fingerprint"].is_string();
  const auto fingerprint =
      valid ? quarantine::fingerprintFrom(json["fingerprint"].get<std::string>()) : std::nullopt;
  if (!fingerprint) {
    throw Error(ResultCode::MalformedBody, "'fingerprint' must hold 32 hexadecimal digits");
  }
  return *fingerprint;
}

}  // namespace

bool handleQuarantine(ServiceControlShell& shell, const http::Request& request,
                      const http::ResponseWriterPtr& response) {
  const bool releases = request.method == "POST" && request.path == kReleasePath;
  if (!releases && request.path != kListPath) {
    return false;
  }
  if (releases) {
    shell.releaseCall(parseFingerprint(request.body));
  }
  ordered_json calls = ordered_json::array();
  for (const services::SuspectedCall& call : shell.suspectedCalls()) {
    calls.push_back(callToJson(call));
  }
  const ordered_json answer{{"calls", std::move(calls)}};
  response->respond(kStatusOk, {{"Content-Type", "application/json"}}, answer.dump());
  return true;
}

}  // namespace ferryrock::service_process
