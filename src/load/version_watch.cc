#include "load/version_watch.h"

#include <array>
#include <charconv>
#include <utility>

namespace ferryrock::load {

namespace {

constexpr std::array<std::string_view, 2> kVersionMetrics = {"\nferryrock_router_tree_version ",
                                                             "\nferryrock_control_tree_version "};
constexpr int kStatusOk = 200;
constexpr Duration kAskTimeout = std::chrono::seconds(1);

}  // namespace

std::optional<std::uint64_t> treeVersionOfMetrics(std::string_view page) {
  for (const std::string_view name : kVersionMetrics) {
    const std::size_t place = page.find(name);
    if (place == std::string_view::npos) {
      continue;
    }
    const char* begin = page.data() + place + name.size();
    double version = 0;
    const auto [end, fault] = std::from_chars(begin, page.data() + page.size(), version);
    if (fault == std::errc{} && version >= 0) {
      return static_cast<std::uint64_t>(version);
    }
  }
  return std::nullopt;
}

VersionWatch::VersionWatch(event::Dispatcher& dispatcher, http::Client& client, std::string process,
                           Duration interval, SightingCallback on_sighting)
    : dispatcher_(dispatcher),
      client_(client),
      process_(std::move(process)),
      interval_(interval),
      on_sighting_(std::move(on_sighting)),
      timer_(dispatcher.createTimer([this] { ask(); })) {}

void VersionWatch::ask() {
  http::ClientRequest request;
  request.url = process_ + "/metrics";
  request.total_timeout = kAskTimeout;
  asked_ms_ = dispatcher_.timeSource().wallTime();
  call_ = std::make_unique<HttpCall>(client_, std::move(request),
                                     [this](const CallAnswer& answer) { onAnswer(answer); });
}

void VersionWatch::onAnswer(const CallAnswer& answer) {
  timer_->enable(interval_);
  const std::optional<std::uint64_t> version =
      answer.status == kStatusOk ? treeVersionOfMetrics(answer.body) : std::nullopt;
  if (version) {
    on_sighting_({process_, asked_ms_, dispatcher_.timeSource().wallTime(), *version});
  }
}

}  // namespace ferryrock::load
