#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::load {

/// A slot that control decided, as one line of a decisions file: {"wall_ms": t, "slot": n, "model": "m",
/// "engine": "e", "incarnation": i}.
struct SlotDecision {
  WallMilliseconds wall_ms = 0;
  std::uint64_t slot = 0;
  std::string model;
  std::string engine;
  std::uint64_t incarnation = 0;
};

/// The replicas that a model may have from a time on, as one line: {"wall_ms": t, "model": "m",
/// "max_replicas": n, "tree_version": v}.
struct ReplicaLimit {
  WallMilliseconds wall_ms = 0;
  std::string model;
  std::uint32_t max_replicas = 0;
  std::uint64_t tree_version = 0;  ///< that brought it; 0: not told
};

/// What control decided, as far as a decisions file tells.
struct Decisions {
  std::vector<SlotDecision> slots;
  std::vector<ReplicaLimit> limits;
};

/// Reads the files, each with lines of both kinds. Members of a cell each tell what they applied, and tell it
/// again when they apply it again: of lines with the same slot the earliest counts, and a limit counts if its
/// tree version is above those before it. Slots are sorted by number, limits by time. Throws Error
/// UnreadableFile or MalformedBody.
Decisions readDecisions(const std::vector<std::string>& files);

}  // namespace ferryrock::load
