#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "calls/call.h"
#include "calls/control_feed.h"
#include "calls/direct_paths.h"
#include "calls/expected_loads.h"
#include "calls/model_interests.h"
#include "calls/relay_routers.h"
#include "calls/replica_table.h"
#include "calls/retry_budget.h"
#include "calls/route_table.h"
#include "calls/stream_origin_client.h"
#include "calls/traffic_split.h"
#include "calls/wait_policy.h"
#include "common/event_log.h"
#include "common/random.h"
#include "quarantine/answered_traits.h"
#include "quarantine/crash_ledger.h"
#include "tenancy/quota_client.h"

namespace ferryrock::calls {

struct CallRouterSettings {
  ControlFeedSettings feed;
  RetryBudgetSettings retries;
  tenancy::QuotaTolerance quota_tolerance;
  std::size_t max_calls = 5'000;  ///< maximum number of open calls; further calls are refused
  quarantine::CrashLedgerSettings quarantine;
  std::uint64_t seed = 1;
};

/// Counters for metrics.
struct CallRouterCounts {
  std::uint64_t accepted = 0;
  std::uint64_t answered = 0;  ///< calls that ended with a response of a replica
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;  ///< streams aborted by the router
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t repeated_refusals = 0;  ///< refusals by a replica that the call had been sent to before
  std::uint64_t unproven_refusals = 0;  ///< responses whose status says, unproven, that the call didn't run
  std::uint64_t retry_budget_refused = 0;  ///< retries that the retry budget didn't allow
  std::uint64_t retry_credit_waits = 0;    ///< retries that waited for a credit of the retry budget
  std::uint64_t resumed = 0;
  std::uint64_t origins_known = 0;    ///< calls that resume a stream of which this router knew the origin
  std::uint64_t origins_asked = 0;    ///< calls that resume a stream of which a member knew the origin
  std::uint64_t origins_unknown = 0;  ///< refused: no one knows what began the stream that the call resumes
  std::uint64_t version_gone = 0;  ///< streams that no replica of the version that began them could continue
  std::uint64_t caller_gone = 0;
  std::uint64_t unknown_keys = 0;        ///< refused: no key, or a key that belongs to no tenant
  std::uint64_t unproved = 0;            ///< refused: the catalog isn't proven to be current
  std::uint64_t quota_spent = 0;         ///< refused: the tenant's quota is used up
  std::uint64_t quota_waits = 0;         ///< calls that waited for quota credit from the leader
  std::uint64_t quota_undecided = 0;     ///< refused: no leader was available to decide on their credit
  std::uint64_t replica_crashes = 0;     ///< replicas found terminated after they broke off a call
  std::uint64_t quarantined = 0;         ///< refused: too many replicas crashed while running the call
  std::uint64_t traits_quarantined = 0;  ///< part of `quarantined`: because of a trait of the call
  std::uint64_t trials = 0;              ///< calls sent to test whether a quarantined trait still crashes
  std::uint64_t backoffs = 0;            ///< responses in which a replica requested a backoff
  std::uint64_t leaving_notices = 0;     ///< responses in which a replica announced that it is draining
  std::uint64_t backoff_waits = 0;       ///< calls that waited for the end of a backoff
  std::uint64_t backoff_refused = 0;     ///< refused: all replicas that could run the call are in a backoff
  std::uint64_t limit_changes = 0;       ///< number of times that a replica's rate limit was set or changed
  std::uint64_t limit_waits = 0;         ///< calls that waited for credit under a replica's rate limit
  std::uint64_t limit_refused = 0;       ///< refused: no replica has credit left under its rate limit
  std::uint64_t brittle_changes = 0;     ///< number of times that a replica began to state that it is brittle
  std::uint64_t partitions = 0;          ///< number of times that the router found itself partitioned
  std::uint64_t relayed = 0;             ///< attempts sent through other routers
  std::uint64_t relay_failures = 0;      ///< part of `relayed` that no relay sent to a replica
  std::uint64_t unknown_notice_headers = 0;  ///< responses with a replica header that this build doesn't know
};

/// Router of calls as pure logic without I/O. Every call gets exactly one final response (a delivered
/// response, a finished or aborted stream, or a refusal) unless its caller disconnects first. Not
/// thread-safe; used by one thread.
class CallRouter {
 public:
  CallRouter(const CallRouterSettings& settings, EventLog& log, TimePoint now);

