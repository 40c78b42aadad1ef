#include "emulator/link/link_cuts.h"

namespace ferryrock::emulator {

bool LinkCuts::cutIn(const ProcessName& process, CutDirection direction) const {
  const auto found = cuts_.find(process);
  return found != cuts_.end() && (found->second == CutDirection::Both || found->second == direction);
}

bool LinkCuts::stalls(const ProcessName& from, const ProcessName& to) const {
  return cutIn(from, CutDirection::From) || cutIn(to, CutDirection::To);
}

bool LinkCuts::separates(const ProcessName& left, const ProcessName& right) const {
  return stalls(left, right) || stalls(right, left);
}

}  // namespace ferryrock::emulator
