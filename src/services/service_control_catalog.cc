#include <utility>

#include "common/error.h"
#include "consensus/membership.h"
#include "services/catalog_rules.h"
#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

/// Time limit for a committed change to reach enough disks, which may require a membership change first.
constexpr Duration kAcknowledgementTimeout = std::chrono::milliseconds(3500);
/// The leader sends a new version to every reachable router within a round of updates, which takes 75 ms for
/// 300 routers. A router that is behind for longer than this may have lost its connection to the leader.
constexpr Duration kLeaderDeliveryTimeout = std::chrono::milliseconds(500);

}  // namespace

Effects ServiceControlImpl::replaceCatalog(ControlRequestNumber request_number, wire::ServiceCatalog catalog,
                                           std::string source, TimePoint now) {
  try {
    checkCatalog(catalog);
  } catch (const Error& fault) {
    answer(request_number, fault.code(), fault.what());
    return finish(now);
  }
  if (node_->leads() && catalog.version <= node_->hosted().catalog().version) {
    confirmRead(StateInForce{request_number}, now);
  } else {
    propose(CatalogProposal{request_number},
            wire::ReplaceCatalogCommand{std::move(catalog), std::move(source)}, now);
  }
  return finish(now);
}

void ServiceControlImpl::onStateChanged(ControlRequestNumber request_number,
                                        const wire::CommandResult& result, TimePoint now) {
  if (result.code == ResultCode::Ok) {
    deferAcknowledgement(request_number, now);
  } else {
    answer(request_number, result.code, result.detail);
  }
}

void ServiceControlImpl::deferAcknowledgement(ControlRequestNumber request_number, TimePoint now) {
  pending_acknowledgements_.push_back({request_number, now + kAcknowledgementTimeout});
}

/// Returns true if the disks that hold a committed entry outnumber the disk losses to be tolerated. A
/// committed entry is on a majority of the voters, so the majority must be larger than the number of
/// tolerated losses, and no membership change may be pending: the entry of the last change was committed
/// either after the entry to be acknowledged or before this leader's term, so a majority holds both.
bool ServiceControlImpl::onEnoughDisks() const {
  const std::size_t majority = consensus::commitQuorum(node_->log().membership());
  return leader_ && !leader_->membership_change_open && majority > settings_.tolerated_losses;
}

void ServiceControlImpl::checkAcknowledgements(TimePoint now) {
  const bool enough = onEnoughDisks();
  std::erase_if(pending_acknowledgements_, [&](const PendingAcknowledgement& pending) {
    if (enough) {
      answer(pending.request_number, ResultCode::Ok);
    } else if (now >= pending.deadline) {
      answer(pending.request_number, ResultCode::NoQuorum,
             "the cell has too few voters to tolerate " + std::to_string(settings_.tolerated_losses) +
                 " disk losses, or a membership change is pending");
    }
    return enough || now >= pending.deadline;
  });
}

/// Sends the catalog to a router that the leader apparently can't reach. A router without any catalog gets
/// its first one from the leader, together with the replicas that it needs.
void ServiceControlImpl::offerCatalog(const wire::CallRouterStatus& status, TimePoint now) {
  const bool behind = status.catalog != CatalogVersion{} && status.catalog < committed_version_;
  if (behind && now - committed_since_ >= kLeaderDeliveryTimeout) {
    send(status.router, wire::CatalogUpdate{catalogForRouters(node_->hosted().catalog())});
  }
}

Effects ServiceControlImpl::readCatalog(ControlRequestNumber request_number, TimePoint now) {
  if (node_->leads()) {
    confirmRead(CatalogRead{request_number}, now);
  } else {
    answer(request_number, leaderHttp().empty() ? ResultCode::NoQuorum : ResultCode::NotLeader,
           "this member doesn't lead the cell");
  }
  return finish(now);
}

void ServiceControlImpl::onCatalogRead(ControlRequestNumber request_number, bool confirmed) {
  if (!confirmed) {
    answer(request_number, ResultCode::NoQuorum, "leadership was lost before the read was confirmed");
  } else if (node_->hosted().catalog().version == CatalogVersion{}) {
    answer(request_number, ResultCode::NoCatalog, "no catalog has been committed yet");
  } else {
    answer(request_number, ResultCode::Ok, {}, node_->hosted().source());
  }
}

}  // namespace ferryrock::services
