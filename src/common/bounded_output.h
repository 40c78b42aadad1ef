#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace ferryrock {

/// Lines for a descriptor that its reader may stop reading: kept up to a bound, written only as far as the
/// descriptor takes them at once, never waited for. What doesn't fit is dropped and counted; the count is
/// told in a line of its own once there is room. Thread-safe.
class BoundedOutput {
 public:
  explicit BoundedOutput(int descriptor, std::size_t max_bytes = std::size_t{256} * 1024)
      : descriptor_(descriptor), max_bytes_(max_bytes) {}
  ~BoundedOutput() { flush(); }
  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Queues the line and writes what can be written. A line over 4,000 bytes is cut.
  void add(std::string line);
  void flush();
  std::uint64_t dropped() const;

 private:
  void addLocked(std::string line);
  void flushLocked();

  const int descriptor_;
  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::deque<std::string> lines_;
  std::size_t bytes_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t untold_ = 0;  ///< dropped since the last line that told it
};

}  // namespace ferryrock
