#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ferryrock::service_process {

/// One complete event of a text/event-stream, with its bytes as received.
struct StreamEvent {
  std::optional<std::uint64_t> id;
  std::string bytes;
};

/// Splits a byte stream into complete events. Searches each byte once, however small the pieces are that it
/// arrives in. Used by one thread.
class EventSplitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// The next complete event; nullopt if more bytes are needed.
  std::optional<StreamEvent> next();
  /// Number of buffered bytes that belong to an incomplete event.
  std::size_t unfinishedBytes() const { return buffer_.size() - position_; }

 private:
  void discardReturned();

  std::string buffer_;
  std::size_t position_ = 0;  ///< offset of the first byte that next() hasn't returned
  std::size_t line_ = 0;      ///< offset of the first line that isn't known to be complete
  std::size_t searched_ = 0;  ///< offset up to which that line was searched for its end
};

}  // namespace ferryrock::service_process
