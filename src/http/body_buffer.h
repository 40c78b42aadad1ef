#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryrock::http {

/// Pages of memory that go back to the system as soon as they are freed. Freed pieces of the heap stay with
/// the process while others above them are in use.
class PageBlock {
 public:
  static constexpr std::size_t kBytes = std::size_t{64} << 10;

  /// Throws std::bad_alloc.
  PageBlock();
  ~PageBlock();
  PageBlock(PageBlock&& other) noexcept
      : data_(std::exchange(other.data_, nullptr)), used_(std::exchange(other.used_, 0)) {}
  PageBlock& operator=(PageBlock&&) = delete;

  bool full() const { return used_ == kBytes; }
  std::string_view bytes() const { return {data_, used_}; }
  /// Appends as many of the bytes as there is room for; returns their number.
  std::size_t append(std::string_view bytes);

 private:
  char* data_;
  std::size_t used_ = 0;
};

/// A body that is being received, in blocks: its memory is close to its size, which that of a string that
/// doubles isn't.
class BodyBuffer {
 public:
  void append(std::string_view bytes);
  std::size_t size() const { return size_; }
  /// Returns the whole body and leaves the buffer empty.
  std::string take();

 private:
  std::string first_;  ///< up to one block; most bodies are no longer
  std::vector<PageBlock> others_;
  std::size_t size_ = 0;
};

}  // namespace ferryrock::http
