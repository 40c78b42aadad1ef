#pragma once

#include <cstdint>
#include <list>
#include <vector>

#include "common/identifiers.h"

namespace ferryrock::emulator {

/// A checkpoint of a model or adapter.
struct Checkpoint {
  ModelName model;
  ModelVersion version;
  std::uint64_t bytes = 0;

  bool sameAs(const Checkpoint& other) const { return model == other.model && version == other.version; }
};

/// One bounded tier of checkpoints (host memory or local disk); the least recently used give way.
class CheckpointTierStore {
 public:
  explicit CheckpointTierStore(std::uint64_t capacity_bytes) : capacity_(capacity_bytes) {}
  bool contains(const Checkpoint& checkpoint) const;
  /// Adds or refreshes; false if it is larger than the whole tier.
  bool put(const Checkpoint& checkpoint);
  /// Names of the models held, each once, most recently used first.
  std::vector<ModelName> names() const;
  const std::list<Checkpoint>& contents() const { return contents_; }

 private:
  std::uint64_t capacity_;
  std::uint64_t used_ = 0;
  std::list<Checkpoint> contents_;  ///< most recently used first
};

}  // namespace ferryrock::emulator
