#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/http.h"

namespace ferryrock::http {

/// Returns what forbids a line as a header field (RFC 9112, section 5), with the column; empty: nothing does.
/// line: without its line end. Folded fields are forbidden, as that section lets a gateway choose.
std::string fieldLineFault(std::string_view line);
/// Returns the line without the LF or CR LF at its end.
std::string_view withoutLineEnd(std::string_view line);
/// The beginning of a text in quotes, as printable ASCII, for error messages.
std::string excerpt(std::string_view text);

/// Reads the head of a response line by line, after any interim heads. Guarantees that a complete head is one
/// of which RFC 9112 leaves only one reading: status, fields and length of the body.
class ResponseHead {
 public:
  /// Adds a line with its line end. Returns false, from then on, if the head is malformed.
  bool addLine(std::string_view line);
  /// Names the first line that is wrong, its number and its text, escaped and shortened; empty: none is.
  const std::string& fault() const { return fault_; }
  /// True once the empty line was read that ends the head of the final response.
  bool complete() const { return complete_; }
  /// 0 before the status line.
  int status() const { return status_; }
  const Headers& headers() const { return headers_; }
  /// The announced length of the body in bytes; nullopt: none is announced.
  std::optional<std::uint64_t> contentLength() const { return content_length_; }

 private:
  std::string readLine(std::string_view line);
  std::string readStatusLine(std::string_view line);
  std::string readField(std::string_view line);
  std::string readContentLength(std::string_view value);
  std::string readTransferEncoding(std::string_view value);
  std::string endHead();

  int lines_ = 0;
  bool has_status_line_ = false;
  bool complete_ = false;
  bool allows_chunks_ = false;  ///< false: HTTP/1.0, which has none
  int status_ = 0;
  Headers headers_;
  std::optional<std::uint64_t> content_length_;
  int transfer_codings_ = 0;
  std::string fault_;
};

}  // namespace ferryrock::http
