#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace ferryrock {

/// Non-blocking line buffer for a descriptor whose reader may stall. Pending lines are kept up to max_bytes
/// and written only while the descriptor accepts them without blocking. Lines beyond the bound are dropped
/// and counted; a log.dropped line reports the count once all pending lines are written. Thread-safe.
class BoundedOutput {
 public:
  explicit BoundedOutput(int descriptor, std::size_t max_bytes = std::size_t{256} * 1024)
      : descriptor_(descriptor), max_bytes_(max_bytes) {}
  ~BoundedOutput() { flush(); }
  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Queues the line and writes as many pending lines as possible without blocking. Lines longer than
  /// 4,000 bytes are truncated.
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
  std::uint64_t unreported_drops_ = 0;  ///< lines dropped since the last log.dropped line
};

}  // namespace ferryrock
