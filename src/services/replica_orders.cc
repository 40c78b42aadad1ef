#include "services/replica_orders.h"

namespace ferryrock::services {

std::string_view nameOf(UnplacedReason reason) {
  switch (reason) {
    case UnplacedReason::None:
      return "none";
    case UnplacedReason::StoreFull:
      return "store full";
    case UnplacedReason::ReplicaBusy:
      return "replica busy";
    case UnplacedReason::NoReplicaReady:
      return "no replica ready";
    case UnplacedReason::UnloadInProgress:
      return "room coming";
  }
  return "unknown";
}

}  // namespace ferryrock::services
