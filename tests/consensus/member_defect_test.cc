#include <catch2/catch.hpp>

#include "member_fixture.h"

namespace ferryrock::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Entries that replace synced ones are acknowledged only after they are synced themselves.
bool acknowledgesOnlySynced(const Defects& defects) {
  SingleMember member(defects, {1, 1});
  const Term term{2};
  member.receive(2, wire::AppendRequest{term, MemberId{2}, LogIndex{1}, Term{1}, {}, LogIndex{1}, 1});
  member.sync();
  member.receive(2, wire::AppendRequest{term,
                                        MemberId{2},
                                        LogIndex{1},
                                        Term{1},
                                        {SingleMember::entry(2, 2), SingleMember::entry(2, 3)},
                                        LogIndex{1},
                                        1});
  member.takeSent<wire::AppendResponse>();
  member.receive(2, wire::AppendRequest{term, MemberId{2}, LogIndex{3}, term, {}, LogIndex{1}, 2});
  for (const wire::AppendResponse& response : member.takeSent<wire::AppendResponse>()) {
    if (response.accepted && response.match > LogIndex{1}) {
      return false;
    }
  }
  member.sync();
  member.receive(2, wire::AppendRequest{term, MemberId{2}, LogIndex{3}, term, {}, LogIndex{1}, 3});
  return member.takeSent<wire::AppendResponse>().back().match == LogIndex{3};
}

/// A leader accepts a membership change only after it has committed an entry of its own term.
bool changesMembersOnlyInItsTerm(const Defects& defects) {
  SingleMember member(defects, {1});
  member.becomeLeader();
  const bool refused =
      member.log().remove(MemberId{3}, member.now()).code == ResultCode::MembershipChangeInProgress;
  member.sync();
  const LogIndex last = member.log().lastIndex();
  member.receive(
      2, wire::AppendResponse{member.log().term(), MemberId{2}, true, last, 0, SingleMember::diskOf(2)});
  const bool accepted_later = member.log().remove(MemberId{3}, member.now()).accepted;
  return refused && accepted_later;
}

/// Entries of earlier terms are committed only together with a later entry of the leader's own term.
bool commitsOnlyItsTerm(const Defects& defects) {
  SingleMember member(defects, {1, 2});
  member.becomeLeader();
  member.sync();
  const LogIndex older = LogIndex{3};
  member.receive(
      2, wire::AppendResponse{member.log().term(), MemberId{2}, true, older, 0, SingleMember::diskOf(2)});
  const bool held_back = member.log().committed() < older;
  member.receive(2, wire::AppendResponse{member.log().term(), MemberId{2}, true, older.next(), 0,
                                         SingleMember::diskOf(2)});
  return held_back && member.log().committed() == older.next();
}

/// A vote is sent only after it is synced.
bool sendsVoteOnlyOnceSynced(const Defects& defects) {
  SingleMember member(defects, {1});
  member.wait(milliseconds(400));
  member.receive(2, wire::VoteRequest{Term{5}, MemberId{2}, LogIndex{9}, Term{4}, false, true});
  const bool held_back = member.takeSent<wire::VoteResponse>().empty();
  member.sync();
  const auto votes = member.takeSent<wire::VoteResponse>();
  return held_back && votes.size() == 1 && votes.front().granted;
}

struct GuaranteeRow {
  const char* name;
  bool (*holds)(const Defects&);
  bool Defects::*defect;
};

TEST_CASE("each safety guarantee of a member holds, and a deliberate defect violates it") {
  const std::vector<GuaranteeRow> rows{
      {"acknowledges only synced entries", acknowledgesOnlySynced, &Defects::keep_durable_at_truncation},
      {"changes members only after a commit in its own term", changesMembersOnlyInItsTerm,
       &Defects::overlapping_member_changes},
      {"commits earlier terms only through its own term", commitsOnlyItsTerm, &Defects::commit_older_terms},
      {"sends a vote only after it is synced", sendsVoteOnlyOnceSynced, &Defects::answer_before_sync},
  };
  for (const GuaranteeRow& row : rows) {
    INFO(row.name);
    CHECK(row.holds(Defects{}));
    Defects defects;
    defects.*row.defect = true;
    CHECK_FALSE(row.holds(defects));
  }
}

/// Member 2 follows the leader for the time, and votes for it when it stands for election.
void follow(SingleMember& member, Duration time) {
  constexpr Duration kStep = milliseconds(10);
  for (Duration passed{}; passed < time; passed += kStep) {
    member.wait(kStep);
    member.sync();
    const Term term = member.log().term();
    const LogIndex last = member.log().lastIndex();
    for (const wire::AppendRequest& request : member.takeSent<wire::AppendRequest>()) {
      member.receive(2, wire::AppendResponse{term, MemberId{2}, true, last, request.read_sequence,
                                             SingleMember::diskOf(2)});
    }
    if (member.log().role() == Role::Candidate) {
      member.receive(2, wire::VoteResponse{term, MemberId{2}, true, false, SingleMember::diskOf(2)});
    }
  }
}

TEST_CASE("a leader whose transfer ended in vain leads with a lease again, in a later term") {
  SingleMember member(Defects{}, {1});
  member.becomeLeader();
  follow(member, milliseconds(500));
  REQUIRE(member.log().hasLease(member.now()));
  const Term first = member.log().term();
  member.handle(member.log().transferLeadership(member.now()));
  REQUIRE(member.takeSent<wire::TimeoutNow>().size() == 1);
  CHECK_FALSE(member.log().hasLease(member.now()));
  follow(member, seconds(5));
  CHECK(member.log().role() == Role::Leader);
  CHECK(member.log().term() > first);
  CHECK(member.log().hasLease(member.now()));
}

/// A batch in reply to every rejection would multiply duplicated messages.
TEST_CASE("a repeated rejection does not trigger another batch") {
  SingleMember member(Defects{}, {1, 1, 1});
  member.becomeLeader();
  member.sync();
  const Term term = member.log().term();
  const wire::AppendResponse refusal{term, MemberId{2}, false, LogIndex{2}, 0, SingleMember::diskOf(2)};
  member.takeSent<wire::AppendRequest>();
  member.receive(2, refusal);
  CHECK(member.takeSent<wire::AppendRequest>().size() == 1);
  member.receive(2, refusal);
  CHECK(member.takeSent<wire::AppendRequest>().empty());
}

/// A member that lost acknowledged entries rejects every batch. The leader must not send a new batch for each
/// rejection.
TEST_CASE("a member that lost acknowledged entries is probed at intervals, not at every rejection") {
  SingleMember member(Defects{}, {1, 1, 1});
  member.becomeLeader();
  member.sync();
  const Term term = member.log().term();
  const LogIndex last = member.log().lastIndex();
  member.receive(2, wire::AppendResponse{term, MemberId{2}, true, last, 0, SingleMember::diskOf(2)});
  REQUIRE(member.log().committed() == last);
  const wire::AppendResponse refusal{term, MemberId{2}, false, LogIndex{1}, 0, SingleMember::diskOf(2)};
  std::size_t batches = 0;
  member.takeSent<wire::AppendRequest>();
  for (int copy = 0; copy < 100; ++copy) {
    member.receive(2, refusal);
    batches += member.takeSent<wire::AppendRequest>().size();
  }
  CHECK(batches <= 1);
}

}  // namespace
}  // namespace ferryrock::consensus
