#include "service_process/relay_protocol.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "common/error.h"

namespace ferryrock::service_process {
namespace {

constexpr std::string_view kPrefix = "Ferryrock-Relay-";
constexpr const char* kTarget = "Ferryrock-Relay-Target";
constexpr const char* kLimitMs = "Ferryrock-Relay-Limit-Ms";
constexpr const char* kProbe = "Ferryrock-Relay-Probe";
constexpr const char* kFreshConnection = "Ferryrock-Relay-Fresh-Connection";
constexpr const char* kOutcome = "Ferryrock-Relay-Outcome";
constexpr const char* kEndsWithConnection = "Ferryrock-Relay-Ends-With-Connection";
constexpr std::string_view kScheme = "http://";

struct OutcomeName {
  RelayOutcome outcome;
  const char* name;
};
constexpr std::array kOutcomeNames = std::to_array<OutcomeName>({
    {RelayOutcome::Forwarded, "forwarded"},
    {RelayOutcome::Refused, "refused"},
    {RelayOutcome::Unreachable, "unreachable"},
    {RelayOutcome::NotRelayed, "not-relayed"},
    {RelayOutcome::Unknown, "unknown"},
});

void removeRelayHeaders(http::Headers& headers) {
  std::erase_if(headers, [](const http::Header& header) {
    return ::strncasecmp(header.name.c_str(), kPrefix.data(), kPrefix.size()) == 0;
  });
}

Duration readLimit(const std::string& text) {
  std::int64_t milliseconds = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (fault != std::errc{} || end != text.data() + text.size() || milliseconds < 0) {
    throw Error(ResultCode::InvalidHeader, "'" + text + "' isn't a number of milliseconds", kLimitMs);
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

void sendThroughRelay(http::ClientRequest& request, const std::string& relay_address,
                      const RelayTarget& target) {
  const std::size_t path = request.url.find('/', kScheme.size());
  request.url =
      std::string(kScheme) + relay_address + (path == std::string::npos ? "/" : request.url.substr(path));
  removeRelayHeaders(request.headers);
  request.headers.push_back({kTarget, target.address});
  if (target.limit) {
    request.headers.push_back({kLimitMs, std::to_string(toMilliseconds(*target.limit))});
  }
  if (target.probe) {
    request.headers.push_back({kProbe, "1"});
  }
  if (target.fresh_connection) {
    request.headers.push_back({kFreshConnection, "1"});
  }
}

RelayTarget takeRelayTarget(http::Headers& headers) {
  RelayTarget target;
  target.address = http::findHeader(headers, kTarget).value_or("");
  if (target.address.empty()) {
    throw Error(ResultCode::InvalidHeader, "the request names no replica", kTarget);
  }
  if (const auto limit = http::findHeader(headers, kLimitMs)) {
    target.limit = readLimit(*limit);
  }
  target.probe = http::findHeader(headers, kProbe).has_value();
  target.fresh_connection = http::findHeader(headers, kFreshConnection).has_value();
  removeRelayHeaders(headers);
  return target;
}

void setRelayOutcome(http::Headers& headers, RelayOutcome outcome) {
  removeRelayHeaders(headers);
  const auto* named = std::find_if(kOutcomeNames.begin(), kOutcomeNames.end(),
                                   [outcome](const OutcomeName& entry) { return entry.outcome == outcome; });
  headers.push_back({kOutcome, named->name});
}

void setEndsWithReplicaConnection(http::Headers& headers) {
  headers.push_back({kEndsWithConnection, "1"});
}

bool endsWithReplicaConnection(const http::Headers& headers) {
  return http::findHeader(headers, kEndsWithConnection).has_value();
}

void setFreshConnection(http::Headers& headers) {
  headers.push_back({kFreshConnection, "1"});
}

bool usedFreshConnection(const http::Headers& headers) {
  return http::findHeader(headers, kFreshConnection).has_value();
}

std::optional<RelayOutcome> takeRelayOutcome(http::Headers& headers) {
  const auto text = http::findHeader(headers, kOutcome);
  removeRelayHeaders(headers);
  const auto* named = std::find_if(kOutcomeNames.begin(), kOutcomeNames.end(),
                                   [&text](const OutcomeName& entry) { return text == entry.name; });
  return named == kOutcomeNames.end() ? std::nullopt : std::optional(named->outcome);
}

calls::AttemptFailure attemptFailure(RelayOutcome outcome) {
  switch (outcome) {
    case RelayOutcome::Refused:
    case RelayOutcome::Unreachable:
      return calls::AttemptFailure::NotSent;
    case RelayOutcome::NotRelayed:
      return calls::AttemptFailure::RelayFailed;
    default:
      return calls::AttemptFailure::OutcomeUnknown;
  }
}

}  // namespace ferryrock::service_process
