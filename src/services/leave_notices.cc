#include "services/leave_notices.h"

#include <algorithm>

namespace ferryrock::services {

TimePoint LeaveNotices::nextDeadline() const {
  TimePoint deadline = TimePoint::max();
  for (const LeaveNotice& notice : notices_) {
    deadline = std::min(deadline, notice.deadline);
  }
  return deadline;
}

}  // namespace ferryrock::services
