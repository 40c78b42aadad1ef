#include "load/planned_operation.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

std::string toLine(const PlannedOperation& planned) {
  nlohmann::json json = {{"operation", planned.operation},
                         {"at_ms", toMilliseconds(planned.at)},
                         {"router", planned.router},
                         {"model", planned.model},
                         {"prompt", planned.prompt},
                         {"max_tokens", planned.max_tokens},
                         {"stream", planned.stream},
                         {"chat", planned.chat},
                         {"key", planned.key},
                         {"session", planned.session},
                         {"slow_reader", planned.slow_reader},
                         {"timeout_ms", toMilliseconds(planned.timeout)}};
  if (planned.priority) {
    json["priority"] = *planned.priority;
  }
  if (planned.leave_after) {
    json["leave_after_ms"] = toMilliseconds(*planned.leave_after);
  }
  if (planned.resend_after) {
    json["resend_after_ms"] = toMilliseconds(*planned.resend_after);
  }
  return json.dump();
}

std::optional<Duration> optionalDuration(const nlohmann::json& json, const char* name) {
  if (!json.contains(name)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(json.at(name).get<std::int64_t>());
}

PlannedOperation fromLine(const std::string& line, const std::string& place) {
  try {
    const nlohmann::json json = nlohmann::json::parse(line);
    PlannedOperation planned;
    json.at("operation").get_to(planned.operation);
    planned.at = std::chrono::milliseconds(json.at("at_ms").get<std::int64_t>());
    json.at("router").get_to(planned.router);
    json.at("model").get_to(planned.model);
    json.at("prompt").get_to(planned.prompt);
    json.at("max_tokens").get_to(planned.max_tokens);
    json.at("stream").get_to(planned.stream);
    json.at("chat").get_to(planned.chat);
    json.at("key").get_to(planned.key);
    json.at("session").get_to(planned.session);
    json.at("slow_reader").get_to(planned.slow_reader);
    planned.timeout = std::chrono::milliseconds(json.at("timeout_ms").get<std::int64_t>());
    if (json.contains("priority")) {
      planned.priority = json.at("priority").get<std::int32_t>();
    }
    planned.leave_after = optionalDuration(json, "leave_after_ms");
    planned.resend_after = optionalDuration(json, "resend_after_ms");
    return planned;
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), place);
  }
}

}  // namespace

void writeTrace(const std::string& file, const std::vector<PlannedOperation>& operations) {
  std::ofstream output(file, std::ios::trunc);
  for (const PlannedOperation& planned : operations) {
    output << toLine(planned) << "\n";
  }
  output.close();
  if (!output) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be written", file);
  }
}

std::vector<PlannedOperation> readTrace(const std::string& file) {
  std::vector<PlannedOperation> operations;
  forEachLine(file, [&operations](const std::string& line, const std::string& place) {
    operations.push_back(fromLine(line, place));
  });
  std::stable_sort(
      operations.begin(), operations.end(),
      [](const PlannedOperation& left, const PlannedOperation& right) { return left.at < right.at; });
  return operations;
}

}  // namespace ferryrock::load
