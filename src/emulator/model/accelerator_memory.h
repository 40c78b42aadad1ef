#pragma once

#include <cstdint>
#include <vector>

namespace ferryrock::emulator {

/// Bytes in use on each accelerator of one engine. Never lets a reservation pass the capacity.
class AcceleratorMemory {
 public:
  AcceleratorMemory(std::uint32_t accelerators, std::uint64_t bytes_per_accelerator);
  /// True if every index exists, none is named twice and each has room for the bytes.
  bool fits(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes) const;
  /// Takes the bytes on each accelerator; false, and nothing taken, if it doesn't fit.
  bool reserve(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes);
  void release(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes);
  std::uint64_t used(std::uint32_t accelerator) const { return used_.at(accelerator); }

 private:
  std::uint64_t capacity_;
  std::vector<std::uint64_t> used_;
};

}  // namespace ferryrock::emulator
