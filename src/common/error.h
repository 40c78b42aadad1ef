#pragma once

#include <stdexcept>
#include <string>

#include "common/result_code.h"

namespace ferryrock {

/// The project's exception. what() reads "CODE Name: detail (at place). remedy".
class Error : public std::runtime_error {
 public:
  /// place locates the fault (a file and line, a path in the settings tree, a field); empty if there is none.
  Error(ResultCode code, std::string detail, std::string place = {});

  ResultCode code() const { return code_; }
  const std::string& detail() const { return detail_; }
  const std::string& place() const { return place_; }

 private:
  ResultCode code_;
  std::string detail_;
  std::string place_;
};

}  // namespace ferryrock
