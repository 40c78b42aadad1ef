#include "calls/direct_paths.h"

namespace ferryrock::calls {

void DirectPaths::onProgress(TimePoint now) {
  last_progress_ = now;
  unreachable_.clear();
}

}  // namespace ferryrock::calls
