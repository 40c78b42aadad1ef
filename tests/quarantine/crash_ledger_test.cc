#include "quarantine/crash_ledger.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace ferryrock::quarantine {
namespace {

using namespace std::chrono_literals;

constexpr wire::CallFingerprint kCall{1, 2};
constexpr wire::CallFingerprint kOther{3, 4};
constexpr TimePoint kStart{1000s};

ReplicaId replica(std::size_t number) {
  return ReplicaId("r" + std::to_string(number));
}

TEST_CASE("A call is quarantined at its third crashed replica, whichever process recorded the crashes") {
  CrashLedger ledger;
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Unsuspected);
  CHECK(ledger.recordCrash(kCall, replica(1), kStart));
  CHECK_FALSE(ledger.recordCrash(kCall, replica(1), kStart));
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Suspected);
  CHECK(ledger.recordCrash(kCall, replica(2), kStart));
  CHECK(ledger.merge({kCall, {{replica(3), false}}, 500}, kStart + 1s));
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Quarantined);
  CHECK(ledger.quarantineState(kOther) == QuarantineState::Unsuspected);
  CHECK(ledger.quarantined().size() == 1);
}

TEST_CASE("After an answer the earlier crashes no longer count, even if they are reported again") {
  CrashLedger ledger;
  ledger.recordCrash(kCall, replica(1), kStart);
  ledger.recordCrash(kCall, replica(2), kStart);
  const wire::CrashRecord before = ledger.record(kCall, kStart);
  CHECK(ledger.recordAnswer(kCall));
  CHECK_FALSE(ledger.recordAnswer(kCall));
  CHECK_FALSE(ledger.merge(before, kStart));
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Unsuspected);
  ledger.recordCrash(kCall, replica(3), kStart);
  CHECK(ledger.ends(kCall) == 1);
}

TEST_CASE("A suspicion expires before a quarantine, and both start at the last crash") {
  CrashLedger ledger;
  const CrashLedgerSettings settings;
  ledger.recordCrash(kOther, replica(1), kStart);
  for (std::size_t i = 1; i <= settings.crash_threshold; ++i) {
    ledger.recordCrash(kCall, replica(i), kStart + 1s);
  }
  CHECK(ledger.left(kCall, kStart + 1s) == settings.quarantine);
  CHECK(ledger.left(kOther, kStart) == Duration::zero());
  ledger.expire(kStart + settings.suspicion);
  CHECK(ledger.ends(kOther) == 0);
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Quarantined);
  ledger.expire(kStart + 1s + settings.quarantine);
  CHECK(ledger.size() == 0);
  CHECK(ledger.digest() == 0);
}

TEST_CASE("The age of a record that arrives late counts towards its expiry") {
  CrashLedger ledger;
  const CrashLedgerSettings settings;
  ledger.merge({kCall, {{replica(1), false}}, toMilliseconds(settings.suspicion)}, kStart);
  ledger.expire(kStart);
  CHECK(ledger.size() == 0);
}

TEST_CASE(
    "Memory is bounded: calls with the fewest and oldest crashes are evicted, never a quarantined one") {
  CrashLedgerSettings settings;
  settings.max_calls = 10;
  CrashLedger ledger(settings);
  for (std::size_t i = 1; i <= settings.crash_threshold; ++i) {
    ledger.recordCrash(kCall, replica(i), kStart);
  }
  for (std::uint64_t i = 0; i < 1000; ++i) {
    ledger.recordCrash({100, i}, replica(i), kStart + std::chrono::milliseconds(i));
    REQUIRE(ledger.size() <= settings.max_calls);
  }
  CHECK(ledger.quarantineState(kCall) == QuarantineState::Quarantined);
  CHECK(ledger.ends({100, 999}) == 1);
  CHECK(ledger.ends({100, 0}) == 0);
  for (std::size_t i = 0; i < 1000; ++i) {
    ledger.recordCrash(kCall, replica(i), kStart);
  }
  CHECK(ledger.record(kCall, kStart).ended.size() <= 16);
}

TEST_CASE("Records that are lost, duplicated or reordered lead to the same state once each has arrived") {
  rc::check([] {
    CrashLedger source;
    std::vector<wire::CrashRecord> told;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int step : steps) {
      const wire::CallFingerprint call{1, static_cast<std::uint64_t>(step % 2)};
      if (step < 9) {
        source.recordCrash(call, replica(static_cast<std::size_t>(step)), kStart);
      } else {
        source.recordAnswer(call);
      }
      told.push_back(source.record(call, kStart));
    }
    std::vector<wire::CrashRecord> sent = told;
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(1, told.size())));
    CrashLedger other;
    for (const std::size_t index : order) {
      if (index < told.size()) {
        other.merge(told[index], kStart);
      }
    }
    for (auto record = told.rbegin(); record != told.rend(); ++record) {
      other.merge(*record, kStart);
    }
    RC_ASSERT(other.digest() == source.digest());
    for (std::uint64_t i = 0; i < 2; ++i) {
      RC_ASSERT(other.quarantineState({1, i}) == source.quarantineState({1, i}));
    }
  });
}

