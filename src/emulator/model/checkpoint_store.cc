#include "emulator/model/checkpoint_store.h"

#include <algorithm>

namespace ferryrock::emulator {

bool CheckpointTierStore::contains(const Checkpoint& checkpoint) const {
  return std::any_of(contents_.begin(), contents_.end(),
                     [&](const Checkpoint& held) { return held.sameAs(checkpoint); });
}

bool CheckpointTierStore::put(const Checkpoint& checkpoint) {
  if (checkpoint.bytes > capacity_) {
    return false;
  }
  contents_.remove_if([&](const Checkpoint& held) {
    const bool replaced = held.sameAs(checkpoint);
    used_ -= replaced ? held.bytes : 0;
    return replaced;
  });
  while (used_ + checkpoint.bytes > capacity_) {
    used_ -= contents_.back().bytes;
    contents_.pop_back();
  }
  used_ += checkpoint.bytes;
  contents_.push_front(checkpoint);
  return true;
}

std::vector<ModelName> CheckpointTierStore::names() const {
  std::vector<ModelName> list;
  for (const Checkpoint& held : contents_) {
    if (std::find(list.begin(), list.end(), held.model) == list.end()) {
      list.push_back(held.model);
    }
  }
  return list;
}

}  // namespace ferryrock::emulator
