#pragma once

#include <functional>
#include <map>
#include <memory>

#include "event/dispatcher.h"
#include "service_process/call_dialect.h"
#include "service_process/relay_protocol.h"

namespace ferryrock::service_process {

/// Probes whether a replica that broke a call off has terminated. Each probe uses a new connection, since the
/// state of an open connection doesn't show whether the process still runs. Each probe has exactly one
/// outcome. Used by one thread.
class ReplicaProber {
 public:
  using Callback = std::function<void(const ReplicaId&, calls::ProbeOutcome)>;
  using NoticeCallback = std::function<void(const ReplicaId&, const calls::ReplicaNotice&)>;
  /// on_notice receives a non-empty notice from the head of a probe's response, before the outcome is
  /// reported.
  ReplicaProber(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                Callback on_probed, NoticeCallback on_notice);

  /// Sends a probe unless one is in flight to the same replica.
  void send(const calls::ProbeReplicaEffect& effect);

 private:
  struct Probe {
    std::unique_ptr<http::ClientCall> call;
    int status = 0;
    bool refused = false;
    RelayOutcome relayed = RelayOutcome::Forwarded;  ///< what the relay reported, if there is one
  };

  calls::ProbeOutcome outcomeOf(const Probe& probe) const;
  void finish(const ReplicaId& replica, calls::ProbeOutcome outcome);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const CallDialect& dialect_;
  Callback on_probed_;
  NoticeCallback on_notice_;
  std::map<ReplicaId, std::shared_ptr<Probe>> probes_;
};

}  // namespace ferryrock::service_process
