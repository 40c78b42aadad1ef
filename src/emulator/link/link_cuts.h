#pragma once

#include <cstdint>
#include <map>

#include "emulator/link/process_name.h"

namespace ferryrock::emulator {

/// Which way the bytes of a cut process stall.
enum class CutDirection : std::uint8_t { Both, To, From };

/// The processes that are cut off from all others.
class LinkCuts {
 public:
  /// Replaces an earlier cut of the process.
  void cut(const ProcessName& process, CutDirection direction) { cuts_[process] = direction; }
  void heal(const ProcessName& process) { cuts_.erase(process); }
  void healAll() { cuts_.clear(); }
  bool any() const { return !cuts_.empty(); }
  /// True if no byte passes from one process to the other.
  bool stalls(const ProcessName& from, const ProcessName& to) const;
  /// True if a connection between the two can't be opened: its handshake needs both ways.
  bool separates(const ProcessName& left, const ProcessName& right) const;
  const std::map<ProcessName, CutDirection>& all() const { return cuts_; }

 private:
  bool cutIn(const ProcessName& process, CutDirection direction) const;

  std::map<ProcessName, CutDirection> cuts_;
};

}  // namespace ferryrock::emulator
