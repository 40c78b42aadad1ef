#include "http/body_buffer.h"

#include <sys/mman.h>

#include <algorithm>
#include <cstring>
#include <new>

namespace ferryrock::http {

PageBlock::PageBlock() : data_(nullptr) {
  void* pages = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (pages == MAP_FAILED) {
    throw std::bad_alloc();
  }
  data_ = static_cast<char*>(pages);
}

PageBlock::~PageBlock() {
  if (data_ != nullptr) {
    ::munmap(data_, kBytes);
  }
}

std::size_t PageBlock::append(std::string_view bytes) {
  const std::size_t count = std::min(bytes.size(), kBytes - used_);
  std::memcpy(data_ + used_, bytes.data(), count);
  used_ += count;
  return count;
}

void BodyBuffer::append(std::string_view bytes) {
  size_ += bytes.size();
  if (first_.size() < PageBlock::kBytes) {
    const std::string_view piece = bytes.substr(0, PageBlock::kBytes - first_.size());
    first_.append(piece);
    bytes.remove_prefix(piece.size());
  }
  while (!bytes.empty()) {
    if (others_.empty() || others_.back().full()) {
      others_.emplace_back();
    }
    bytes.remove_prefix(others_.back().append(bytes));
  }
}

std::string BodyBuffer::take() {
  std::string body = std::exchange(first_, {});
  if (!others_.empty()) {
    body.reserve(size_);
  }
  for (const PageBlock& block : others_) {
    body += block.bytes();
  }
  others_.clear();
  size_ = 0;
  return body;
}

}  // namespace ferryrock::http
