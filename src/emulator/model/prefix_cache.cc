#include "emulator/model/prefix_cache.h"

#include "common/hashing.h"

namespace ferryrock::emulator {

std::vector<PrefixHash> prefixHashes(const ModelName& model, const std::vector<std::string>& tokens,
                                     std::uint32_t block_tokens) {
  std::vector<PrefixHash> hashes;
  PrefixHash hash = stableHash(model.value);
  const std::size_t whole_blocks = tokens.size() / block_tokens;
  hashes.reserve(whole_blocks);
  std::size_t position = 0;
  for (std::size_t block = 0; block < whole_blocks; ++block) {
    for (std::uint32_t index = 0; index < block_tokens; ++index) {
      hash = stableHash(tokens[position++], hash);
    }
    hashes.push_back(hash);
  }
  return hashes;
}

bool PrefixCache::touch(PrefixHash block) {
  const auto found = positions_.find(block);
  if (found == positions_.end()) {
    return false;
  }
  order_.splice(order_.begin(), order_, found->second);
  return true;
}

std::size_t PrefixCache::warmBlocks(const std::vector<PrefixHash>& blocks) {
  std::size_t warm = 0;
  while (warm < blocks.size() && touch(blocks[warm])) {
    ++warm;
  }
  return warm;
}

PrefixCache::Change PrefixCache::insert(const std::vector<PrefixHash>& blocks) {
  Change change;
  for (const PrefixHash block : blocks) {
    if (capacity_ == 0 || touch(block)) {
      continue;
    }
    if (positions_.size() == capacity_) {
      change.removed.push_back(order_.back());
      positions_.erase(order_.back());
      order_.pop_back();
    }
    order_.push_front(block);
    positions_[block] = order_.begin();
    change.stored.push_back(block);
  }
  return change;
}

PrefixCache::Change PrefixCache::clear() {
  Change change;
  change.removed.assign(order_.begin(), order_.end());
  order_.clear();
  positions_.clear();
  return change;
}

}  // namespace ferryrock::emulator
