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
#include "calls/expected_loads.h"
#include "calls/model_interests.h"
#include "calls/replica_table.h"
#include "calls/retry_budget.h"
#include "calls/route_table.h"
#include "calls/traffic_split.h"
#include "calls/wait_policy.h"
#include "common/event_log.h"
#include "common/random.h"
#include "quarantine/crash_ledger.h"
#include "tenancy/quota_client.h"

namespace ferryrock::calls {

struct CallRouterSettings {
  ControlFeedSettings feed;
  RetryBudgetSettings retries;
  tenancy::QuotaTolerance quota_tolerance;
  std::size_t max_calls = 5'000;  ///< at once; further ones are refused
  quarantine::CrashLedgerSettings quarantine;
  std::uint64_t seed = 1;
};

/// Counts for metrics.
struct CallRouterCounts {
  std::uint64_t accepted = 0;
  std::uint64_t answered = 0;  ///< with a replica's answer
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;  ///< streams
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t caller_gone = 0;
  std::uint64_t unknown_keys = 0;     ///< calls without a key that a tenant holds
  std::uint64_t unproved = 0;         ///< refused: the catalog isn't proved
  std::uint64_t quota_spent = 0;      ///< refused: the tenant's quota is used up
  std::uint64_t quota_asked = 0;      ///< credit was asked for before they ran
  std::uint64_t quota_unknown = 0;    ///< refused: no leader decides on their credit
  std::uint64_t replica_ends = 0;     ///< replicas found ended after they broke a call off
  std::uint64_t quarantined = 0;      ///< refused: too many replicas ended under the call
  std::uint64_t backoffs = 0;         ///< refusals with a time without calls
  std::uint64_t leaving_told = 0;     ///< replicas said in an answer that they leave
  std::uint64_t backoff_waits = 0;    ///< calls that waited for the end of a backoff
  std::uint64_t backoff_refused = 0;  ///< refused: all replicas that could run them are in a backoff
  std::uint64_t limits_named = 0;     ///< times that a replica's limit began or changed
  std::uint64_t limit_waits = 0;      ///< calls that waited for credit under a replica's limit
  std::uint64_t limit_refused = 0;    ///< refused: no replica that could run them has room under its limit
  std::uint64_t unknown_notices = 0;  ///< answers with a header of the replicas' own that isn't known
};

/// One router of calls as logic without input or output. Every call gets exactly one final answer (an answer
/// delivered, a stream finished or broken, or a refusal) unless its caller leaves first. Used by one thread.
class CallRouter {
 public:
  CallRouter(const CallRouterSettings& settings, EventLog& log, TimePoint now);

  Effects onCall(CallRequest request, TimePoint now);
  Effects onCallerGone(CallNumber call, TimePoint now);

  /// Events of attempts; those of attempts that have ended are dropped.
  Effects onAnswer(AttemptNumber attempt, const AnswerSummary& answer, TimePoint now);
  Effects onStreamEvent(AttemptNumber attempt, std::optional<std::uint64_t> id, std::string bytes,
                        TimePoint now);
  Effects onStreamEnd(AttemptNumber attempt, TimePoint now);
  Effects onFailure(AttemptNumber attempt, AttemptFailure failure, const std::string& reason, TimePoint now);

  /// The head of the attempt's answer. Comes before the attempt's other events.
  Effects onHead(AttemptNumber attempt, const ReplicaNotice& notice, TimePoint now);
  /// The head of another answer of this replica.
  Effects onNotice(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);

  /// Answer to a ProbeReplicaEffect.
  Effects onProbed(const ReplicaId& replica, ProbeOutcome outcome, TimePoint now);

  Effects receive(const wire::Envelope& envelope, TimePoint now);
  Effects tick(TimePoint now);
  TimePoint nextDeadline() const;

  /// Callers are sent elsewhere from now on. Calls that come all the same are served, from refuse_from on
  /// only those that end before `end`.
  Effects beginDrain(TimePoint refuse_from, TimePoint end, TimePoint now);
  /// The stop can't wait longer: every call that is left gets its final answer.
  Effects endDrain(TimePoint now);
  bool drained() const { return calls_.empty(); }
  /// True once a catalog is in force and the router isn't draining.
  bool ready() const { return routes_ != nullptr && !draining_; }
  void addSeeds(const std::vector<NodeName>& seeds) { feed_.addSeeds(seeds); }

