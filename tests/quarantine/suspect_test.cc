#include "quarantine/suspect.h"

#include <catch2/catch.hpp>

#include "quarantine/answered_traits.h"
#include "quarantine/call_fingerprint.h"

namespace ferryrock::quarantine {
namespace {

using namespace std::chrono_literals;
using wire::SuspectKind;

TEST_CASE("A call has its prompt parts and its adapter as traits, each once") {
  const std::vector<std::string> parts = {"a1", "b2", "a1"};
  const std::vector<Suspect> traits = traitsOf({parts, "m1", "x"});
  REQUIRE(traits.size() == 3);
  CHECK(toText(traits[0]) == "prompt part a1");
  CHECK(toText(traits[1]) == "prompt part b2");
  CHECK(toText(traits[2]) == "adapter m1/x");
  CHECK(traitsOf({{}, "m1", ""}).empty());
}

TEST_CASE("A trait has the same fingerprint in all calls, and none of a call or of another trait") {
  const Suspect part = traitOf(SuspectKind::PromptPart, "a1");
  CHECK(part.fingerprint == traitOf(SuspectKind::PromptPart, "a1").fingerprint);
  CHECK(part.fingerprint != traitOf(SuspectKind::PromptPart, "a2").fingerprint);
  CHECK(part.fingerprint != traitOf(SuspectKind::Adapter, "a1").fingerprint);
  CHECK(part.fingerprint != fingerprintOf({"POST", "", "prompt part", "", "a1"}));
}

TEST_CASE("Answered traits are forgotten after a minute, and the oldest ones beyond a bound") {
  AnsweredTraits answered;
  const TimePoint start{1000s};
  const wire::CallFingerprint trait{1, 1};
  CHECK_FALSE(answered.contains(trait, start));
  answered.record(trait, start);
  CHECK(answered.contains(trait, start + AnsweredTraits::kLifetime - 1ms));
  CHECK_FALSE(answered.contains(trait, start + AnsweredTraits::kLifetime));
  answered.record(trait, start + 1s);
  for (std::uint64_t i = 0; i < AnsweredTraits::kMaxTraits; ++i) {
    answered.record({2, i}, start + 2s);
  }
  CHECK(answered.size() == AnsweredTraits::kMaxTraits);
  CHECK_FALSE(answered.contains(trait, start + 2s));
  answered.forget({2, 1});
  CHECK_FALSE(answered.contains({2, 1}, start + 2s));
}

}  // namespace
}  // namespace ferryrock::quarantine
