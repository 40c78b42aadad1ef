#include "control_process/access_control.h"

#include <utility>

#include "common/error.h"
#include "common/settings_reader.h"

namespace ferryrock::control_process {
namespace {

constexpr std::string_view kScheme = "Bearer ";

/// Compares in a time that doesn't tell how much is equal.
bool equalTokens(const std::string& left, const std::string& right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size() && i < right.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

AccessControl AccessControl::fromFile(const std::string& file) {
  SettingsReader reader = SettingsReader::fromFile(file);
  std::vector<OperatorToken> tokens;
  for (SettingsReader& row : reader.sections("tokens")) {
    OperatorToken token;
    token.name = row.text("name");
    token.token = row.text("token");
    const bool changing = row.choice("role", {"read-only", "changing"}, "read-only") == "changing";
    token.role = changing ? OperatorRole::Changing : OperatorRole::ReadOnly;
    row.finish();
    tokens.push_back(std::move(token));
  }
  reader.finish();
  AccessControl access(std::move(tokens));
  access.required_ = true;
  return access;
}

void AccessControl::check(const http::Request& request, OperatorRole needed) const {
  if (!required_ && tokens_.empty()) {
    return;
  }
  const std::string header = http::findHeader(request.headers, "Authorization").value_or("");
  if (!header.starts_with(kScheme)) {
    throw Error(ResultCode::Unauthenticated, "the header 'Authorization: Bearer TOKEN' is missing");
  }
  const std::string given = header.substr(kScheme.size());
  const OperatorToken* found = nullptr;
  for (const OperatorToken& candidate : tokens_) {
    if (equalTokens(candidate.token, given)) {
      found = &candidate;
    }
  }
  if (found == nullptr) {
    throw Error(ResultCode::Unauthenticated, "the token isn't known");
  }
  if (needed == OperatorRole::Changing && found->role != OperatorRole::Changing) {
    throw Error(ResultCode::Forbidden, "the token of '" + found->name + "' may only read");
  }
}

}  // namespace ferryrock::control_process