  Effects onCall(CallRequest request, TimePoint now);
  Effects onCallerGone(CallNumber call, TimePoint now);

  /// Events of attempts. Events of attempts that have already ended are ignored.
  Effects onAnswer(AttemptNumber attempt, const AnswerSummary& answer, TimePoint now);
  Effects onStreamEvent(AttemptNumber attempt, std::optional<std::uint64_t> id, std::string bytes,
                        TimePoint now);
  Effects onStreamEnd(AttemptNumber attempt, TimePoint now) { return onStreamEnd(attempt, false, now); }
  /// ends_with_connection: see AnswerSummary.
  Effects onStreamEnd(AttemptNumber attempt, bool ends_with_connection, TimePoint now);
  Effects onFailure(AttemptNumber attempt, AttemptFailure failure, const std::string& reason, TimePoint now);

  /// Handles the headers of the attempt's response. Must be called before the attempt's other events.
  Effects onHead(AttemptNumber attempt, const ReplicaNotice& notice, TimePoint now);
  /// Handles the headers of any other response of this replica.
  Effects onNotice(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);

  /// Handles that reading the attempt's stream pauses, since the caller reads more slowly than the replica
  /// writes, or goes on. A pause says nothing of the replica or of the links to it.
  void onReadingPaused(AttemptNumber attempt);
  void onReadingResumed(AttemptNumber attempt, TimePoint now);

  /// Handles the result of a ProbeReplicaEffect.
  Effects onProbed(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now);

  Effects receive(const wire::Envelope& envelope, TimePoint now);
  Effects tick(TimePoint now);
  TimePoint nextDeadline() const;

  /// Starts draining: control is notified to direct callers to other routers. Calls that still arrive are
  /// served; after refuse_from, only those whose deadline is before `end`. This holds for all calls that
  /// would be sent to a replica then, and haven't run before.
  Effects beginDrain(TimePoint refuse_from, TimePoint end, TimePoint now);
  /// Ends draining: every call that is still open gets its final response at once.
  Effects endDrain(TimePoint now);
  bool drained() const { return calls_.empty(); }
  /// True once a catalog is in force, unless the router is draining.
  bool ready() const { return routes_ != nullptr && !draining_; }
  void addSeeds(const std::vector<NodeName>& seeds) { feed_.addSeeds(seeds); }

  /// Addresses that callers may connect to, including this router unless it is draining.
  std::vector<std::string> directory() const;
  CatalogVersion catalogVersion() const { return routes_ ? routes_->version() : CatalogVersion{}; }
  const wire::CallLimits* limits() const { return routes_ ? &routes_->catalog().limits : nullptr; }
  const CallRouterCounts& counts() const { return counts_; }
  const tenancy::QuotaClientCounts& quotaCounts() const { return quota_.counts(); }
  std::size_t openCalls() const { return calls_.size(); }
  std::size_t knownReplicas() const { return replicas_.size(); }
  const ReplicaNotices& replicaNotices() const { return replicas_.notices(); }
  /// True if the router reaches no replica over its own connections.
  bool isPartitioned() const;
  /// Sets the address at which this router relays attempts of other routers, "host:port".
  void setRelayAddress(std::string address) { feed_.setRelayAddress(std::move(address)); }
  /// True if this router relays attempts of other routers: it reaches some replica and isn't draining.
  bool relaysAttempts() const { return !draining_ && !isPartitioned(); }
  /// False if this router knows that it can't connect to the replica at this address.
  bool reachesReplicaAt(const std::string& address, TimePoint now) const;
  /// True if a refused connection to this address shows that the replica has terminated, and not that this
  /// router's own links to the service's replicas are at fault.
  bool trustsRefusal(const std::string& address) const;
  /// Handles that a relayed attempt of another router has reached the replica at this address, or couldn't.
  Effects onRelayedForOther(const std::string& replica_address, bool reached, TimePoint now);
  const BrittleReplicas& brittleReplicas() const { return replicas_.brittle(); }
  const ReplicaLimits& replicaLimits() const { return replicas_.limits(); }
  /// Time at which a leader last confirmed the current catalog or sent a newer one; nullopt: never.
  std::optional<TimePoint> lastControlContact() const { return feed_.lastLeaderContact(); }
  const std::set<NodeName>& controlMembers() const { return feed_.members(); }
  const tenancy::CatalogProof& catalogProof() const { return feed_.proof(); }
  const quarantine::CrashLedger& crashLedger() const { return crashes_; }

