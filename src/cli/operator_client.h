#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "catalog/settings_tree.h"
#include "cli/command.h"
#include "common/error.h"

namespace ferryrock::cli {

/// Where a control cell that the command line isn't told about is looked for.
inline constexpr const char* kDefaultControlUrl = "http://127.0.0.1:7400";
/// Tries of one call over all members, with growing pauses between them.
inline constexpr int kMaximumTries = 12;

/// An error answer of the control cell.
class RefusedError : public Error {
 public:
  RefusedError(ResultCode code, std::string detail, std::vector<catalog::TreeFault> faults)
      : Error(code, std::move(detail)), faults_(std::move(faults)) {}
  const std::vector<catalog::TreeFault>& faults() const { return faults_; }

 private:
  std::vector<catalog::TreeFault> faults_;
};

/// Adds --control, --token-file, --ca-file, --call-timeout and --output.
void declareOperatorOptions(cxxopts::Options& options);

/// Calls the operators' interface: goes on to the leader that a member names, and to other members while
/// there is no leader or no answer. Every call may be made again: reads change nothing, changes carry an
/// identifier, and the rest sets a state.
class OperatorClient {
 public:
  /// Takes the shared options and FERRYROCK_CONTROL, FERRYROCK_TOKEN. Throws InvalidArgument, UnreadableFile.
  explicit OperatorClient(const CommandInput& input);

  /// Throws RefusedError for an error answer, PeerUnreachable when no member answers.
  nlohmann::ordered_json get(const std::string& path);
  /// One try at this member only; none when it doesn't answer in a second or refuses.
  std::optional<nlohmann::ordered_json> askMember(const std::string& url, const std::string& path);
  nlohmann::ordered_json post(const std::string& path, const nlohmann::json& body);

 private:
  struct Answer;
  nlohmann::ordered_json call(const std::string& method, const std::string& path, const std::string& body);
  http::ClientRequest makeRequest(const std::string& method, const std::string& url,
                                  const std::string& body) const;
  Answer tryOnce(const std::string& method, const std::string& path, const std::string& body);
  void nextMember();

  Environment& environment_;
  std::vector<std::string> urls_;
  std::size_t current_ = 0;
  std::string token_;
  std::string ca_file_;
  Duration call_timeout_{};
};

/// "a b" as part of a query.
std::string encodeQueryValue(const std::string& text);

}  // namespace ferryrock::cli
