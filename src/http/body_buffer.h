#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ferryrock::service_process {

/// A body that is being received, in blocks: its memory is close to its size, which a string that doubles
/// isn't, and blocks of one size leave no gaps in the heap.
class BodyBuffer {
 public:
  void append(std::string_view bytes) {
    while (!bytes.empty()) {
      if (blocks_.empty() || blocks_.back().size() == kBlockBytes) {
        startBlock();
      }
      std::string& block = blocks_.back();
      const std::string_view piece = bytes.substr(0, kBlockBytes - block.size());
      block.append(piece);
      bytes.remove_prefix(piece.size());
      size_ += piece.size();
    }
  }
  std::size_t size() const { return size_; }
  /// Returns the whole body and leaves the buffer empty.
  std::string take() {
    std::string body;
    if (blocks_.size() == 1) {
      body = std::move(blocks_.front());
    } else {
      body.reserve(size_);
      for (const std::string& block : blocks_) {
        body += block;
      }
    }
    blocks_.clear();
    size_ = 0;
    return body;
  }

 private:
  static constexpr std::size_t kBlockBytes = std::size_t{64} << 10;

  /// Most bodies fit into a part of the first block, which grows as needed.
  void startBlock() {
    std::string& block = blocks_.emplace_back();
    if (blocks_.size() > 1) {
      block.reserve(kBlockBytes);
    }
  }

  std::vector<std::string> blocks_;
  std::size_t size_ = 0;
};

}  // namespace ferryrock::service_process
