#pragma once

#include <string>
#include <vector>

#include "http/http.h"

namespace ferryrock::control_process {

enum class OperatorRole { ReadOnly, Changing };

struct OperatorToken {
  std::string name;  ///< of the operator, for the log
  std::string token;
  OperatorRole role = OperatorRole::ReadOnly;
};

/// Who may read and who may change. Without tokens everyone may do everything.
class AccessControl {
 public:
  AccessControl() = default;
  explicit AccessControl(std::vector<OperatorToken> tokens) : tokens_(std::move(tokens)) {}
  /// Reads "tokens: [{name, token, role: read-only|changing}]". Throws Error.
  static AccessControl fromFile(const std::string& file);

  /// Throws Unauthenticated or Forbidden.
  void check(const http::Request& request, OperatorRole needed) const;

 private:
  std::vector<OperatorToken> tokens_;
  bool required_ = false;
};

}  // namespace ferryrock::control_process