 private:
  struct Attempt {
    AttemptNumber number;
    ReplicaId replica;
    std::optional<NodeName> relay;  ///< router that sends it to the replica; nullopt: this one
    bool repeated = false;          ///< the call was sent to the replica's address before
    TimePoint sent{};
    std::uint64_t pending_prefill_tokens = 0;  ///< in the replica's prefill backlog until the first progress
    std::optional<RetryCharge> charge;         ///< what of the retry budget it was charged to
    bool with_credit = false;           ///< the leader granted it a credit under the replica's rate limit
    std::uint64_t reopening_round = 0;  ///< backoff round that the attempt probes; 0: none, or accepted
    bool has_head = false;              ///< the head of the response has arrived
    std::uint64_t events = 0;           ///< number of events that the replica has sent
    int measured_events = 0;            ///< number of events since measured_since
    TimePoint measured_since{};
  };
  /// Credit under the rate limit of a replica.
  struct LimitCredit {
    ReplicaId replica;
    TimePoint valid_from{};
  };
  /// State of a call's requests for such a credit.
  struct CreditSearch {
    std::optional<std::uint64_t> pending_request;  ///< number of the pending request
    ReplicaId requested_from;                      ///< replica that the pending request is for
    std::optional<LimitCredit> granted;            ///< not used yet
    std::set<ReplicaId> refused;        ///< replicas that refused credit for the time the call can wait
    std::optional<TimePoint> opens_at;  ///< earliest time of a credit from one of `refused`
  };
  struct Call {
    CallRequest request;
    std::vector<quarantine::Suspect> traits;
    std::optional<wire::CallFingerprint> trial_of;  ///< quarantined trait that the call tests
    std::optional<TimePoint> trial_deadline;        ///< limit of the wait for the grant of a trial
    std::shared_ptr<const RouteTable> routes;       ///< keeps `route` valid
    const wire::CallRoute* route = nullptr;
    ReplicaNeed need;
    TimePoint arrived{};
    TimePoint deadline{};
    TimePoint wait_deadline{};          ///< limit of the wait for a replica
    std::optional<TimePoint> retry_at;  ///< next time at which a replica is looked for
    std::optional<Attempt> attempt;
    std::set<std::string> addresses;            ///< of replicas that the call was sent to
    CreditSearch credit;                        ///< credit under replica rate limits
    std::optional<TenantName> tenant;           ///< owner of the call's key
    std::int64_t charged = 0;                   ///< amount charged to the tenant's quota
    std::uint64_t account = 0;                  ///< account that was charged, see tenancy::QuotaReply
    bool charged_attempt_may_have_run = false;  ///< the attempt that the charge covers may have run
    std::uint32_t priority = 0;                 ///< 0 is the highest priority
    std::uint32_t attempts = 0;                 ///< attempts that may have run the call
    std::uint32_t refusals = 0;                 ///< attempts that replicas refused without running the call
    std::uint32_t crashed_attempts = 0;         ///< number of `attempts` whose replica has crashed
    std::optional<ReplicaId> probed_replica;    ///< replica being probed, which broke off the call
    std::string failure_reason;                 ///< reason of the last failed attempt
    std::optional<wire::StreamOrigin> origin;   ///< what the stream began at; set together with need.source
    std::uint32_t arrivals = 0;  ///< attempts that may have arrived at a replica, including the running one
    std::optional<TimePoint> credit_deadline;  ///< limit of the wait for a credit of the retry budget
    bool demand_expedited = false;
    SendingRecord sendings;
    bool started = false;  ///< the headers of the stream were forwarded to the caller
    std::optional<std::uint64_t> last_event;
    TimePoint last_event_at{};
    Duration longest_gap{};  ///< longest gap between events forwarded to the caller
    ResultCode last_failure = ResultCode::NoReplica;
    TimePoint timer{};  ///< current entry in timers_
  };
  using CallPointer = std::map<CallNumber, Call>::iterator;
  /// A call that a replica broke off, or may have. It may have ended before the probe does.
  struct ProbedCall {
    CallNumber number;
    wire::CallFingerprint fingerprint;
    std::vector<quarantine::Suspect> traits;
    bool has_head = false;   ///< the head of the response had arrived
    bool answering = false;  ///< events of the attempt had arrived
    /// The replica didn't break the call off: it answered it, and the response ended with the connection.
    bool answered = false;
    RequestId id{};
  };
  /// A pending probe, with the calls that the replica broke off.
  struct PendingProbe {
    ServiceName service;
    std::string address;
    bool relayed = false;
    bool asked_relay = false;
    std::vector<ProbedCall> calls;
  };
  /// Grant of the leader to test a quarantined trait with one call.
  struct TrialGrant {
    TimePoint valid_until{};
    std::optional<CallNumber> call;  ///< the call that is to use it
  };

