#include "router_process/engine_events.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace ferryrock::router_process {
namespace {

using nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kEnd = "end";
/// An engine that sends more than this without an end of the event isn't read on.
constexpr std::size_t kLargestEvent = 4 << 20;

/// Fields of one event.
struct EventFields {
  std::string_view id;
  std::string_view name;
  std::string_view data;
};

std::string_view valueAfter(std::string_view line, std::size_t colon) {
  line.remove_prefix(colon + 1);
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

EventFields splitEvent(std::string_view event) {
  EventFields fields;
  while (!event.empty()) {
    const std::size_t length = std::min(event.find('\n'), event.size());
    const std::string_view line = event.substr(0, length);
    event.remove_prefix(std::min(length + 1, event.size()));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    const std::string_view field = line.substr(0, colon);
    if (field == "id") {
      fields.id = valueAfter(line, colon);
    } else if (field == "event") {
      fields.name = valueAfter(line, colon);
    } else if (field == "data") {
      fields.data = valueAfter(line, colon);
    }
  }
  return fields;
}

/// Takes what the router needs out of an event's JSON without building a tree of it: one event is one token.
class EventValues : public nlohmann::json_sax<json> {
 public:
  std::string text;
  std::string finish_reason;
  std::string error_message;
  router::StreamEnd end;
  bool is_end = false;
  bool is_error = false;

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*digits*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }

  bool number_unsigned(number_unsigned_t value) override {
    if (is_end && depth_ == 2) {
      if (key_ == "count") {
        end.count = value;
      } else if (key_ == "prompt_tokens") {
        end.prompt_tokens = value;
      } else if (key_ == "completion_tokens") {
        end.completion_tokens = value;
      }
    }
    return true;
  }

  bool string(string_t& value) override {
    if (in_choices_ &&
        ((depth_ == kDeltaDepth && key_ == "content") || (depth_ == kChoiceDepth && key_ == "text"))) {
      text = std::move(value);
    } else if (in_choices_ && depth_ == kChoiceDepth && key_ == "finish_reason") {
      finish_reason = std::move(value);
    } else if (is_error && key_ == "message") {
      error_message = std::move(value);
    }
    return true;
  }

  bool key(string_t& name) override {
    key_ = std::move(name);
    if (depth_ == 1) {
      in_choices_ = key_ == "choices";
      is_end = is_end || key_ == "ferryrock_end";
      is_error = is_error || key_ == "error";
    }
    return true;
  }

  bool start_object(std::size_t /*elements*/) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t /*elements*/) override { return enter(); }
  bool end_array() override { return leave(); }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*fault*/) override {
    return false;
  }

 private:
  /// Depth of a choice's members, and of its delta's.
  static constexpr int kChoiceDepth = 3;
  static constexpr int kDeltaDepth = 4;

  bool enter() {
    ++depth_;
    return true;
  }
  bool leave() {
    --depth_;
    return true;
  }

  std::string key_;
  int depth_ = 0;
  bool in_choices_ = false;
};

}  // namespace

void EngineEventReader::add(std::string_view bytes) {
  buffer_.erase(0, position_);
  position_ = 0;
  buffer_.append(bytes);
}

std::optional<EngineEvent> EngineEventReader::next() {
  while (true) {
    const std::size_t end = buffer_.find(kEventEnd, position_);
    if (end == std::string::npos) {
      if (buffer_.size() - position_ > kLargestEvent) {
        return ForeignEvent{"an event is too large"};
      }
      return std::nullopt;
    }
    const std::string_view event = std::string_view(buffer_).substr(position_, end - position_);
    position_ = end + kEventEnd.size();
    if (auto read = readEvent(event)) {
      return read;
    }
  }
}

std::optional<EngineEvent> EngineEventReader::readEvent(std::string_view event) const {
  const EventFields fields = splitEvent(event);
  if (fields.data.empty() || fields.data == kDone) {
    return std::nullopt;
  }
  EventValues values;
  if (!json::sax_parse(fields.data.begin(), fields.data.end(), &values)) {
    return ForeignEvent{"an event isn't valid JSON"};
  }
  if (fields.name == "error" || values.is_error) {
    return EngineFault{values.error_message};
  }
  const std::size_t slash = fields.id.rfind('/');
  if (slash == std::string_view::npos || fields.id.substr(0, slash) != attempt_) {
    return ForeignEvent{"an event belongs to another attempt"};
  }
  const std::string_view number = fields.id.substr(slash + 1);
  if (number == kEnd && values.is_end) {
    return values.end;
  }
  router::StreamChunk chunk;
  const auto [used, fault] = std::from_chars(number.data(), number.data() + number.size(), chunk.number);
  if (fault != std::errc{} || used != number.data() + number.size()) {
    return ForeignEvent{"an event has no chunk number"};
  }
  chunk.text = std::move(values.text);
  chunk.finish_reason = std::move(values.finish_reason);
  return chunk;
}

}  // namespace ferryrock::router_process
