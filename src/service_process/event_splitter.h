#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryrock::service_process {

/// One whole event of a text/event-stream, its bytes as they came.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string bytes;
};

/// Cuts a stream into whole events. Used by one thread.
class EventSplitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// The next whole event; nullopt until more bytes have come.
  std::optional<StreamEvent> next();
  /// Bytes of an event that isn't whole.
  std::size_t unfinishedBytes() const { return buffer_.size() - position_; }

 private:
  std::string buffer_;
  std::size_t position_ = 0;  ///< of the first byte that wasn't handed out
};

}  // namespace ferryrock::service_process
