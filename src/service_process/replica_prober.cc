#include "service_process/replica_prober.h"

#include <utility>

#include "service_process/relay_protocol.h"

namespace ferryrock::service_process {
namespace {

using calls::ProbeOutcome;

/// Short, because a call may wait for the outcome. The host of a terminated process refuses the connection
/// within one round trip, 3 to 8 ms between zones; a replica that doesn't answer in time is considered
/// unreachable or slow.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

}  // namespace

ReplicaProber::ReplicaProber(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                             Callback on_probed, NoticeCallback on_notice)
    : dispatcher_(dispatcher),
      client_(client),
      dialect_(dialect),
      on_probed_(std::move(on_probed)),
      on_notice_(std::move(on_notice)) {}

void ReplicaProber::send(const calls::ProbeReplicaEffect& effect) {
  const auto [place, fresh] = probes_.try_emplace(effect.replica, std::make_shared<Probe>());
  if (!fresh) {
    return;
  }
  const std::shared_ptr<Probe> probe = place->second;
  http::ClientRequest request = dialect_.probe(effect);
  request.connect_timeout = kProbeTimeout;
  request.total_timeout = kProbeTimeout;
  request.fresh_connection = true;
  if (effect.relay) {
    constexpr bool kProbe = true;
    sendThroughRelay(request, effect.relay->address, {effect.address, kProbeTimeout, kProbe});
    request.fresh_connection = false;
  }
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [this, replica = effect.replica, relayed = effect.relay.has_value(), probe](
                             int status, const http::Headers& received) {
    http::Headers headers = received;
    probe->status = status;
    if (relayed) {
      probe->relayed = takeRelayOutcome(headers).value_or(RelayOutcome::Unknown);
    }
    if (probe->relayed != RelayOutcome::Forwarded) {
      return;
    }
    const calls::ReplicaNotice notice = dialect_.notice(status, headers);
    if (!notice.empty()) {
      on_notice_(replica, notice);
    }
  };
  callbacks.on_complete = [this, replica = effect.replica, probe] { finish(replica, outcomeOf(*probe)); };
  callbacks.on_refused = [probe, relayed = effect.relay.has_value()] { probe->refused = !relayed; };
  callbacks.on_failure = [this, replica = effect.replica, probe](http::SendProgress, const std::string&) {
    finish(replica, probe->refused ? ProbeOutcome::Refused : ProbeOutcome::Unknown);
  };
  probe->call = client_.send(std::move(request), std::move(callbacks));
}

ProbeOutcome ReplicaProber::outcomeOf(const Probe& probe) const {
  switch (probe.relayed) {
    case RelayOutcome::Forwarded:
      return dialect_.probeOutcome(probe.status);
    case RelayOutcome::Refused:
      return ProbeOutcome::Refused;
    default:
      return ProbeOutcome::Unknown;
  }
}

void ReplicaProber::finish(const ReplicaId& replica, ProbeOutcome outcome) {
  const auto found = probes_.find(replica);
  if (found == probes_.end()) {
    return;
  }
  const std::shared_ptr<Probe> probe = std::move(found->second);
  probes_.erase(found);
  dispatcher_.post([probe] { probe->call.reset(); });
  on_probed_(replica, outcome);
}

}  // namespace ferryrock::service_process
