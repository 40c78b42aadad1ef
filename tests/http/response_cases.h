#pragma once

#include <string>
#include <vector>

namespace ferryrock::http {

/// A response in pieces, so that a test can put the headers in that its reader needs.
struct ResponseCase {
  std::string name;
  std::string before;       ///< interim responses
  std::string status_line;  ///< with its line end
  std::string fields;       ///< whole lines
  std::string body;         ///< all bytes behind the head's empty line

  /// needed: whole lines.
  std::string text(const std::string& needed = "") const {
    return before + status_line + needed + fields + "\r\n" + body;
  }
};

/// Body of each response below, once its framing is removed: also one whole event of a stream.
inline constexpr const char* kCaseBody = "a:1\n\n";

/// Responses that RFC 9110 or RFC 9112 forbid, in the head or in the trailers.
std::vector<ResponseCase> brokenResponses();
/// Responses that they allow, and that few peers send. Some end with their connection.
std::vector<ResponseCase> oddSoundResponses();

}  // namespace ferryrock::http
