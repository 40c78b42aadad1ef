#include "cli/operator_client.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "catalog/settings_schema.h"
#include "catalog/tree_json.h"
#include "common/quantity.h"

namespace ferryrock::cli {

using nlohmann::ordered_json;

namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::seconds(1);
constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

std::string readToken(const CommandInput& input) {
  const std::string file = input.options["token-file"].as<std::string>();
  if (file.empty()) {
    return input.environment.variable("FERRYROCK_TOKEN").value_or("");
  }
  std::ifstream stream(file);
  std::string token;
  if (!(stream >> token)) {
    throw Error(ResultCode::UnreadableFile, "the token can't be read", file);
  }
  return token;
}

std::vector<std::string> readUrls(const CommandInput& input) {
  std::string text = input.options["control"].as<std::string>();
  if (text.empty()) {
    text = input.environment.variable("FERRYROCK_CONTROL").value_or(kDefaultControlUrl);
  }
  std::vector<std::string> urls = catalog::splitList(text);
  for (std::string& url : urls) {
    if (!url.starts_with("http://") && !url.starts_with("https://")) {
      throw Error(ResultCode::InvalidArgument,
                  "--control takes http:// or https:// addresses, not '" + url + "'");
    }
    while (url.ends_with('/')) {
      url.pop_back();
    }
  }
  return urls;
}

/// The code that an error answer carries; a number that this program doesn't know is told as Internal.
ResultCode codeOf(const ordered_json& answer) {
  const int number = answer.value("code", static_cast<int>(ResultCode::Internal));
  const auto table = resultCodeTable();
  const auto row = std::find_if(table.begin(), table.end(), [number](const ResultCodeInfo& info) {
    return static_cast<int>(info.code) == number;
  });
  return row == table.end() ? ResultCode::Internal : row->code;
}

std::vector<catalog::TreeFault> faultsOf(const ordered_json& answer) {
  std::vector<catalog::TreeFault> faults;
  if (answer.contains("faults")) {
    for (const ordered_json& fault : answer.at("faults")) {
      faults.push_back(catalog::faultFromJson(nlohmann::json(fault)));
    }
  }
  return faults;
}

}  // namespace

/// What one try came to.
struct OperatorClient::Answer {
  bool final = false;
  ordered_json body;
  ResultCode code = ResultCode::Ok;
  std::string detail;
};

void declareOperatorOptions(cxxopts::Options& options) {
  options.add_options()("control", "Addresses of control members, with commas (or FERRYROCK_CONTROL)",
                        cxxopts::value<std::string>()->default_value(""),
                        "URL,...")("token-file", "File with the operator's token (or FERRYROCK_TOKEN)",
                                   cxxopts::value<std::string>()->default_value(""), "FILE")(
      "ca-file", "Certificate of the authority that signs the members' certificates",
      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "call-timeout", "Time limit of one try", cxxopts::value<std::string>()->default_value("5s"), "TIME")(
      "o,output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORMAT");
}

OperatorClient::OperatorClient(const CommandInput& input)
    : environment_(input.environment),
      urls_(readUrls(input)),
      token_(readToken(input)),
      ca_file_(input.options["ca-file"].as<std::string>()),
      call_timeout_(parseDuration(input.options["call-timeout"].as<std::string>())) {
  if (urls_.empty()) {
    throw Error(ResultCode::InvalidArgument, "--control names no address");
  }
}

ordered_json OperatorClient::get(const std::string& path) {
  return call("GET", path, "");
}

ordered_json OperatorClient::post(const std::string& path, const nlohmann::json& body) {
  return call("POST", path, body.dump());
}

void OperatorClient::nextMember() {
  current_ = (current_ + 1) % urls_.size();
}

ordered_json OperatorClient::call(const std::string& method, const std::string& path,
                                  const std::string& body) {
  Duration pause = kFirstPause;
  Answer answer;
  for (int tried = 0; tried < kMaximumTries; ++tried) {
    if (tried > 0) {
      environment_.sleep(pause);
      pause = std::min(pause * 2, kLongestPause);
    }
    answer = tryOnce(method, path, body);
    if (answer.final) {
      break;
    }
  }
  if (answer.code != ResultCode::Ok) {
    throw RefusedError(answer.code, answer.detail, faultsOf(answer.body));
  }
  return std::move(answer.body);
}

std::optional<ordered_json> OperatorClient::askMember(const std::string& url, const std::string& path) {
  constexpr Duration kLongestWait = std::chrono::seconds(1);
  http::ClientRequest request = makeRequest("GET", url + path, "");
  request.total_timeout = std::min(call_timeout_, kLongestWait);
  try {
    const http::ClientResponse response = environment_.call(request);
    ordered_json answer = ordered_json::parse(response.body, nullptr, false);
    const bool answered = response.status < kFirstErrorStatus && answer.is_object();
    return answered ? std::optional(std::move(answer)) : std::nullopt;
  } catch (const Error&) {
    return std::nullopt;
  }
}

http::ClientRequest OperatorClient::makeRequest(const std::string& method, const std::string& url,
                                                const std::string& body) const {
  http::ClientRequest request;
  request.method = method;
  request.url = url;
  request.body = body;
  request.total_timeout = call_timeout_;
  request.ca_file = ca_file_;
  request.headers.push_back({"Content-Type", "application/json"});
  if (!token_.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + token_});
  }
  return request;
}

OperatorClient::Answer OperatorClient::tryOnce(const std::string& method, const std::string& path,
                                               const std::string& body) {
  const http::ClientRequest request = makeRequest(method, urls_[current_] + path, body);
  Answer answer;
  http::ClientResponse response;
  try {
    response = environment_.call(request);
  } catch (const Error& fault) {
    answer.code = fault.code();
    answer.detail = fault.detail();
    nextMember();
    return answer;
  }
  answer.body = ordered_json::parse(response.body, nullptr, false);
  if (!answer.body.is_object()) {
    throw Error(ResultCode::MalformedMessage, request.url + " answered with status " +
                                                  std::to_string(response.status) + " and no JSON object");
  }
  if (response.status < kFirstErrorStatus) {
    answer.final = true;
    return answer;
  }
  answer.code = codeOf(answer.body);
  answer.detail = answer.body.value("message", "");
  const std::string leader = answer.body.value("leader_url", "");
  if (answer.code == ResultCode::NotLeader && !leader.empty()) {
    urls_.insert(urls_.begin(), leader);
    current_ = 0;
    return answer;
  }
  answer.final = answer.code != ResultCode::NotLeader && response.status < kFirstServerErrorStatus;
  nextMember();
  return answer;
}

std::string encodeQueryValue(const std::string& text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isalnum(byte) != 0 || letter == '-' || letter == '.' || letter == '_') {
      encoded += letter;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 0xFU];
    }
  }
  return encoded;
}

}  // namespace ferryrock::cli
