#include "http/response_reader.h"

#include <utility>

namespace ferryrock::http {
namespace {

/// Limit on the heads of a response, interim ones and trailers included. libcurl bounds a single line.
constexpr std::size_t kMaxHeadBytes = std::size_t{256} << 10;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

bool ResponseReader::addLine(std::string_view line) {
  head_bytes_ += line.size();
  if (head_bytes_ > kMaxHeadBytes) {
    return giveUp("the response is longer than allowed: " + lengthText());
  }
  if (!head_.complete()) {
    return head_.addLine(line) || giveUp(head_.fault());
  }
  const std::string_view text = withoutLineEnd(line);
  const std::string trailer_fault = text.empty() ? "" : fieldLineFault(text);
  return trailer_fault.empty() || giveUp("a trailer of the response " + trailer_fault + ": " + excerpt(text));
}

bool ResponseReader::addBody(std::size_t bytes) {
  if (!head_.complete()) {
    return giveUp("the response has no head");
  }
  body_bytes_ += bytes;
  if (max_body_bytes_ > 0 && body_bytes_ > max_body_bytes_) {
    return giveUp("the response is longer than allowed: " + lengthText());
  }
  return true;
}

void ResponseReader::end() {
  if (!fault_.empty()) {
    return;
  }
  // libcurl reports success if a connection ends within the headers.
  if (!head_.complete()) {
    giveUp("the connection was closed within the response headers");
  } else if (hasBody() && head_.contentLength() && *head_.contentLength() != body_bytes_) {
    giveUp("the body doesn't have the announced " + std::to_string(*head_.contentLength()) +
           " bytes: " + lengthText());
  }
}

bool ResponseReader::giveUp(std::string fault) {
  fault_ = std::move(fault);
  return false;
}

bool ResponseReader::hasBody() const {
  return !head_request_ && head_.status() != kNoContent && head_.status() != kNotModified;
}

std::string ResponseReader::lengthText() const {
  return std::to_string(head_bytes_) + " bytes of headers, " + std::to_string(body_bytes_) + " bytes of body";
}

}  // namespace ferryrock::http