  /// Where callers may connect, this router among them unless it drains.
  std::vector<std::string> directory() const;
  CatalogVersion catalogVersion() const { return routes_ ? routes_->version() : CatalogVersion{}; }
  const wire::CallLimits* limits() const { return routes_ ? &routes_->catalog().limits : nullptr; }
  const CallRouterCounts& counts() const { return counts_; }
  std::size_t openCalls() const { return calls_.size(); }
  std::size_t knownReplicas() const { return replicas_.size(); }
  const ReplicaNotices& replicaNotices() const { return replicas_.notices(); }
  const ReplicaLimits& replicaLimits() const { return replicas_.limits(); }
  /// When a leader last confirmed the catalog in force or sent a newer one; nullopt: never.
  std::optional<TimePoint> controlHeard() const { return feed_.leaderHeard(); }
  const std::set<NodeName>& controlMembers() const { return feed_.members(); }
  const tenancy::CatalogProof& catalogProof() const { return feed_.proof(); }
  const quarantine::CrashLedger& crashLedger() const { return crashes_; }

 private:
  struct Attempt {
    AttemptNumber number;
    ReplicaId replica;
    TimePoint sent{};
    std::uint64_t unread_tokens = 0;  ///< counted at the replica until it shows a sign of life
    bool with_credit = false;         ///< of the leader, under its replica's limit
    std::uint64_t reopening = 0;      ///< round in which it reopens its replica; 0: none, or it was taken
    int paced_events = 0;             ///< since paced_since
    TimePoint paced_since{};
  };
  /// A credit under the limit of a replica.
  struct LimitCredit {
    ReplicaId replica;
    TimePoint from{};
  };
  /// A call's search for one.
  struct CreditSearch {
    std::optional<std::uint64_t> ask;    ///< under way
    ReplicaId asked;                     ///< for this replica
    std::optional<LimitCredit> granted;  ///< not used yet
    std::set<ReplicaId> refused;         ///< they have none in time,
    std::optional<TimePoint> opens_at;   ///< and the first of them has one then
  };
  struct Call {
    CallRequest request;
    std::shared_ptr<const RouteTable> routes;  ///< keeps the route alive
    const wire::CallRoute* route = nullptr;
    ReplicaNeed need;
    TimePoint arrived{};
    TimePoint deadline{};
    TimePoint waits_until{};         ///< for a replica
    std::optional<TimePoint> retry;  ///< when to look for a replica again
    std::optional<Attempt> attempt;
    CreditSearch credit;                    ///< under the limits of replicas
    std::optional<TenantName> tenant;       ///< that holds the call's key
    std::int64_t charged = 0;               ///< to the tenant's quota
    std::uint64_t account = 0;              ///< that was charged, see tenancy::QuotaReply
    bool charge_ran = false;                ///< a sending that the charge stands for may have run
    std::uint32_t priority = 0;             ///< 0 is the most urgent
    std::uint32_t attempts = 0;             ///< replicas that may have run it
    std::uint32_t unrun = 0;                ///< sendings that certainly didn't run
    std::uint32_t ended = 0;                ///< of `attempts`, those whose replica has ended
    std::optional<ReplicaId> awaits_probe;  ///< of the replica that broke it off; then it may go on
    std::string failure;                    ///< of the last attempt
    bool counted_missing = false;
    bool may_have_run = false;
    bool started = false;  ///< the caller got the head of a stream
    std::optional<std::uint64_t> last_event;
    TimePoint last_event_at{};
    Duration longest_pause{};  ///< between events that went to the caller
    ResultCode last_failure = ResultCode::NoReplica;
    TimePoint timer{};  ///< as it stands in timers_
  };
  using CallPointer = std::map<CallNumber, Call>::iterator;
  /// A call that a replica broke off; it may have ended since.
  struct ProbedCall {
    CallNumber number;
    wire::CallFingerprint fingerprint;
  };

