#include "service_process/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace ferryrock::service_process {
namespace {

/// Length of the first event including the empty line that terminates it; npos if the event is incomplete.
std::size_t eventLength(std::string_view bytes) {
  std::size_t line = 0;
  while (line < bytes.size()) {
    const std::size_t end = bytes.find('\n', line);
    if (end == std::string_view::npos) {
      return std::string_view::npos;
    }
    const std::string_view text = bytes.substr(line, end - line);
    if (text.empty() || text == "\r") {
      return end + 1;
    }
    line = end + 1;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> eventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t end = std::min(event.find('\n', line), event.size());
    std::string_view text = event.substr(line, end - line);
    if (text.starts_with(kField)) {
      text.remove_prefix(kField.size());
      while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
      }
      std::uint64_t id = 0;
      const auto [used, fault] = std::from_chars(text.data(), text.data() + text.size(), id);
      return fault == std::errc{} && used != text.data() ? std::optional(id) : std::nullopt;
    }
    line = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<StreamEvent> EventSplitter::next() {
  const std::string_view rest = std::string_view(buffer_).substr(position_);
  const std::size_t length = eventLength(rest);
  if (length == std::string_view::npos) {
    buffer_.erase(0, position_);
    position_ = 0;
    return std::nullopt;
  }
  StreamEvent event{eventId(rest.substr(0, length)), std::string(rest.substr(0, length))};
  position_ += length;
  return event;
}

}  // namespace ferryrock::service_process
