#pragma once

#include <functional>
#include <string>

#include "common/error.h"
#include "http/http.h"

/// Answers that every stand-in gives in the same way.
namespace ferryrock::emulator {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

inline http::Headers jsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

/// Whole JSON answer.
void respondJson(const http::ResponseWriterPtr& writer, int status, std::string body);
/// Error object with the status of the code.
void respondError(const http::ResponseWriterPtr& writer, ResultCode code, const std::string& detail);
/// Error object for a caught error.
void respondError(const http::ResponseWriterPtr& writer, const Error& error);
/// Value of a query parameter as a number. Throws Error InvalidField.
std::uint64_t queryNumber(const http::Request& request, const char* name, std::uint64_t fallback);
/// Value of a query parameter, or an empty text.
std::string queryText(const http::Request& request, const char* name);

/// Answers the Errors that the handler throws; the handler has written nothing by then.
http::RequestHandler answeringErrors(
    std::function<void(const http::Request&, const http::ResponseWriterPtr&)> handler);

}  // namespace ferryrock::emulator
