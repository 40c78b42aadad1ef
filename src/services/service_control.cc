#include "services/service_control.h"

#include <algorithm>
#include <utility>

#include "consensus/membership.h"
#include "services/service_control_impl.h"

namespace ferryrock::services {
namespace {

constexpr Duration kMemberHelloInterval = std::chrono::milliseconds(500);
constexpr Duration kJoiningHelloInterval = std::chrono::milliseconds(200);
/// A process that stops waits for the answer to its hellos.
constexpr Duration kLeavingHelloInterval = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(500);
/// A leader with a disk write that takes longer than this transfers its leadership.
constexpr Duration kSlowWrite = std::chrono::seconds(1);
/// Silence after which members that don't lead, and a leader whose registry isn't complete yet, remove a
/// replica. It is long because such a member receives only some of the heartbeats; the leader decides that a
/// replica is gone.
constexpr Duration kFollowerSilence = std::chrono::seconds(60);

CellMembershipSettings membershipSettings(const ServiceControlSettings& settings) {
  CellMembershipSettings cell_settings;
  cell_settings.target_voters = 2 * std::size_t{settings.tolerated_losses} + 1;
  return cell_settings;
}

/// A member may start an election right after its start: quorum rounds confirm reads and notices, and orders
/// wait for a separate lease. After a power loss the cell is therefore without a leader no longer than an
/// election takes.
control::ControlSettings nodeSettings(control::ControlSettings control) {
  control.log.elect_at_start = true;
  return control;
}

bool isEmpty(const consensus::RecoveredState& state) {
  return state.entries.empty() && !state.snapshot;
}

}  // namespace

ServiceControlImpl::ServiceControlImpl(const ServiceControlSettings& settings,
                                       consensus::RecoveredState recovered, Random random,
                                       TimeSource& time_source)
    : settings_(settings),
      self_(settings.control.log.node),
      saw_cell_formed_(settings.control.log.bootstrap && isEmpty(recovered)),
      node_(control::createControlNode(nodeSettings(settings.control), std::move(recovered),
                                       std::move(random), time_source)),
      membership_manager_(membershipSettings(settings), time_source.monotonicTime()),
      known_nodes_(settings.seeds.begin(), settings.seeds.end()),
      next_hello_(time_source.monotonicTime()),
      next_expiry_(time_source.monotonicTime() + kExpiryInterval),
      started_at_(time_source.monotonicTime()) {}

Effects ServiceControlImpl::receive(const wire::Envelope& envelope, TimePoint now) {
  std::visit([&](const auto& message) { onMessage(envelope.from, message, now); }, envelope.message);
  return finish(now);
}

void ServiceControlImpl::onMessage(const NodeName& from, const wire::MemberHello& hello, TimePoint now) {
  if (hello.node != from) {
    return;
  }
  membership_manager_.onHello(hello, now);
  applyContacts(from, hello, now);
  known_nodes_.insert(hello.node);
  const bool known = consensus::findMember(node_->log().membership(), hello.id) != nullptr;
  // A process that leaves ends on this answer, so that its removal has to be committed.
  const bool removal_open =
      hello.leaving && leader_ && (leader_->membership_change_open || !node_->log().hasLease(now));
  if (!known && !removal_open) {
    send(from, wire::MemberList{memberNodes(), node_->log().leader()});
  }
}

void ServiceControlImpl::onMessage(const NodeName& from, const wire::MemberList& list, TimePoint) {
  known_nodes_.insert(list.nodes.begin(), list.nodes.end());
  const bool listed = std::find(list.nodes.begin(), list.nodes.end(), self_) != list.nodes.end();
  replaced_ = replaced_ || (stopping_ && from == list.leader && !listed);
}

void ServiceControlImpl::onMessage(const NodeName&, const wire::ReplicaReports& reports, TimePoint now) {
  for (const wire::ReplicaReport& report : reports.reports) {
    acceptReport(report, now);
  }
  for (const wire::UnchangedReport& alive : reports.alive) {
    registry_.recordHeartbeat(alive, now);
  }
}

void ServiceControlImpl::onMessage(const NodeName& from, const wire::LeaveRequest& request, TimePoint now) {
  NoticeOrigin origin;
  origin.member = from;
  origin.number = request.number;
  if (leader_) {
    const wire::ReplicaReport report = withCurrentIncarnation(request.report);
    acceptReport(report, now);
    beginNotice(origin, report, now);
  } else {
    send(from, wire::LeaveReply{request.number, false});
  }
}

void ServiceControlImpl::onMessage(const NodeName&, const wire::LeaveReply& reply, TimePoint) {
  const auto found = forwarded_.find(reply.number);
  if (found == forwarded_.end()) {
    return;
  }
  answer(found->second.request_number, reply.bound ? ResultCode::Ok : ResultCode::NotBoundEverywhere);
  forwarded_.erase(found);
}

void ServiceControlImpl::onMessage(const NodeName& from, const wire::CallRouterStatus& status,
                                   TimePoint now) {
  if (status.router != from || !directory_.accept(status, now)) {
    return;
  }
  syncCrashRecords(status, now);
  if (leader_) {
    leader_->receipts.onStatus(status, now);
    leader_->loads.accept(status, now);
    leader_->retries.accept(status, now);
  }
  if (leader_ && node_->log().hasLease(now)) {
    updateRouter(status, now);
    return;
  }
  if (leader_) {
    leader_->demand.accept(status.router, status.model_calls, now);
  }
  constexpr bool kKeepsStreamOrigins = true;
  send(from, wire::MemberList{memberNodes(), node_->log().leader(), toMilliseconds(memberStatusInterval()),
                              kKeepsStreamOrigins});
  offerCatalog(status, now);
}

/// Ignored without a lease: another member may lead already and grant the same credit.
void ServiceControlImpl::onMessage(const NodeName& from, const wire::QuotaUse& use, TimePoint now) {
  if (use.router != from || !leader_ || !node_->log().hasLease(now)) {
    return;
  }
  refreshQuotas(now);
  wire::QuotaAnswer answered = leader_->quotas.accept(use, now);
  const bool lacks_report = answered.report_sequence == 0;
  if (!answered.decisions.empty() || use.whole || lacks_report) {
    send(from, std::move(answered));
  }
}

/// Ignored without a lease: another member may lead already and grant credit of the same limits.
void ServiceControlImpl::onMessage(const NodeName& from, const wire::LimitRequest& request, TimePoint now) {
  if (request.router != from || !leader_ || !node_->log().hasLease(now)) {
    return;
  }
  wire::LimitReply reply = leader_->limits.accept(request, now);
  for (const auto& [replica, calls_per_second] : leader_->limits.takeChanges()) {
    registry_.setLimit(replica, calls_per_second);
  }
  if (!reply.decisions.empty()) {
    send(from, std::move(reply));
  }
}

void ServiceControlImpl::onMessage(const NodeName&, const wire::StreamOrigins& origins, TimePoint now) {
  wire::StreamOrigins to_store = stream_origins_.accept(origins, now);
  if (!to_store.origins.empty()) {
    effects_.emplace_back(StoreStreamOriginsEffect{std::move(to_store)});
  }
}

/// Any member answers, whether it leads or not: an origin never changes.
void ServiceControlImpl::onMessage(const NodeName& from, const wire::StreamOriginQuery& query, TimePoint) {
  send(from, stream_origins_.answer(query));
}

void ServiceControlImpl::applyEffects(control::Effects effects, TimePoint now) {
  for (control::Effect& effect : effects) {
    std::visit([this, now](auto& typed) { applyEffect(typed, now); }, effect);
  }
}

void ServiceControlImpl::applyEffect(wire::SendEffect& effect, TimePoint) {
  effects_.emplace_back(std::move(effect));
}

void ServiceControlImpl::applyEffect(consensus::PersistEffect& effect, TimePoint now) {
  open_writes_.push_back({effect.sequence, now});
  effects_.emplace_back(std::move(effect));
}

void ServiceControlImpl::applyEffect(const control::ProposalDoneEffect& effect, TimePoint now) {
  const auto found = proposals_.find(effect.proposal_id);
  if (found == proposals_.end()) {
    return;
  }
  const ProposalPurpose purpose = found->second;
  proposals_.erase(found);
  if (const auto* catalog = std::get_if<CatalogProposal>(&purpose)) {
    onStateChanged(catalog->request_number, effect.result, now);
  } else if (const auto* evacuation = std::get_if<EvacuationProposal>(&purpose)) {
    onStateChanged(evacuation->request_number, effect.result, now);
  } else if (const auto* leaving = std::get_if<LeavingProposal>(&purpose)) {
    leaving_proposed_.erase(leaving->replica);
  } else if (const auto* trial = std::get_if<TrialProposal>(&purpose)) {
    trials_proposed_.erase(trial->record.call);
    if (effect.result.code == ResultCode::Ok) {
      grantTrial(*trial, now);
    }
  } else if (const auto* quarantine = std::get_if<QuarantineProposal>(&purpose)) {
    quarantines_proposed_.erase(quarantine->call);
    stored_crash_changes_ = 0;
  } else if (leader_) {
    leader_->membership_change_open = false;
  }
}

void ServiceControlImpl::applyEffect(const control::ReadDoneEffect& effect, TimePoint now) {
  const auto found = reads_.find(effect.read_id);
  if (found == reads_.end()) {
    return;
  }
  const ReadPurpose purpose = found->second;
  reads_.erase(found);
  if (const auto* read = std::get_if<CatalogRead>(&purpose)) {
    onCatalogRead(read->request_number, effect.confirmed);
  } else if (const auto* held = std::get_if<StateInForce>(&purpose)) {
    if (effect.confirmed) {
      deferAcknowledgement(held->request_number, now);
    } else {
      answer(held->request_number, ResultCode::NoQuorum,
             "leadership was lost before a quorum confirmed the state");
    }
  } else {
    const auto of_read = [&effect](const LeaveNotice& notice) {
      return notice.confirmation_pending && notice.read == effect.read_id;
    };
    for (const LeaveNotice& notice : notices_.takeIf(of_read)) {
      answerNotice(notice, effect.confirmed);
    }
  }
}

void ServiceControlImpl::send(const NodeName& to, wire::Message message) {
  effects_.emplace_back(wire::SendEffect{to, std::move(message)});
}

bool ServiceControlImpl::isMember() const {
  return consensus::findMember(node_->log().membership(), settings_.control.log.id) != nullptr;
}

Duration ServiceControlImpl::helloInterval() const {
  if (stopping_) {
    return kLeavingHelloInterval;
  }
  return isMember() ? kMemberHelloInterval : kJoiningHelloInterval;
}

void ServiceControlImpl::sendHello(TimePoint now) {
  if (now < next_hello_) {
    return;
  }
  next_hello_ = now + helloInterval();
  wire::MemberHello hello;
  hello.id = settings_.control.log.id;
  hello.node = self_;
  hello.address = self_.value;
  hello.http = settings_.http;
  hello.has_leader = hasLeaderContact();
  hello.leaving = stopping_;
  std::vector<wire::RouterContact> contacts;
  if (leader_ && memberStatusInterval() > Duration::zero()) {
    contacts = directory_.contacts(now);
  }
  for (const NodeName& node : peers()) {
    addContacts(hello, node, contacts);
    send(node, hello);
  }
}

std::vector<NodeName> ServiceControlImpl::peers() const {
  std::set<NodeName> nodes = known_nodes_;
  for (const wire::Member& member : node_->log().membership().members) {
    nodes.insert(member.node);
  }
  nodes.erase(self_);
  return {nodes.begin(), nodes.end()};
}

void ServiceControlImpl::addSeeds(const std::vector<NodeName>& seeds) {
  known_nodes_.insert(seeds.begin(), seeds.end());
}

std::string ServiceControlImpl::leaderHttp() const {
  if (node_->leads()) {
    return settings_.http;
  }
  const wire::Member* leader = consensus::findNode(node_->log().membership(), node_->log().leader());
  return leader == nullptr ? std::string() : leader->http;
}

void ServiceControlImpl::answer(ControlRequestNumber request_number, ResultCode code, std::string detail,
                                std::string body) {
  effects_.emplace_back(
      AnswerEffect{request_number, code, std::move(detail), std::move(body), leaderHttp(), {}});
}

std::uint64_t ServiceControlImpl::propose(ProposalPurpose purpose, wire::Command command, TimePoint now) {
  const std::uint64_t id = next_id_++;
  proposals_.emplace(id, std::move(purpose));
  applyEffects(node_->propose(id, std::move(command), now), now);
  return id;
}

void ServiceControlImpl::confirmRead(ReadPurpose purpose, TimePoint now) {
  const std::uint64_t id = next_id_++;
  reads_.emplace(id, purpose);
  applyEffects(node_->confirmRead(id, now), now);
}

Effects ServiceControlImpl::tick(TimePoint now) {
  applyEffects(node_->tick(now), now);
  if (now >= relay_.due()) {
    flushRelay(now);
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    directory_.expire(now);
    crashes_.expire(now);
    stream_origins_.expire(now);
    const bool settled = leader_ && leader_->complete;
    registry_.expire(now, settled ? settings_.replica_silence : kFollowerSilence);
    if (leader_) {
      leader_->demand.keepRouters(directory_.routers());
      leader_->loads.expire(now);
      leader_->limits.expire(now);
      leader_->retries.expire(now);
      leader_->updates.keepRouters(directory_.routers());
      leader_->tables.keepRouters(directory_.routers());
      leader_->receipts.keepRouters(directory_.routers());
      leader_->quotas.keepRouters(directory_.routers());
      leader_->quotas.updateRouterHistory(directory_.routers(),
                                          now - started_at_ >= settings_.quota_tolerance.window);
    }
  }
  expireForwarded(now);
  sendHello(now);
  if (node_->leads() && stopping_) {
    applyEffects(node_->beginStop(now), now);
  } else if (node_->leads()) {
    transferLeadershipIfDiskIsSlow(now);
  }
  return finish(now);
}

TimePoint ServiceControlImpl::nextDeadline() const {
  TimePoint deadline = std::min({node_->nextDeadline(), relay_.due(), next_hello_, next_expiry_});
  deadline = std::min(deadline, notices_.nextDeadline());
  for (const PendingAcknowledgement& pending : pending_acknowledgements_) {
    deadline = std::min(deadline, pending.deadline);
  }
  for (const auto& [number, forwarded] : forwarded_) {
    deadline = std::min(deadline, forwarded.deadline);
  }
  if (leader_) {
    deadline = std::min(deadline, leader_->next_plan);
    if (!notices_.all().empty()) {
      deadline = std::min(deadline, leader_->next_notice_check);
    }
    if (hasPendingChanges() || hasQueuedUpdates()) {
      deadline = std::min(deadline, leader_->next_push);
    }
  }
  return deadline;
}

Effects ServiceControlImpl::onPersisted(std::uint64_t sequence, TimePoint now) {
  while (!open_writes_.empty() && open_writes_.front().sequence <= sequence) {
    open_writes_.pop_front();
  }
  applyEffects(node_->onPersisted(sequence, now), now);
  return finish(now);
}

Effects ServiceControlImpl::onOrderDone(OrderNumber number, OrderOutcome outcome, TimePoint now) {
  if (leader_) {
    leader_->placer.onOrderDone(number, outcome, now);
    expeditePlan(now);
  }
  return finish(now);
}

Effects ServiceControlImpl::onInspected(OrderNumber number, const std::optional<ReplicaState>& state,
                                        TimePoint now) {
  if (leader_) {
    leader_->placer.onInspected(number, state, now);
    expeditePlan(now);
  }
  return finish(now);
}

/// A leader whose disk is full, hangs or is slow can't commit in time, while another member with the same log
/// can.
void ServiceControlImpl::transferLeadershipIfDiskIsSlow(TimePoint now) {
  const bool slow = !open_writes_.empty() && now - open_writes_.front().since > kSlowWrite;
  if (slow && now >= next_leadership_transfer_) {
    next_leadership_transfer_ = now + kSlowWrite;
    applyEffects(node_->beginStop(now), now);
  }
}

Effects ServiceControlImpl::beginStop(TimePoint now) {
  stopping_ = true;
  applyEffects(node_->beginStop(now), now);
  next_hello_ = now;
  sendHello(now);
  return finish(now);
}

bool ServiceControlImpl::mayStop(TimePoint now) const {
  const wire::Membership& membership = node_->log().membership();
  const wire::Member* member = consensus::findMember(membership, settings_.control.log.id);
  const bool votes = member != nullptr && member->voter;
  return !node_->leads() &&
         (!votes || replaced_ || !membership_manager_.canReplace(membership, settings_.control.log.id, now));
}

void ServiceControlImpl::updateLeadership(TimePoint now) {
  const Term term = node_->log().term();
  const bool same = leader_ && node_->leads() && leader_->term == term;
  if (leader_ && !same) {
    endLeadership();
  }
  if (node_->leads() && !leader_) {
    ModelPlacerSettings placer;
    placer.holder = self_;
    placer.fence = term;
    placer.switches = settings_.placement;
    // An earlier leader's lease may end up to election_timeout_min after this election, see elect_at_start.
    placer.first_order = now + settings_.order_lease + settings_.control.log.election_timeout_min;
    leader_.emplace(term, placer, registry_, index_, settings_.quota_tolerance, newRetryLedger(now),
                    settings_.router_contact_timeout, now);
    registry_.clearLimits();
    closeLatestLeavers();
    leader_->push_to_all = isLargeFleet();  // announces the new leader to the routers at once
    membership_manager_.observeFrom(now);
  }
}

void ServiceControlImpl::endLeadership() {
  leader_.reset();
  for (const LeaveNotice& notice : notices_.takeIf([](const LeaveNotice&) { return true; })) {
    answerNotice(notice, false);
  }
  for (const PendingAcknowledgement& pending : std::exchange(pending_acknowledgements_, {})) {
    answer(pending.request_number, ResultCode::NoQuorum,
           "leadership was lost before enough disks held the change");
  }
  leaving_proposed_.clear();
  quarantines_proposed_.clear();
  trials_proposed_.clear();
}

Effects ServiceControlImpl::finish(TimePoint now) {
  updateLeadership(now);
  mergeStoredQuarantines(now);
  applyEvacuations();
  applyLeaveNotices();
  applyReplicaChanges();
  sendReportsToNewLeader(now);
  const CatalogVersion version = node_->hosted().catalog().version;
  if (version != committed_version_) {
    committed_version_ = version;
    committed_since_ = now;
  }
  if (leader_) {
    runLeaderTasks(now);
  }
  return std::exchange(effects_, {});
}

std::vector<std::string> ServiceControlImpl::routerAddresses(const ZoneName& zone, std::size_t limit,
                                                             TimePoint now) const {
  return directory_.addresses(zone, now, limit);
}

ServiceControlView ServiceControlImpl::view(TimePoint) const {
  ServiceControlView view;
  view.leads = node_->leads();
  view.leader = node_->log().leader();
  view.term = node_->log().term();
  view.voters = consensus::voterCount(node_->log().membership());
  view.catalog = node_->hosted().catalog().version;
  view.evacuated_zones = node_->hosted().evacuated().size();
  view.quarantined_calls = crashes_.quarantined().size();
  view.suspected_calls = crashes_.size() - view.quarantined_calls;
  view.trials_granted = trials_granted_;
  view.stream_origins = stream_origins_.size();
  view.origin_queries = stream_origins_.counts();
  if (leader_) {
    view.quota = leader_->quotas.counts();
    view.limited_tenants = leader_->quotas.limited().size();
    view.limits = leader_->limits.counts();
    view.limited_replicas = leader_->limits.activeCount();
  }
  return view;
}

FleetView ServiceControlImpl::fleet(TimePoint now) const {
  FleetView fleet{registry_.replicas().size(), directory_.acceptingCount(now),
                  directory_.partitionedCount(now), directory_.unreachable(now).size()};
  for (const auto& [id, record] : registry_.replicas()) {
    ++fleet.versions[record.report.service][record.report.version.value_or("unknown")];
  }
  return fleet;
}

std::vector<RetryBudgetView> ServiceControlImpl::retryBudgets(TimePoint now) const {
  return leader_ ? leader_->retries.view(now) : std::vector<RetryBudgetView>();
}

std::unique_ptr<ServiceControl> createServiceControl(const ServiceControlSettings& settings,
                                                     consensus::RecoveredState recovered, Random random,
                                                     TimeSource& time_source) {
  return std::make_unique<ServiceControlImpl>(settings, std::move(recovered), std::move(random), time_source);
}

}  // namespace ferryrock::services