  /// Looks up the call's route in the current catalog and starts processing the call.
  void routeCall(CallPointer call, TimePoint now);
  /// Refuses a call that another router can take, if it may not end before the end of the drain. Returns true
  /// if it did.
  bool refuseAfterDrain(CallPointer call, TimePoint now);
  /// Continues a call that its tenant is allowed to run. A quarantined call is refused before it counts as
  /// demand for its model.
  void beginCall(CallPointer call, TimePoint now);
  // call_router_tenants.cc
  /// Identifies the tenant by the call's key. Returns false if the call was refused or waits for a proof of
  /// the catalog.
  bool identifyTenant(CallPointer call, const wire::CallRoute& route, const wire::Tenant*& tenant,
                      TimePoint now);
  void refuseUnprovenCatalog(CallPointer call, TimePoint now);
  /// Checks that the key still belongs to the tenant and that the catalog is still proven; otherwise refuses
  /// the call and returns false.
  bool revalidateTenant(CallPointer call, TimePoint now);
  /// Charges the tenant's quota. Returns false if the call was refused or waits for credit.
  bool charge(CallPointer call, const wire::Tenant& tenant, TimePoint now);
  void onQuotaReply(CallPointer call, const tenancy::QuotaReply& reply, TimePoint now);
  void acceptQuotaAnswer(const NodeName& from, const wire::QuotaAnswer& answer, TimePoint now);
  void resolveQuotas(const std::vector<tenancy::QuotaRequestOutcome>& resolved, TimePoint now);
  /// Records that the last attempt may have run. A further attempt is charged to the tenant's quota again.
  static void recordPossibleRun(Call& call);
  /// Charges the quota for an attempt that follows one which may have run: the quota counts what replicas run
  /// for the tenant, not what callers request.
  void chargeRetry(Call& call, TimePoint now);
  /// Refunds the quota charge of a call that certainly doesn't run.
  void returnCredit(Call& call, TimePoint now);
  void sendQuotaUse(TimePoint now);
  void routeUnroutedCalls(TimePoint now);
  void dispatch(CallPointer call, TimePoint now);
  void sendTo(CallPointer call, const Choice& choice, std::optional<RetryCharge> charge, TimePoint now);
  void logReopening(const ReplicaId& replica, const ReplicaNotices::Reopening& reopening);
  void waitForReplica(CallPointer call, const Choice& choice, TimePoint now);
  static WaitingCall waitingCall(const Call& call);
  /// Refuses the call with a retry time, if the caller is served better that way: at that time its model is
  /// expected to be loaded, or a replica to accept calls again. Returns true if the call has ended.
  bool refuseWithRetryTime(CallPointer call, const Choice& choice, TimePoint now);
  /// Returns the retry time for a caller whose call was refused because no replica accepted it.
  Duration retryTimeAfterRefusals(const Call& call, TimePoint now);
  void dispatchWaiting(TimePoint now);
  /// Returns the call of the attempt; nullopt if the attempt has ended.
  std::optional<CallPointer> findCall(AttemptNumber attempt);
  Replica* release(Call& call);
  // call_router_paths.cc
  /// Determines how replicas can be reached now.
  void updatePaths(TimePoint now);
  /// Records that bytes of the attempt's replica have arrived.
  void recordProgress(const Call& call, TimePoint now);
  /// Records that the attempt certainly wasn't sent, or that its connection broke.
  void recordPathFailure(const Attempt& attempt, AttemptFailure failure, const ServiceName& service,
                         const std::string& address, TimePoint now);
  /// Probes the connection to a replica that couldn't be reached, at no caller's expense.
  void probePaths(TimePoint now);
  TimePoint nextPathProbe() const;
  /// Ends a call whose caller has events of a stream that no replica may continue. Returns true if it has
  /// ended.
  bool refuseWithoutVersion(CallPointer call, const Choice& choice, TimePoint now);
  /// Refuses a call whose replicas can't be reached by any path, if another router may serve it. Returns true
  /// if the call has ended.
  bool refuseUnreachable(CallPointer call, const Choice& choice, TimePoint now);
  /// Returns a relay to replicas of the service; nullopt: none.
  std::optional<Relay> chooseRelay(const ServiceName& service, TimePoint now) const;
  bool isSuspect(const ServiceName& service, TimePoint now) const;
  /// True if the router has open connections to other replicas of the service, which a partition that resets
  /// connections would have closed.
  bool hasOpenConnections(const ServiceName& service, const ReplicaId& other_than) const;
  /// Called when the replica has accepted the attempt and runs it.
  void onAttemptAccepted(Attempt& attempt);
  // call_router_limits.cc
  /// Selects the call's credit if it may be used now; an expired credit is dropped.
  void selectCredit(Call& call, TimePoint now);
  /// Requests credit under the rate limit of a replica that hasn't refused it yet.
  void obtainCredit(CallPointer call, const Choice& choice, TimePoint now);
  /// Consumes the call's credit, or the router's local allowance, when the call is sent.
  void consumeCredit(Call& call, Attempt& attempt, TimePoint now);
  /// Releases the call's credit. A pending request is abandoned and an unused credit is returned to the
  /// leader.
  void releaseCredit(Call& call);
  void resolveCredits(const std::vector<LimitRequestOutcome>& resolved, TimePoint now);
  void resolveCredit(CallPointer call, const LimitRequestOutcome& resolved, TimePoint now);
  void sendLimitRequest(TimePoint now);
  // call_router_crashes.cc
  /// Starts a probe of the replica that broke off the call, unless one is pending.
  void probe(Call& call, const Attempt& attempt, const std::string& address, TimePoint now);
  /// Continues a probe whose outcome decides nothing yet: over another path. Returns false if the outcome is
  /// final.
  bool probeFurther(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now);
  void recordReplicaCrash(const ReplicaId& replica, const std::vector<ProbedCall>& calls, TimePoint now);
  /// Records the crash for the traits of calls that the replica hadn't begun to answer.
  void recordTraitCrashes(const ReplicaId& replica, const std::vector<ProbedCall>& calls, TimePoint now,
                          std::vector<wire::CrashRecord>& new_records);
  /// Returns the probe of the replica, which is started unless it is pending.
  PendingProbe& startProbe(const ServiceName& service, const ReplicaId& replica, const std::string& address,
                           TimePoint now);
  /// Records that the call ran to completion, which clears it and the given traits of suspicion. If the
  /// response ended with its connection, the replica is probed first: a crash ends a connection too.
  void recordAnswer(const Call& call, const std::vector<quarantine::Suspect>& traits, const Replica* replica,
                    bool ends_with_connection, TimePoint now);
  void recordCompletedRun(const wire::CallFingerprint& fingerprint, const RequestId& request, TimePoint now);
  /// Records that a replica has begun to answer the call, which clears its traits of suspicion.
  void recordBegunAnswer(const std::vector<quarantine::Suspect>& traits, const RequestId& request,
                         TimePoint now);
  bool isSuspected(const Call& call) const;
  void applyCrashRecords(const NodeName& from, const wire::CrashRecords& records, TimePoint now);
  /// Restricts a call that would be quarantined after one more crash to replicas of its own. Returns true if
  /// the call waits until all routers know the other suspected calls, with which it must not share a replica.
  bool waitForTrial(CallPointer call, TimePoint now);
  /// Ends the calls with this fingerprint, except streams that have delivered events.
  void enforceQuarantine(const wire::CallFingerprint& fingerprint, TimePoint now);
  /// The quarantined suspects among the call and its traits, without the trait that it tests.
  std::vector<quarantine::Suspect> quarantinedSuspects(const Call& call) const;
  /// suspects: not empty.
  void refuseQuarantined(CallPointer call, const std::vector<quarantine::Suspect>& suspects, TimePoint now);
  // call_router_trials.cc
  /// Returns true if the call may run, as far as quarantines are concerned. Otherwise it was refused, or
  /// waits for the grant of a trial.
  bool passQuarantine(CallPointer call, TimePoint now);
  /// Returns the trait that the call can test, which must be the only quarantined suspect of the call.
  static const quarantine::Suspect* testedBy(const std::vector<quarantine::Suspect>& suspects);
  /// Returns true if the call uses a grant, or asks for one and waits.
  bool joinTrial(CallPointer call, const quarantine::Suspect& trait, TimePoint now);
  /// True if the leader may grant a trial of the trait now.
  bool mayRequestTrial(const wire::CallFingerprint& trait, TimePoint now) const;
  void applyTrialGrants(const wire::CrashRecords& records, TimePoint now);
  /// Spends the grant of the call that is sent.
  void spendTrialGrant(Call& call);
  void sendCrashRecords(const std::vector<wire::CrashRecord>& records);
  /// sent: time at which the call that was answered was sent; nullopt: unknown.
  void applyNotice(const ReplicaId& replica, const ReplicaNotice& notice, std::optional<TimePoint> sent,
                   TimePoint now);
  void applyLimit(const ReplicaId& replica, const ReplicaNotice& notice, std::optional<TimePoint> sent,
                  TimePoint now);
  /// Records whether the replica is brittle.
  void applyBrittleness(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);
  /// Counts and logs headers that are malformed or unknown.
  void logUnreadableHeaders(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);
  void recordGap(Call& call, TimePoint now);
  // call_router_streams.cc
  /// True if the route sends calls to the service.
  static bool routesTo(const wire::CallRoute& route, const ServiceName& service);
  void refuseVersionGone(CallPointer call, const std::string& detail, TimePoint now);
  /// True if the caller has events of the stream already.
  static bool resumesStream(const Call& call);
  /// Finds what the stream began at. Returns false if the call waits for the members' answers or was refused.
  bool findSource(CallPointer call, TimePoint now);
  static void setOrigin(Call& call, const wire::StreamOrigin& origin);
  void resolveOrigin(const StreamOriginAnswer& answer, TimePoint now);
  void refuseUnknownOrigin(CallPointer call, const std::string& detail, std::optional<Duration> retry_after,
                           TimePoint now);
  void logResumedStream(const Call& call, const Replica& replica);
  /// Records what the stream began at, when its first event arrives.
  void recordSource(Call& call, TimePoint now);
  /// Removes the prompt from the replica's prefill backlog.
  void onPromptPrefilled(Attempt& attempt);
  /// reached_replica: the attempt was refused by a replica, rather than not sent to one.
  void retryNotRun(CallPointer call, ResultCode reason, bool reached_replica, TimePoint now);
  void retryPossiblyRun(CallPointer call, ResultCode reason, const std::string& detail, TimePoint now);
  void recordStreamDuration(const Call& call, TimePoint now);
  static bool isRepeatable(const Call& call);
  static bool mayRetry(const Call& call);
  /// True if the retry budget covers another attempt, or may cover it soon. The attempt is charged when it is
  /// sent.
  bool retryBudgetAllows(const Call& call, TimePoint now);
  /// Charges the attempt that is about to be sent. Returns false if the call waits for a credit or was
  /// refused.
  bool coverRetry(CallPointer call, std::optional<RetryCharge>& charge, TimePoint now);
  /// Sends a call again, once the retry budget covers it.
  void dispatchRetry(CallPointer call, TimePoint now);
  /// Lets the call wait for a credit of the retry budget, or refuses it if none is expected.
  void awaitRetryCredit(CallPointer call, TimePoint now);
  /// Sends the retries that have waited for credits of these services, or refuses them.
  void resolveRetryCredits(const std::set<ServiceName>& services, TimePoint now);
  /// Number of calls that wait for a credit, by service.
  std::map<ServiceName, std::uint32_t> waitingRetries() const;
  /// Ends a call whose next attempt the retry budget doesn't cover.
  void refuseUncoveredRetry(CallPointer call, TimePoint now);
  /// Logs how much of the retry budget this router has used, while it uses or lacks any.
  void logRetryBudget(const ServiceName& service, TimePoint now);
  /// Ends a call whose replica gave a status that promises too much.
  void refuseUnproven(CallPointer call, const ReplicaId& replica, int status, TimePoint now);
  void deliver(CallPointer call, AttemptNumber attempt, int status, TimePoint now);
  void refuse(CallPointer call, ResultCode code, const std::string& detail,
              std::optional<Duration> retry_after, TimePoint now);
  void breakStream(CallPointer call, const std::string& reason, TimePoint now);
  /// Cancels the running attempt of the call and refuses the call.
  void abandon(CallPointer call, ResultCode code, const std::string& detail, TimePoint now);
  void startStream(CallPointer call, AttemptNumber attempt, TimePoint now);
  void erase(CallPointer call);
  void onTimer(CallPointer call, TimePoint now);
  void setTimer(CallPointer call);
  void applyUpdate(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now);
  /// Applies a catalog with a higher version, regardless of the member that sent it.
  void applyCatalog(const NodeName& from, const wire::ServiceCatalog& catalog,
                    std::optional<TimePoint> last_leader_contact, TimePoint now);
  void logTableChanges(const wire::ServiceUpdate& update, TimePoint now);
  std::vector<wire::ModelCallCounts> modelCalls(TimePoint now);
  void sendStatuses(TimePoint now);
  /// Logs that the router has become partitioned from the replicas, or that this has ended.
  void logPartition(TimePoint now);
  Effects finish(TimePoint now);

