#include <catch2/catch.hpp>
#include <string>

#include "calls/call_fixture.h"

// Callers of rarely used models got 503 for seconds, and replicas that had asked for time got three and four
// further calls within it.
//
// A replica with more work than it could bear refused a call with 503 and asked its router for 3 s without
// calls. It alone held the call's model. The router left it out for 100 ms, sent the call there again, twice,
// and told the caller after 211 ms to come back in 200 ms, though the place stayed shut for seconds. The next
// call for the model did the same.
//
// Cause: nobody read what the replica asked for. What a replica says in an answer was heard by the attempt
// that got the answer, as "refused", and by nothing that chooses replicas.
//
// Evidence: the router's log has the three sendings of one call 104 ms apart, which is the fixed pause plus
// the way there and back; the three replicas that asked for time turned away all 82 calls that reached them
// while it lasted.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;

/// One replica holds the model of the calls.
struct OnlyCopy : CallFixture {
  OnlyCopy() {
    begin();
    addReplicas({holder("e1")});
  }
  static wire::RoutedReplica holder(const std::string& id) {
    wire::RoutedReplica replica = CallFixture::replica(id, "llm");
    replica.held = {{ModelName("m1"), {}}};
    return replica;
  }
  /// A new leader lists all replicas anew, knowing nothing of what they said to routers.
  void listAnew(const std::vector<wire::RoutedReplica>& replicas) {
    wire::ServiceUpdate update;
    update.complete = true;
    update.replicas = replicas;
    send(update);
  }
};

TEST_CASE("A replica that asked for time gets no call until it is over") {
  OnlyCopy fixture;
  fixture.call("/model/x", "m1");
  fixture.refuseFor(3s);
  CHECK(fixture.sentTo("e1") == 1);
  for (int i = 0; i < 28; ++i) {
    fixture.call("/model/x", "m1");
    fixture.pass(100ms);
    if (i == 10) {
      fixture.listAnew({OnlyCopy::holder("e1")});
    }
  }
  CHECK(fixture.sentTo("e1") == 1);
  fixture.pass(300ms);
  fixture.call("/model/x", "m1");
  CHECK(fixture.sentTo("e1") > 1);
}

TEST_CASE("A replica that said in an answer that it leaves gets no further call") {
  OnlyCopy fixture;
  fixture.addReplicas({OnlyCopy::holder("e1"), OnlyCopy::holder("e2")});
  fixture.call("/model/x", "m1");
  const std::string leaving = fixture.last<SendAttemptEffect>()->replica.value;
  fixture.notice({true, std::nullopt, ""});
  fixture.answer(200);
  for (int i = 0; i < 20; ++i) {
    fixture.call("/model/x", "m1");
    fixture.answer(200);
    if (i == 10) {
      fixture.listAnew({OnlyCopy::holder("e1"), OnlyCopy::holder("e2")});
    }
  }
  CHECK(fixture.sentTo(leaving) == 1);
  CHECK(fixture.count<SendAttemptEffect>() == 21);
}

}  // namespace
}  // namespace ferryrock::calls
