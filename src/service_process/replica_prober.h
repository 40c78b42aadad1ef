#pragma once

#include <functional>
#include <map>
#include <memory>

#include "event/dispatcher.h"
#include "service_process/call_dialect.h"

namespace ferryrock::service_process {

/// Finds out whether a replica that broke a call off has ended: over a new connection, since the open ones
/// tell nothing of the process behind them. Each probe gets exactly one outcome. Used by one thread.
class ReplicaProber {
 public:
  using Callback = std::function<void(const ReplicaId&, calls::ProbeOutcome)>;
  using NoticeCallback = std::function<void(const ReplicaId&, const calls::ReplicaNotice&)>;
  /// on_notice: what an answer's head says of the replica, before its outcome.
  ReplicaProber(event::Dispatcher& dispatcher, http::Client& client, const CallDialect& dialect,
                Callback on_probed, NoticeCallback on_notice);

  /// One at a time for a replica; a further one while one is under way does nothing.
  void send(const calls::ProbeReplicaEffect& effect);

 private:
  struct Probe {
    std::unique_ptr<http::ClientCall> call;
    int status = 0;
    bool refused = false;
  };

  void finish(const ReplicaId& replica, calls::ProbeOutcome outcome);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const CallDialect& dialect_;
  Callback on_probed_;
  NoticeCallback on_notice_;
  std::map<ReplicaId, std::shared_ptr<Probe>> probes_;
};

}  // namespace ferryrock::service_process
