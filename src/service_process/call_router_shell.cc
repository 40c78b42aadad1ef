#include "service_process/call_router_shell.h"

#include <utility>
#include <vector>

#include "process/shared_settings.h"
#include "service_process/client_budget_metrics.h"

namespace ferryrock::service_process {
namespace {

/// Responses must end this long before the time limit of a planned stop.
constexpr Duration kStopMargin = std::chrono::milliseconds(600);
/// Send queue limit per control member, in messages. The queue is short because each status report supersedes
/// the one before, so delayed reports are useless.
constexpr std::size_t kSendQueueLimit = 16;
constexpr std::size_t kReceiveQueueLimit = 64;
constexpr Duration kStopPollInterval = std::chrono::milliseconds(100);
/// Longer than callers keep an idle connection in use, so that the server doesn't close one that a caller is
/// about to reuse.
constexpr Duration kIdleTimeout = std::chrono::seconds(60);
/// Keys expire this long before the revocation limit, to allow for timer delay and clock drift.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(250);
/// Reading a stream from its replica pauses while this much of it waits for the caller.
constexpr std::size_t kMaxUnsentStreamBytes = std::size_t{256} << 10;
constexpr std::size_t kMaxCallBodyBytes = std::size_t{8} << 20;

calls::CallRouterSettings routerSettings(const CallRouterProcessSettings& settings) {
  calls::CallRouterSettings router;
  router.feed.router = settings.node;
  router.feed.zone = settings.zone;
  router.feed.address = settings.listen_calls;
  router.feed.incarnation = systemSeed();
  router.feed.seeds = settings.seedNodes();
  router.retries = settings.retries;
  router.quota_tolerance = settings.quota_tolerance;
  if (settings.key_revocation_limit) {
    router.feed.key_lifetime = *settings.key_revocation_limit - kRevocationMargin;
  }
  router.seed = router.feed.incarnation;
  return router;
}

http::ServerSettings serverSettings(const CallRouterProcessSettings& settings,
                                    std::shared_ptr<http::ClientBudget> budget) {
  http::ServerSettings server = process::listenSettings(settings.listen_calls, {}, kMaxCallBodyBytes);
  server.idle_timeout = kIdleTimeout;
  server.budget = std::move(budget);
  return server;
}

http::ServerSettings relaySettings(const CallRouterProcessSettings& settings,
                                   std::shared_ptr<http::ClientBudget> budget) {
  const std::string address =
      settings.listen_relay.empty() ? settings.internalAddress() : settings.listen_relay;
  http::ServerSettings server = process::listenSettings(address, {}, kMaxCallBodyBytes);
  server.idle_timeout = kIdleTimeout;
  server.budget = std::move(budget);
  return server;
}

}  // namespace

CallRouterShell::CallRouterShell(event::Dispatcher& dispatcher, CallRouterProcessSettings settings,
                                 const CallDialect& dialect, EventLog& log)
    : dispatcher_(dispatcher),
      settings_(std::move(settings)),
      log_(log),
      client_budget_(std::make_shared<http::ClientBudget>(settings_.clientLimits())),
      router_(routerSettings(settings_), log, dispatcher.timeSource().monotonicTime()) {
  timer_ = dispatcher_.createTimer([this] {
    armed_until_ = TimePoint::max();
    carryOut(router_.tick(now()));
  });
  stop_timer_ = dispatcher_.createTimer([this] { continueStop(); });
  transport::TransportSettings transport;
  transport.node = settings_.node;
  transport.high_water_mark = kSendQueueLimit;
  transport.receive_high_water_mark = kReceiveQueueLimit;
  transport_ = transport::createZeroMqTransport(
      dispatcher_, transport,
      [this](const wire::Envelope& envelope) { carryOut(router_.receive(envelope, now())); });
  connectControl();
  http_client_ = http::createClient(dispatcher_);
  client_ = std::make_unique<ReplicaClient>(dispatcher_, *http_client_, dialect, replicaCallbacks(),
                                            client_budget_);
  prober_ = std::make_unique<ReplicaProber>(
      dispatcher_, *http_client_, dialect,
      [this](const ReplicaId& replica, calls::ProbeOutcome outcome) {
        carryOut(router_.onProbed(replica, outcome, now()));
      },
      [this](const ReplicaId& replica, const calls::ReplicaNotice& notice) {
        carryOut(router_.onNotice(replica, notice, now()));
      });
  const http::ServerSettings relay = relaySettings(settings_, client_budget_);
  relay_server_ = std::make_unique<RelayServer>(dispatcher_, relay, *http_client_, client_->keepAliveLimits(),
                                                relayCallbacks(dialect), log_);
  router_.setRelayAddress(relay.address + ":" + std::to_string(relay_server_->server().port()));
  server_ = std::make_unique<CallServer>(dispatcher_, serverSettings(settings_, client_budget_), dialect,
                                         callerCallbacks());
  carryOut(router_.tick(now()));
}

CallRouterShell::~CallRouterShell() = default;

CallerCallbacks CallRouterShell::callerCallbacks() {
  return {[this](calls::CallRequest request) { carryOut(router_.onCall(std::move(request), now())); },
          [this](calls::CallNumber call) { carryOut(router_.onCallerGone(call, now())); }};
}

RelayCallbacks CallRouterShell::relayCallbacks(const CallDialect& dialect) {
  RelayCallbacks callbacks;
  callbacks.same_call = [&dialect](const http::Headers& request, const http::Headers& response) {
    return dialect.callIdOf(request) == dialect.callIdOf(response);
  };
  callbacks.accepts = [this] { return router_.relaysAttempts(); };
  callbacks.reaches = [this](const std::string& replica_address) {
    return router_.reachesReplicaAt(replica_address, now());
  };
  callbacks.trusts_refusal = [this](const std::string& replica_address) {
    return router_.trustsRefusal(replica_address);
  };
  callbacks.on_reached = [this](const std::string& replica_address) {
    carryOut(router_.onRelayedForOther(replica_address, true, now()));
  };
  callbacks.on_unreachable = [this](const std::string& replica_address) {
    carryOut(router_.onRelayedForOther(replica_address, false, now()));
  };
  return callbacks;
}

ReplicaCallbacks CallRouterShell::replicaCallbacks() {
  ReplicaCallbacks callbacks;
  callbacks.on_head = [this](calls::AttemptNumber attempt, const calls::ReplicaNotice& notice) {
    carryOut(router_.onHead(attempt, notice, now()));
  };
  callbacks.on_notice = [this](const ReplicaId& replica, const calls::ReplicaNotice& notice) {
    carryOut(router_.onNotice(replica, notice, now()));
  };
  callbacks.on_answer = [this](calls::AttemptNumber attempt, const calls::AnswerSummary& answer) {
    carryOut(router_.onAnswer(attempt, answer, now()));
  };
  callbacks.on_stream_event = [this](calls::AttemptNumber attempt, StreamEvent event) {
    carryOut(router_.onStreamEvent(attempt, event.id, std::move(event.bytes), now()));
  };
  callbacks.on_stream_end = [this](calls::AttemptNumber attempt, bool ends_with_connection) {
    carryOut(router_.onStreamEnd(attempt, ends_with_connection, now()));
  };
  callbacks.on_failure = [this](calls::AttemptNumber attempt, calls::AttemptFailure failure,
                                const std::string& reason) {
    carryOut(router_.onFailure(attempt, failure, reason, now()));
  };
  return callbacks;
}

void CallRouterShell::carryOut(const calls::Effects& effects) {
  for (const calls::Effect& effect : effects) {
    std::visit([this](const auto& typed) { carryOut(typed); }, effect);
  }
  if (router_.controlMembers().size() != connected_members_) {
    connectControl();
  }
  armTimer();
}

void CallRouterShell::carryOut(const calls::SendAttemptEffect& effect) {
  const CallContent* content = server_->contentOf(effect.call);
  if (content != nullptr) {
    client_->send(effect, *content);
  }
}

void CallRouterShell::carryOut(const calls::DeliverAnswerEffect& effect) {
  if (std::optional<HttpResponse> answer = client_->takeAnswer(effect.attempt)) {
    server_->deliver(effect.call, std::move(*answer));
  }
}

void CallRouterShell::carryOut(const calls::StartStreamEffect& effect) {
  if (const HttpResponse* head = client_->answerOf(effect.attempt)) {
    server_->start(effect.call, *head);
  }
}

void CallRouterShell::carryOut(const calls::PassEventEffect& effect) {
  server_->pass(effect.call, effect.bytes);
  if (server_->unsentBytes(effect.call) > kMaxUnsentStreamBytes && client_->pauseReading(effect.attempt)) {
    router_.onReadingPaused(effect.attempt);
    server_->onAllSent(effect.call, [this, attempt = effect.attempt] { resumeReading(attempt); });
  }
}

void CallRouterShell::resumeReading(calls::AttemptNumber attempt) {
  if (client_->resumeReading(attempt)) {
    router_.onReadingResumed(attempt, now());
  }
}

void CallRouterShell::carryOut(const calls::RenewConnectionEffect& effect) {
  transport_->renew(effect.member);
}

void CallRouterShell::connectControl() {
  std::vector<transport::Peer> peers;
  for (const NodeName& member : router_.controlMembers()) {
    peers.push_back({member, member.value, ""});
  }
  connected_members_ = peers.size();
  transport_->setPeers(std::move(peers));
}

/// Re-arms the timer only for an earlier deadline: a timer that fires too early costs less than setting it
/// after each event.
void CallRouterShell::armTimer() {
  const TimePoint deadline = router_.nextDeadline();
  if (deadline >= armed_until_) {
    return;
  }
  armed_until_ = deadline;
  const TimePoint time = now();
  timer_->enable(deadline > time ? deadline - time : Duration::zero());
}

void CallRouterShell::applySeeds(const CallRouterProcessSettings& fresh) {
  router_.addSeeds(fresh.seedNodes());
  connectControl();
  log_.write(LogLevel::Info, "process.reloaded", {{"seeds", static_cast<std::int64_t>(fresh.seeds.size())}});
}

void CallRouterShell::beginStop(event::Callback on_stopped) {
  if (stop_began_) {
    return;
  }
  stop_began_ = now();
  on_stopped_ = std::move(on_stopped);
  log_.write(LogLevel::Info, "process.stopping",
             {{"open_calls", static_cast<std::int64_t>(router_.openCalls())}});
  const TimePoint end = *stop_began_ + settings_.stop_limit;
  carryOut(router_.beginDrain(*stop_began_ + settings_.stop_accepts, end - kStopMargin, now()));
  server_->server().closeAfterResponses();
  continueStop();
}

void CallRouterShell::continueStop() {
  const Duration passed = now() - *stop_began_;
  if (passed >= settings_.stop_accepts && !std::exchange(listener_closed_, true)) {
    server_->server().stopListening();
    server_->server().closeIdleConnections();
    relay_server_->server().closeAfterResponses();
  }
  const bool out_of_time = passed >= settings_.stop_limit - kStopMargin / 2;
  if (out_of_time && !router_.drained()) {
    carryOut(router_.endDrain(now()));
    stop_timer_->enable(kStopPollInterval);
    return;
  }
  const bool lingered = passed >= settings_.stop_linger;
  const bool idle = router_.drained() && server_->server().openRequests() == 0 &&
                    relay_server_->server().openRequests() == 0;
  if ((lingered && idle) || out_of_time) {
    if (on_stopped_) {
      std::exchange(on_stopped_, nullptr)();
    }
    return;
  }
  stop_timer_->enable(kStopPollInterval);
}

std::string CallRouterShell::metricsText() {
  const calls::CallRouterCounts& counts = router_.counts();
  const auto set = [this](const char* name, const char* help, double value) {
    metrics_.gauge(name, help).set(value);
  };
  set("ferryrock_calls_accepted", "Calls that callers sent", static_cast<double>(counts.accepted));
  set("ferryrock_calls_answered", "Calls answered by a replica", static_cast<double>(counts.answered));
  set("ferryrock_calls_refused", "Calls refused by the router", static_cast<double>(counts.refused));
  set("ferryrock_calls_broken", "Streams broken off", static_cast<double>(counts.broken));
  set("ferryrock_calls_open", "Calls without a final answer", static_cast<double>(router_.openCalls()));
  set("ferryrock_call_attempts", "Sendings to replicas", static_cast<double>(counts.attempts));
  set("ferryrock_call_retries", "Sendings beyond the first", static_cast<double>(counts.retries));
  set("ferryrock_call_refusals_repeated", "Refusals by a replica that the call had been sent to before",
      static_cast<double>(counts.repeated_refusals));
  set("ferryrock_call_refusals_unproven",
      "Answers of replicas whose status says that the call didn't run, without a proof",
      static_cast<double>(counts.unproven_refusals));
  set("ferryrock_call_retries_refused", "Retries that the retry budget didn't allow",
      static_cast<double>(counts.retry_budget_refused));
  set("ferryrock_call_retries_asked", "Retries that waited for a credit of the retry budget",
      static_cast<double>(counts.retry_credit_waits));
  set("ferryrock_call_streams_resumed", "Streams that went on at another replica",
      static_cast<double>(counts.resumed));
  set("ferryrock_streams_resumed_known", "Calls that took up a stream whose origin this router knew",
      static_cast<double>(counts.origins_known));
  set("ferryrock_streams_resumed_asked", "Calls that took up a stream whose origin a member knew",
      static_cast<double>(counts.origins_asked));
  set("ferryrock_streams_origin_unknown", "Calls that took up a stream whose origin nobody knew",
      static_cast<double>(counts.origins_unknown));
  set("ferryrock_streams_version_gone",
      "Streams that no replica of the software version that began them could go on with",
      static_cast<double>(counts.version_gone));
  set("ferryrock_callers_gone", "Callers that left before their answer",
      static_cast<double>(counts.caller_gone));
  set("ferryrock_calls_unknown_key", "Calls without a key that a tenant holds",
      static_cast<double>(counts.unknown_keys));
  set("ferryrock_calls_unproved", "Calls refused since the catalog isn't proved to be the newest",
      static_cast<double>(counts.unproved));
  set("ferryrock_calls_quota_spent", "Calls refused since their tenant's quota is used up",
      static_cast<double>(counts.quota_spent));
  set("ferryrock_calls_quota_asked", "Calls whose credit was asked for before they ran",
      static_cast<double>(counts.quota_waits));
  set("ferryrock_calls_quota_unknown", "Calls refused since no leader decides on their tenant's quota",
      static_cast<double>(counts.quota_undecided));
  const tenancy::QuotaClientCounts& quota = router_.quotaCounts();
  set("ferryrock_calls_quota_unasked", "Calls with a quota that ran without asking the leader",
      static_cast<double>(quota.unasked));
  set("ferryrock_calls_quota_local", "Calls with a quota that ran without a leader",
      static_cast<double>(quota.local));
  set("ferryrock_calls_quota_reruns", "Further runs of calls with a quota",
      static_cast<double>(quota.reruns));
  set("ferryrock_quota_reports", "Full reports of quota usage to leaders",
      static_cast<double>(quota.reports));
  set("ferryrock_quota_reports_confirmed", "Full reports of quota usage that leaders confirmed",
      static_cast<double>(quota.confirmed_reports));
  set("ferryrock_replica_ends_seen", "Replicas found ended after they broke a call off",
      static_cast<double>(counts.replica_crashes));
  set("ferryrock_calls_refused_quarantined", "Calls refused since several replicas ended under them",
      static_cast<double>(counts.quarantined));
  set("ferryrock_calls_refused_trait", "Of those, calls refused since they hold a quarantined trait",
      static_cast<double>(counts.traits_quarantined));
  set("ferryrock_quarantine_trials", "Calls sent to test whether a quarantined trait still ends replicas",
      static_cast<double>(counts.trials));
  set("ferryrock_calls_quarantined",
      "Calls and traits kept away from replicas, since several ended under them",
      static_cast<double>(router_.crashLedger().quarantined().size()));
  set("ferryrock_replica_backoffs", "Times that a replica asked for a time without calls",
      static_cast<double>(counts.backoffs));
  set("ferryrock_replicas_leaving_told", "Replicas that said in an answer that they leave",
      static_cast<double>(counts.leaving_notices));
  set("ferryrock_calls_waited_for_backoff", "Calls that waited for the end of a replica's backoff",
      static_cast<double>(counts.backoff_waits));
  set("ferryrock_calls_refused_backoff", "Calls refused since all replicas for them were in a backoff",
      static_cast<double>(counts.backoff_refused));
  set("ferryrock_replicas_in_backoff", "Replicas that want no calls from this router just now",
      static_cast<double>(router_.replicaNotices().inBackoff(now())));
  set("ferryrock_replica_limits_named", "Times that a replica's limit for all routers began or changed",
      static_cast<double>(counts.limit_changes));
  set("ferryrock_replicas_limited", "Replicas that have a limit for all routers, as far as this one knows",
      static_cast<double>(router_.replicaLimits().size()));
  const calls::ReplicaLimitCounts& limits = router_.replicaLimits().counts();
  set("ferryrock_limit_asked", "Credits asked for under replicas' limits", static_cast<double>(limits.asked));
  set("ferryrock_limit_granted", "Of those, granted", static_cast<double>(limits.granted));
  set("ferryrock_limit_refused", "Of those, refused: no room in time", static_cast<double>(limits.refused));
  set("ferryrock_limit_unanswered", "Of those, not answered by a leader in time",
      static_cast<double>(limits.unanswered));
  set("ferryrock_limit_returned", "Credits that weren't used", static_cast<double>(limits.returned));
  set("ferryrock_limit_sent", "Sendings to replicas with a limit", static_cast<double>(limits.sent));
  set("ferryrock_limit_sent_alone", "Of those, without a leader, by this router's own part",
      static_cast<double>(limits.sent_locally));
  set("ferryrock_calls_waited_for_limit", "Calls that waited for credit under a replica's limit",
      static_cast<double>(counts.limit_waits));
  set("ferryrock_calls_refused_limit", "Calls refused since no replica for them had room under its limit",
      static_cast<double>(counts.limit_refused));
  set("ferryrock_router_partitioned", "1 while the router reaches no replica over its own connections",
      router_.isPartitioned() ? 1 : 0);
  set("ferryrock_router_partitions", "Times that the router reached no replica any more",
      static_cast<double>(counts.partitions));
  set("ferryrock_attempts_relayed", "Attempts sent through other routers",
      static_cast<double>(counts.relayed));
  set("ferryrock_attempts_relay_failed", "Of those, attempts that no router sent to a replica",
      static_cast<double>(counts.relay_failures));
  const RelayServerCounts& relay = relay_server_->counts();
  set("ferryrock_relay_forwarded", "Attempts of other routers that reached a replica through this one",
      static_cast<double>(relay.forwarded));
  set("ferryrock_relay_not_sent", "Attempts of other routers that reached no replica through this one",
      static_cast<double>(relay.not_sent));
  set("ferryrock_relay_broken", "Attempts of other routers that broke off without a response",
      static_cast<double>(relay.unknown));
  set("ferryrock_replicas_brittle", "Replicas that say that refusals crash them",
      static_cast<double>(router_.brittleReplicas().size()));
  set("ferryrock_replica_brittle_named", "Times that a replica began to say so",
      static_cast<double>(counts.brittle_changes));
  set("ferryrock_replica_notices_unknown", "Answers with a header of the replicas' own that isn't known",
      static_cast<double>(counts.unknown_notice_headers));
  setClientBudgetMetrics(metrics_, *client_budget_);
  const std::optional<TimePoint> proved = router_.catalogProof().provedAt();
  set("ferryrock_catalog_proved_seconds_ago", "Age of the proof that the catalog is the newest; -1: none",
      proved ? toSeconds(now() - *proved) : -1);
  set("ferryrock_catalog_version", "Version of the catalog in force",
      static_cast<double>(router_.catalogVersion().value));
  const std::optional<TimePoint> heard = router_.lastControlContact();
  set("ferryrock_control_heard_seconds_ago",
      "Since a leader confirmed the catalog in force or sent a newer one; -1: never",
      heard ? toSeconds(now() - *heard) : -1);
  set("ferryrock_replicas_known", "Replicas in the table", static_cast<double>(router_.knownReplicas()));
  return metrics_.serialize();
}

}  // namespace ferryrock::service_process
