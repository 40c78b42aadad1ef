#include "http/error_body.h"

#include <nlohmann/json.hpp>

namespace ferryrock::http {
namespace {

/// Returns the error type for OpenAI clients.
std::string errorType(int http_status) {
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  if (http_status == kTooManyRequests) {
    return "rate_limit_error";
  }
  return http_status < kFirstServerError ? "invalid_request_error" : "server_error";
}

std::string errorMessage(const ResultCodeInfo& info, std::string_view detail) {
  std::string message(info.meaning);
  if (!detail.empty()) {
    message += " " + std::string(detail) + (detail.back() == '.' ? "" : ".");
  }
  return message + " " + std::string(info.remedy);
}

}  // namespace

std::string errorBody(ResultCode code, std::string_view detail) {
  const ResultCodeInfo& info = resultCodeInfo(code);
  nlohmann::json error;
  error["message"] = errorMessage(info, detail);
  error["type"] = errorType(info.http_status);
  error["param"] = nullptr;
  error["code"] = static_cast<int>(code);
  error["name"] = info.name;
  const nlohmann::json body = {{"error", std::move(error)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace ferryrock::http
