#include "emulator/http_answers.h"

#include <charconv>
#include <utility>

#include "http/error_body.h"

namespace ferryrock::emulator {

void respondJson(const http::ResponseWriterPtr& writer, int status, std::string body) {
  writer->respond(status, jsonHeaders(), std::move(body));
}

void respondError(const http::ResponseWriterPtr& writer, ResultCode code, const std::string& detail) {
  respondJson(writer, resultCodeInfo(code).http_status, http::errorBody(code, detail));
}

void respondError(const http::ResponseWriterPtr& writer, const Error& error) {
  respondError(writer, error.code(), error.detail());
}

std::string queryText(const http::Request& request, const char* name) {
  return http::findHeader(request.query, name).value_or("");
}

std::uint64_t queryNumber(const http::Request& request, const char* name, std::uint64_t fallback) {
  const std::string text = queryText(request, name);
  if (text.empty()) {
    return fallback;
  }
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc{} || end != text.data() + text.size()) {
    throw Error(ResultCode::InvalidField,
                "the query parameter '" + std::string(name) + "' must be a whole number", name);
  }
  return value;
}

http::RequestHandler answeringErrors(
    std::function<void(const http::Request&, const http::ResponseWriterPtr&)> handler) {
  return [handler = std::move(handler)](const http::Request& request, const http::ResponseWriterPtr& writer) {
    try {
      handler(request, writer);
    } catch (const Error& error) {
      respondError(writer, error);
    }
  };
}

}  // namespace ferryrock::emulator
