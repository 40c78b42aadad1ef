#include "quarantine/trial.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

namespace ferryrock::quarantine {
namespace {

TEST_CASE(
    "Each replica accepts the deciding attempt of exactly one call, and calls get similar shares of the "
    "replicas") {
  CHECK(rc::check("trials", [] {
    const auto calls = *rc::gen::inRange<std::uint64_t>(1, 9);
    const auto salt = *rc::gen::arbitrary<std::uint64_t>();
    std::set<wire::CallFingerprint> on_trial;
    for (std::uint64_t call = 1; call <= calls; ++call) {
      on_trial.insert({salt + call, call});
    }
    constexpr std::size_t kReplicas = 400;
    std::map<wire::CallFingerprint, std::size_t> owned;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const ReplicaId replica("r" + std::to_string(i));
      std::size_t owners = 0;
      for (const wire::CallFingerprint& call : on_trial) {
        const bool owns = Trial{call, on_trial}.owns(replica);
        owners += owns ? 1 : 0;
        owned[call] += owns ? 1 : 0;
      }
      RC_ASSERT(owners == 1U);
    }
    for (const auto& [call, count] : owned) {
      RC_ASSERT(count > kReplicas / calls / 3);
    }
  }));
}

}  // namespace
}  // namespace ferryrock::quarantine
