#include <algorithm>
#include <string>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl that evacuates zones and returns them to use. The evacuated zones are part
/// of the replicated state, which every member applies to its replica registry. Whichever member leads,
/// routers receive the zone's replicas as closed with the next update.
namespace ferryrock::services {

Effects ServiceControlImpl::evacuateZone(ControlRequestNumber request_number, const ZoneName& zone,
                                         bool evacuated, TimePoint now) {
  const bool held = node_->hosted().evacuated().contains(zone);
  if (!isKnownZone(zone)) {
    constexpr std::size_t kShown = 64;
    answer(request_number, ResultCode::UnknownZone, "'" + zone.value.substr(0, kShown) + "'");
  } else if (node_->leads() && held == evacuated) {
    confirmRead(StateInForce{request_number}, now);
  } else {
    propose(EvacuationProposal{request_number}, wire::EvacuateZoneCommand{zone, evacuated}, now);
  }
  return finish(now);
}

std::vector<ZoneName> ServiceControlImpl::evacuatedZones() const {
  const std::set<ZoneName>& zones = node_->hosted().evacuated();
  return {zones.begin(), zones.end()};
}

/// If the settings list no zones, only zones that are evacuated or have known replicas are valid.
bool ServiceControlImpl::isKnownZone(const ZoneName& zone) const {
  if (node_->hosted().evacuated().contains(zone)) {
    return true;
  }
  if (!settings_.zones.empty()) {
    return std::find(settings_.zones.begin(), settings_.zones.end(), zone) != settings_.zones.end();
  }
  return std::any_of(registry_.replicas().begin(), registry_.replicas().end(),
                     [&zone](const auto& item) { return item.second.report.zone == zone; });
}

void ServiceControlImpl::applyEvacuations() {
  const std::uint64_t changes = registry_.changes();
  registry_.setEvacuated(node_->hosted().evacuated());
  if (leader_ && registry_.changes() != changes) {
    leader_->push_to_all = true;
  }
}

}  // namespace ferryrock::services
