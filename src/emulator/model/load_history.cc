#include "emulator/model/load_history.h"

namespace ferryrock::emulator {

void LoadHistory::forgetOld(TimePoint now) {
  while (!samples_.empty() && samples_.front().at + lag_ <= now) {
    oldest_ = samples_.front().load;
    samples_.pop_front();
  }
}

void LoadHistory::record(TimePoint now, LoadReport load) {
  if (!samples_.empty() && samples_.back().load == load) {
    return;
  }
  samples_.push_back({now, load});
  forgetOld(now);
}

LoadReport LoadHistory::reported(TimePoint now) {
  forgetOld(now);
  return oldest_;
}

}  // namespace ferryrock::emulator
