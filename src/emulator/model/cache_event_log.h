#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "emulator/model/prefix_cache.h"

namespace ferryrock::emulator {

enum class CacheEventKind : std::uint8_t { Stored, Removed };

struct CacheEvent {
  std::uint64_t number = 0;
  CacheEventKind kind = CacheEventKind::Stored;
  PrefixHash prefix = 0;
};

/// Events as published: next is the number to ask after the next time.
struct CacheEventPage {
  std::uint64_t next = 0;
  std::vector<CacheEvent> events;
};

/// Cache events of one engine: published late, some lost, and only the newest kept, so that numbers have
/// gaps.
class CacheEventLog {
 public:
  CacheEventLog(Duration lag, double loss, std::size_t history, Random random);
  void record(TimePoint now, const PrefixCache::Change& change);
  /// Events with a number above `after` that are old enough to be published.
  CacheEventPage after(TimePoint now, std::uint64_t after) const;

 private:
  struct Entry {
    TimePoint at;
    CacheEvent event;
  };
  void append(TimePoint now, CacheEventKind kind, PrefixHash prefix);

  Duration lag_;
  double loss_;
  std::size_t history_;
  Random random_;
  std::uint64_t last_number_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace ferryrock::emulator