  CallRouterSettings settings_;
  EventLog& log_;
  Random random_;
  ControlFeed feed_;
  RetryBudget budget_;
  tenancy::QuotaClient quota_;
  ReplicaTable replicas_;
  std::map<ServiceName, DirectPaths> paths_;
  RelayRouters relays_;
  TimePoint next_path_probe_{};
  std::map<ServiceName, TimePoint> partitioned_since_;
  TrafficSplit split_;
  StreamOriginClient origins_;
  /// Calls that wait for the origin of the stream that they resume.
  std::map<RequestId, std::vector<CallNumber>> awaiting_origin_;
  ExpectedLoads loads_;
  ModelInterests interests_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<CallNumber, Call> calls_;
  std::map<AttemptNumber, CallNumber> attempts_;
  std::set<std::pair<TimePoint, CallNumber>> timers_;
  std::set<CallNumber> waiting_;
  std::set<CallNumber> unrouted_;               ///< waiting for the first catalog or its first proof
  std::set<CallNumber> awaiting_credit_;        ///< waiting for quota credit of their tenants
  std::set<CallNumber> awaiting_retry_credit_;  ///< waiting for a credit of the retry budget
  /// Calls by the number of their pending credit request.
  std::map<std::uint64_t, CallNumber> credit_requests_;
  /// Number of calls since the last report to the leader, by service, model and adapter.
  std::map<std::tuple<ServiceName, ModelName, std::string>, std::uint32_t> arrivals_;
  CallRouterCounts counts_;
  std::uint64_t table_changes_ = 0;  ///< changed entries of the replica table since it was last logged
  TimePoint next_table_log_{};
  TimePoint next_unreadable_log_{};
  std::map<ServiceName, TimePoint> next_retry_budget_log_;
  TimePoint started_at_;
  std::uint64_t next_attempt_ = 1;
  std::map<RouteName, Duration> stream_durations_;  ///< moving average of the duration of a route's streams
  quarantine::CrashLedger crashes_;
  quarantine::AnsweredTraits answered_traits_;
  std::map<wire::CallFingerprint, TrialGrant> trial_grants_;
  std::map<wire::CallFingerprint, TimePoint> next_trial_request_;
  /// Records what a probe over a connection of this router shows about its path to the replica.
  void recordProbedPath(const ReplicaId& replica, const PendingProbe& probe, ProbeOutcome outcome,
                        TimePoint now);
  std::map<ReplicaId, PendingProbe> pending_probes_;
  TimePoint next_crash_expiry_{};
  bool draining_ = false;
  TimePoint refuse_from_ = TimePoint::max();  ///< set while draining
  TimePoint drain_end_ = TimePoint::max();
  bool dispatch_pending_ = false;
  Effects effects_;
};

}  // namespace ferryrock::calls
