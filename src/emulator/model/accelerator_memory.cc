#include "emulator/model/accelerator_memory.h"

#include <set>

namespace ferryrock::emulator {

AcceleratorMemory::AcceleratorMemory(std::uint32_t accelerators, std::uint64_t bytes_per_accelerator)
    : capacity_(bytes_per_accelerator), used_(accelerators, 0) {}

bool AcceleratorMemory::fits(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes) const {
  const std::set<std::uint32_t> distinct(accelerators.begin(), accelerators.end());
  if (accelerators.empty() || distinct.size() != accelerators.size()) {
    return false;
  }
  for (const std::uint32_t index : accelerators) {
    if (index >= used_.size() || bytes > capacity_ - used_[index]) {
      return false;
    }
  }
  return true;
}

bool AcceleratorMemory::reserve(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes) {
  if (!fits(accelerators, bytes)) {
    return false;
  }
  for (const std::uint32_t index : accelerators) {
    used_[index] += bytes;
  }
  return true;
}

void AcceleratorMemory::release(const std::vector<std::uint32_t>& accelerators, std::uint64_t bytes) {
  for (const std::uint32_t index : accelerators) {
    used_.at(index) -= bytes;
  }
}

}  // namespace ferryrock::emulator
