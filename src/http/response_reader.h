#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "http/response_head.h"

namespace ferryrock::http {

/// Checks the bytes of one response as libcurl hands them over: heads, body, trailers. libcurl frames the
/// body; which malformed heads it accepts, and how it frames their bodies, differs between its releases.
/// Guarantees that a response without a fault is whole and has only one reading. Keeps the head, not the
/// body.
class ResponseReader {
 public:
  /// head_request: the response has no body, whatever length its head announces. max_body_bytes: 0: no limit.
  ResponseReader(bool head_request, std::size_t max_body_bytes)
      : head_request_(head_request), max_body_bytes_(max_body_bytes) {}

  /// Adds a line of a head or a trailer. Returns false if the response must be given up.
  bool addLine(std::string_view line);
  /// Counts bytes of the body. Returns false if the response must be given up.
  bool addBody(std::size_t bytes);
  /// Checks a response that libcurl regards as whole.
  void end();

  const ResponseHead& head() const { return head_; }
  /// What is wrong with the response; empty: nothing so far.
  const std::string& fault() const { return fault_; }

 private:
  bool giveUp(std::string fault);
  bool hasBody() const;
  std::string lengthText() const;

  const bool head_request_;
  const std::size_t max_body_bytes_;
  ResponseHead head_;
  std::size_t head_bytes_ = 0;  ///< received, over all heads and trailers
  std::size_t body_bytes_ = 0;
  std::string fault_;
};

}  // namespace ferryrock::http