const Suspect kSound = traitOf(wire::SuspectKind::PromptPart, "sound");
const Suspect kCrashing = traitOf(wire::SuspectKind::PromptPart, "crashing");
constexpr bool kSecondary = true;

/// Guards against the blame of a part that half of the calls share for the crashes of another part.
TEST_CASE("A crash counts against an answered trait only if no trait without answers explains it") {
  for (const bool sound_first : {true, false}) {
    CrashLedger ledger;
    for (std::size_t i = 1; i <= 3; ++i) {
      if (sound_first) {
        ledger.recordCrash(kSound, replica(i), kSecondary, kStart);
      }
      ledger.recordCrash(kCrashing, replica(i), !kSecondary, kStart);
      ledger.recordCrash(kSound, replica(i), kSecondary, kStart);
    }
    CHECK(ledger.quarantined() == std::set{kCrashing.fingerprint});
    CHECK(ledger.ends(kSound.fingerprint) == 0);
  }
  CrashLedger ledger;
  for (std::size_t i = 1; i <= 3; ++i) {
    ledger.recordCrash(kSound, replica(i), kSecondary, kStart);
    ledger.recordCrash(kCall, replica(i), kStart);
  }
  CHECK(ledger.quarantined() == std::set{kCall, kSound.fingerprint});
}

TEST_CASE("Explained crashes lead to the same state in any order of arrival") {
  rc::check([] {
    std::vector<wire::CrashRecord> records;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 18));
    for (const int step : steps) {
      const Suspect& suspect = step % 2 == 0 ? kSound : kCrashing;
      wire::CrashRecord record;
      record.call = suspect.fingerprint;
      record.kind = suspect.kind;
      record.ended.push_back({replica(static_cast<std::size_t>(step / 6)), false, step % 3 == 0});
      records.push_back(record);
    }
    std::map<std::pair<wire::CallFingerprint, ReplicaId>, wire::CrashRecord> first;
    for (const wire::CrashRecord& record : records) {
      first.try_emplace({record.call, record.ended.front().replica}, record);
    }
    CrashLedger forward;
    CrashLedger backward;
    for (auto record = first.begin(); record != first.end(); ++record) {
      forward.merge(record->second, kStart);
    }
    for (auto record = first.rbegin(); record != first.rend(); ++record) {
      backward.merge(record->second, kStart);
    }
    RC_ASSERT(forward.digest() == backward.digest());
    RC_ASSERT(forward.quarantined() == backward.quarantined());
  });
}

TEST_CASE("Two trials of a quarantined trait follow soon, later ones at intervals that grow") {
  CrashLedger ledger;
  const CrashLedgerSettings settings;
  for (std::size_t i = 1; i <= settings.crash_threshold; ++i) {
    ledger.recordCrash(kCrashing, replica(i), !kSecondary, kStart);
  }
  const std::vector<Duration> delays = {1s, 1s, 5s, 10s, 20s, 40s, 80s};
  TimePoint now = kStart;
  for (std::uint32_t trial = 0; trial < delays.size(); ++trial) {
    CHECK(ledger.trialOpensAt(kCrashing.fingerprint) == now + delays[trial]);
    now += delays[trial];
    wire::CrashRecord granted = ledger.record(kCrashing.fingerprint, now);
    granted.trials = trial + 1;
    CHECK(ledger.merge(granted, now));
    CHECK_FALSE(ledger.merge(granted, now + 1s));
  }
}

TEST_CASE("After a trial that crashed its replica the next one follows late") {
  CrashLedger ledger;
  for (std::size_t i = 1; i <= 3; ++i) {
    ledger.recordCrash(kCrashing, replica(i), !kSecondary, kStart);
  }
  const std::vector<Duration> delays = {1s, 10min, 20min, 40min, 60min, 60min};
  TimePoint now = kStart;
  for (std::uint32_t trial = 1; trial < delays.size(); ++trial) {
    wire::CrashRecord granted = ledger.record(kCrashing.fingerprint, now);
    granted.trials = trial;
    ledger.merge(granted, now);
    now += 1s;
    ledger.recordCrash(kCrashing, replica(3 + trial), !kSecondary, now);
    CHECK(ledger.trialOpensAt(kCrashing.fingerprint) == now + delays[trial - 1]);
    now += delays[trial - 1];
  }
}

TEST_CASE("A record that passed through a build without traits keeps its kind, name and trials") {
  CrashLedger ledger;
  ledger.recordCrash(kCrashing, replica(1), !kSecondary, kStart);
  ledger.merge({kCrashing.fingerprint, {{replica(2), false}}, 0}, kStart);
  const wire::CrashRecord record = ledger.record(kCrashing.fingerprint, kStart);
  CHECK(record.kind == wire::SuspectKind::PromptPart);
  CHECK(record.name == "crashing");
  CHECK(record.ended.size() == 2);
}

}  // namespace
}  // namespace ferryrock::quarantine
