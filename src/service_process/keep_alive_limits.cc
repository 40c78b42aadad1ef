#include "service_process/keep_alive_limits.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace ferryrock::service_process {
namespace {

/// An idle connection is closed this long before the replica's keep-alive timeout expires.
constexpr Duration kMargin = std::chrono::seconds(1);
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);
constexpr std::size_t kMaxEntries = 10'000;

}  // namespace

void KeepAliveLimits::record(const std::string& address, const http::Headers& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto header = http::findHeader(headers, "Keep-Alive");
  const std::size_t place = header ? header->find(kTimeout) : std::string::npos;
  if (place == std::string::npos) {
    return;
  }
  int seconds = 0;
  const char* begin = header->data() + place + kTimeout.size();
  std::from_chars(begin, header->data() + header->size(), seconds);
  const Duration announced = std::chrono::seconds(seconds);
  if (limits_.size() > kMaxEntries) {
    limits_.clear();
  }
  limits_[address] = std::min(kMaxIdleTime, announced > kMargin ? announced - kMargin : Duration{});
}

void KeepAliveLimits::apply(const std::string& address, http::ClientRequest& request) const {
  const auto limit = limits_.find(address);
  if (limit != limits_.end()) {
    request.idle_limit = limit->second;
    request.fresh_connection = limit->second == Duration::zero();
  }
}

}  // namespace ferryrock::service_process
