#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "common/time.h"

namespace ferryrock::placement {

/// At most one timer for each key. Operations are O(log keys).
template <class Key>
class TimerQueue {
 public:
  /// Sets the key's timer; nullopt clears it.
  void set(const Key& key, std::optional<TimePoint> time) {
    clear(key);
    if (time) {
      times_.emplace(key, *time);
      order_.emplace(*time, key);
    }
  }

  void clear(const Key& key) {
    const auto entry = times_.find(key);
    if (entry != times_.end()) {
      order_.erase({entry->second, key});
      times_.erase(entry);
    }
  }

  /// Removes and returns one key whose timer is due.
  std::optional<Key> popDue(TimePoint now) {
    if (order_.empty() || order_.begin()->first > now) {
      return std::nullopt;
    }
    const Key key = order_.begin()->second;
    clear(key);
    return key;
  }

  std::optional<TimePoint> next() const {
    return order_.empty() ? std::nullopt : std::optional<TimePoint>(order_.begin()->first);
  }

 private:
  std::map<Key, TimePoint> times_;
  std::set<std::pair<TimePoint, Key>> order_;
};

}  // namespace ferryrock::placement
