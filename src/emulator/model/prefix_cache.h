#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/identifiers.h"

namespace ferryrock::emulator {

/// Hash of one block of tokens together with everything before it.
using PrefixHash = std::uint64_t;

/// Hashes of the whole blocks of a token sequence: block k covers tokens [0, (k + 1) * block_tokens).
std::vector<PrefixHash> prefixHashes(const ModelName& model, const std::vector<std::string>& tokens,
                                     std::uint32_t block_tokens);

/// Bounded prefix cache of one replica; the least recently used blocks give way.
class PrefixCache {
 public:
  explicit PrefixCache(std::uint32_t capacity_blocks) : capacity_(capacity_blocks) {}

  struct Change {
    std::vector<PrefixHash> stored;
    std::vector<PrefixHash> removed;
  };
  /// Number of leading blocks that are warm; they count as used.
  std::size_t warmBlocks(const std::vector<PrefixHash>& blocks);
  /// Makes the blocks warm and reports what came and went.
  Change insert(const std::vector<PrefixHash>& blocks);
  /// Drops everything and reports it.
  Change clear();
  std::size_t size() const { return positions_.size(); }

 private:
  bool touch(PrefixHash block);

  std::size_t capacity_;
  std::list<PrefixHash> order_;  ///< most recently used first
  std::unordered_map<PrefixHash, std::list<PrefixHash>::iterator> positions_;
};

}  // namespace ferryrock::emulator