  /// Finds the call's route in the catalog in force and sends it on its way.
  void routeCall(CallPointer call, TimePoint now);
  /// Continues with a call whose tenant may run it. One that is quarantined is refused before it counts as
  /// demand for its model.
  void beginCall(CallPointer call, TimePoint now);
  // call_router_tenants.cc
  /// Finds the tenant by the key; false: the call was refused, or waits for a proof of the catalog.
  bool identifyTenant(CallPointer call, const wire::CallRoute& route, const wire::Tenant*& tenant,
                      TimePoint now);
  void refuseUnproved(CallPointer call, TimePoint now);
  /// The key is still a tenant's and the catalog still proved; else the call is refused.
  bool mayStillRun(CallPointer call, TimePoint now);
  /// Charges the tenant's quota; false: the call was refused, or waits for credit.
  bool charge(CallPointer call, const wire::Tenant& tenant, TimePoint now);
  void onQuotaReply(CallPointer call, const tenancy::QuotaReply& reply, TimePoint now);
  void resolveQuotas(const std::vector<tenancy::QuotaResolved>& resolved, TimePoint now);
  /// The call may have run; another sending of it will be one more use of the tenant's quota.
  static void noteMayHaveRun(Call& call);
  /// A sending after one that may have run: what the replicas of the tenant run counts, not what was asked.
  void chargeAnotherRun(Call& call, TimePoint now);
  /// A call that is certain not to run gives its credit back.
  void giveBack(Call& call, TimePoint now);
  void tellQuotaUse(TimePoint now);
  void routeWaiting(TimePoint now);
  void dispatch(CallPointer call, TimePoint now);
  void sendTo(CallPointer call, Replica& replica, const std::optional<balance::FleetUse>& use, TimePoint now);
  void noteReopening(const ReplicaId& replica, const ReplicaNotices::Reopening& reopening);
  void waitForReplica(CallPointer call, const Choice& choice, TimePoint now);
  static WaitingCall waitingCall(const Call& call);
  /// Sends the caller away until its model is loaded, or until a replica takes calls again, if that serves it
  /// better; true if the call has ended.
  bool sendAway(CallPointer call, const Choice& choice, TimePoint now);
  /// After which time a caller may come back who is refused since replicas took the call nowhere.
  Duration comeBackAfterRefusals(const Call& call, TimePoint now);
  void dispatchWaiting(TimePoint now);
  /// Ends the attempt's books; nullopt: it isn't known any more.
  std::optional<CallPointer> callOf(AttemptNumber attempt);
  Replica* release(Call& call);
  /// The replica runs the attempt.
  void noteTaken(Attempt& attempt);
  // call_router_limits.cc
  /// Lets the call use its credit if it has one by now; one that has lapsed is dropped.
  void useCredit(Call& call, TimePoint now);
  /// Asks for credit under the limit of a replica that hasn't refused it yet.
  void seekCredit(CallPointer call, const Choice& choice, TimePoint now);
  /// The call is sent: with its credit, or with what this router may send without one.
  void spendCredit(Call& call, Attempt& attempt, TimePoint now);
  /// The call needs none any more. What it was granted and didn't use is given back.
  void dropCredit(Call& call);
  void resolveCredits(const std::vector<LimitResolved>& resolved, TimePoint now);
  void resolveCredit(CallPointer call, const LimitResolved& resolved, TimePoint now);
  void tellLimits(TimePoint now);
  // call_router_crashes.cc
  /// Has the replica that broke the call off probed.
  void probe(Call& call, const ReplicaId& replica, const std::string& address);
  void noteReplicaEnd(const ReplicaId& replica, const std::vector<ProbedCall>& calls, TimePoint now);
  /// The call was run to an answer, so it ends no replicas.
  void noteRun(const Call& call, TimePoint now);
  void takeCrashRecords(const NodeName& from, const wire::CrashRecords& records, TimePoint now);
  /// Keeps a call that one more end quarantines to replicas of its own. True: it waits until all routers can
  /// know of the calls that it must not meet there.
  bool waitForTrial(CallPointer call, TimePoint now);
  /// Ends the calls of this fingerprint that no replica shows progress on.
  void enforceQuarantine(const wire::CallFingerprint& fingerprint, TimePoint now);
  void refuseQuarantined(CallPointer call, TimePoint now);
  void tellMembers(const std::vector<wire::CrashRecord>& records);
  /// sent: when the answered call left; nullopt: not known.
  void takeNotice(const ReplicaId& replica, const ReplicaNotice& notice, std::optional<TimePoint> sent,
                  TimePoint now);
  void takeLimit(const ReplicaId& replica, const ReplicaNotice& notice, std::optional<TimePoint> sent,
                 TimePoint now);
  /// What can't be read of a notice, or isn't known.
  void noteUnread(const ReplicaId& replica, const ReplicaNotice& notice, TimePoint now);
  void notePause(Call& call, TimePoint now);
  /// The attempt's prompt has been read.
  void notePromptRead(Attempt& attempt);
  /// counts: the sending reached a replica, so that the next one is paid from the retry budget.
  void retryUnrun(CallPointer call, ResultCode reason, bool counts, TimePoint now);
  void retryMaybeRun(CallPointer call, ResultCode reason, const std::string& detail, TimePoint now);
  void noteStreamTime(const Call& call, TimePoint now);
  static bool isRepeatable(const Call& call);
  static bool mayRunAgain(const Call& call);
  void deliver(CallPointer call, AttemptNumber attempt, int status, TimePoint now);
  void refuse(CallPointer call, ResultCode code, const std::string& detail,
              std::optional<Duration> retry_after, TimePoint now);
  void breakStream(CallPointer call, const std::string& reason, TimePoint now);
  /// Gives a call up whose replica may still have it.
  void abandon(CallPointer call, ResultCode code, const std::string& detail, TimePoint now);
  void startStream(CallPointer call, AttemptNumber attempt, TimePoint now);
  void erase(CallPointer call);
  void onTimer(CallPointer call, TimePoint now);
  void setTimer(CallPointer call);
  void applyUpdate(const NodeName& from, const wire::ServiceUpdate& update, TimePoint now);
  /// Versions go up only, whoever tells them.
  void takeCatalog(const NodeName& from, const wire::ServiceCatalog& catalog,
                   std::optional<TimePoint> leader_heard, TimePoint now);
  void noteTable(const wire::ServiceUpdate& update, TimePoint now);
  std::vector<wire::ModelWant> wants(TimePoint now);
  void sendStatuses(TimePoint now);
  Effects finish(TimePoint now);

