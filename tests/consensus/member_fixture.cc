#include "member_fixture.h"

#include <algorithm>
#include <utility>

namespace ferryrock::consensus {
namespace {

wire::Membership formedCell(std::size_t members) {
  wire::Membership membership;
  for (std::uint64_t number = 1; number <= members; ++number) {
    membership.members.push_back(
        {MemberId{number}, SingleMember::nodeOf(number), "", "", true, SingleMember::diskOf(number)});
  }
  return membership;
}

}  // namespace

SingleMember::SingleMember(const Defects& defects, const std::vector<std::uint64_t>& terms,
                           std::size_t members) {
  QuorumLogSettings settings;
  settings.id = MemberId{1};
  settings.node = nodeOf(1);
  settings.max_batch_bytes = 1;
  settings.defects = defects;
  RecoveredState recovered;
  recovered.hard_state = {Term{terms.empty() ? 1 : terms.back()}, MemberId{}, diskOf(1)};
  recovered.entries.push_back(
      {Term{1}, LogIndex{1}, wire::EntryKind::MembershipChange, wire::encodeMembership(formedCell(members))});
  for (const std::uint64_t term : terms) {
    recovered.entries.push_back(entry(term, recovered.entries.size() + 1));
  }
  log_ = createQuorumLog(settings, std::move(recovered), Random(1), now_);
}

void SingleMember::receive(std::uint64_t from, const wire::Message& message) {
  handle(log_->receive(nodeOf(from), message, now_));
}

void SingleMember::sync() {
  handle(log_->onPersisted(last_write_, now_));
}

void SingleMember::wait(Duration duration) {
  const TimePoint end = now_ + duration;
  while (log_->nextDeadline() <= end) {
    now_ = std::max(now_, log_->nextDeadline());
    handle(log_->tick(now_));
  }
  now_ = end;
}

void SingleMember::becomeLeader() {
  const Term term = log_->term().next();
  receive(2, wire::TimeoutNow{log_->term(), MemberId{2}});
  sync();
  receive(2, wire::VoteResponse{term, MemberId{2}, true, false, diskOf(2)});
}

void SingleMember::handle(Effects effects) {
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<wire::SendEffect>(&effect)) {
      sent_.push_back(std::move(*send));
    } else if (const auto* persist = std::get_if<PersistEffect>(&effect)) {
      last_write_ = persist->sequence;
    }
  }
}

}  // namespace ferryrock::consensus
