#include "service_process/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ferryrock::service_process {
namespace {

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
  while (true) {
    const std::size_t end = buffer_.find('\n', searched_);
    if (end == std::string::npos) {
      discardReturned();
      searched_ = buffer_.size();
      return std::nullopt;
    }
    const std::string_view line = std::string_view(buffer_).substr(line_, end - line_);
    const bool ends_event = line.empty() || line == "\r";
    line_ = searched_ = end + 1;
    if (ends_event) {
      std::string bytes = buffer_.substr(position_, line_ - position_);
      position_ = line_;
      const std::optional<std::uint64_t> id = eventId(bytes);
      return StreamEvent{id, std::move(bytes)};
    }
  }
}

void EventSplitter::discardReturned() {
  buffer_.erase(0, position_);
  line_ -= position_;
  position_ = 0;
}

}  // namespace ferryrock::service_process