  CallRouterSettings settings_;
  EventLog& log_;
  Random random_;
  ControlFeed feed_;
  RetryBudget budget_;
  tenancy::QuotaClient quota_;
  ReplicaTable replicas_;
  TrafficSplit split_;
  ExpectedLoads loads_;
  ModelInterests interests_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<CallNumber, Call> calls_;
  std::map<AttemptNumber, CallNumber> attempts_;
  std::set<std::pair<TimePoint, CallNumber>> timers_;
  std::set<CallNumber> waiting_;
  std::set<CallNumber> unrouted_;                   ///< wait for the first catalog, or its first proof
  std::set<CallNumber> awaiting_credit_;            ///< of their tenants
  std::map<std::uint64_t, CallNumber> limit_asks_;  ///< under way
  std::map<std::tuple<ServiceName, ModelName, std::string>, std::uint32_t> arrivals_;  ///< since last told
  CallRouterCounts counts_;
  std::uint64_t table_changes_ = 0;  ///< entries of the replica table changed since the last line of it
  TimePoint next_table_note_{};
  TimePoint next_unread_note_{};
  std::uint64_t next_attempt_ = 1;
  std::map<RouteName, Duration> stream_times_;  ///< that streams of a route took, as a moving mean
  quarantine::CrashLedger crashes_;
  std::map<ReplicaId, std::vector<ProbedCall>> probes_;  ///< under way, with the calls that it broke off
  TimePoint next_crash_expiry_{};
  bool draining_ = false;
  TimePoint refuse_from_ = TimePoint::max();  ///< while draining
  TimePoint drain_end_ = TimePoint::max();
  bool dispatch_wanted_ = false;
  Effects effects_;
};

}  // namespace ferryrock::calls
