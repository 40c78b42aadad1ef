#include <algorithm>
#include <string>

#include "services/service_control_impl.h"

/// The part of ServiceControlImpl that takes zones out of use and gives them back. The replicated state holds
/// which zones are evacuated, and the replica registry of each member goes by it: routers get the zone's
/// replicas as closed with the next update, whoever leads.
namespace ferryrock::services {

Effects ServiceControlImpl::evacuateZone(QuestionNumber question, const ZoneName& zone, bool evacuated,
                                         TimePoint now) {
  const bool held = node_->hosted().evacuated().contains(zone);
  if (!isKnownZone(zone)) {
    constexpr std::size_t kShown = 64;
    answer(question, ResultCode::UnknownZone, "'" + zone.value.substr(0, kShown) + "'");
  } else if (node_->leads() && held == evacuated) {
    confirmRead(StateHeld{question}, now);
  } else {
    propose(EvacuationProposal{question}, wire::EvacuateZoneCommand{zone, evacuated}, now);
  }
  return finish(now);
}

std::vector<ZoneName> ServiceControlImpl::evacuatedZones() const {
  const std::set<ZoneName>& zones = node_->hosted().evacuated();
  return {zones.begin(), zones.end()};
}

/// Without zones in the settings those of known replicas are all that can be told apart.
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

void ServiceControlImpl::followEvacuations() {
  const std::uint64_t changes = registry_.changes();
  registry_.setEvacuated(node_->hosted().evacuated());
  if (leader_ && registry_.changes() != changes) {
    leader_->push_to_all = true;
  }
}

}  // namespace ferryrock::services
