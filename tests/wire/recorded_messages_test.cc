#include "wire/recorded_messages.h"

#include <catch2/catch.hpp>
#include <vector>

#include "wire/codec.h"
#include "wire/messages.h"

// During a rolling upgrade, old and new builds exchange messages, whose members are identified by their
// position. Two members inserted in the middle of the list of QuotaUse made each build misread the other's
// `spent` and `asks`: members logged 6001 MalformedMessage, "an array was expected", and no tenant's limit
// was enforced (for a tenant at six times its usual rate, no call was answered 429, compared with 3,747 when
// all processes ran one build). The bytes in recorded_messages.h were encoded by the earlier build; the later
// one refused them with that message.
namespace ferryrock::wire {
namespace {

template <class T>
T read(std::string_view digits) {
  const Envelope envelope = decodeEnvelope(recorded::bytes(digits));
  CHECK(envelope.from == NodeName("edge-1"));
  return std::get<T>(envelope.message);
}

const std::vector<QuotaUsageTotal> kSpent = {{TenantName("acme"), 1200}, {TenantName("zeta"), 5}};
const std::vector<QuotaCreditRequest> kAsks = {{9, TenantName("acme"), 300}};

TEST_CASE("QuotaUse of a build without replica loads is decoded correctly") {
  const auto use = read<QuotaUse>(recorded::without_loads::kQuotaUse);
  CHECK(use.router == NodeName("edge-1"));
  CHECK(use.incarnation == 7);
  CHECK(use.sequence == 3);
  CHECK(use.whole);
  CHECK(use.spent == kSpent);
  CHECK(use.asks == kAsks);
  CHECK(use.histories.empty());
}

TEST_CASE("QuotaUse of the first build with replica loads is decoded correctly") {
  const auto use = read<QuotaUse>(recorded::with_loads::kQuotaUse);
  CHECK(use.spent == kSpent);
  CHECK(use.asks == kAsks);
  CHECK(use.histories == std::vector<QuotaHistory>{{TenantName("acme"), {10, 20}}});
  CHECK(use.history_ms == 2500);
}

TEST_CASE("Statuses, updates and quota answers of both earlier builds are decoded correctly") {
  for (const auto& digits : {recorded::without_loads::kRouterStatus, recorded::with_loads::kRouterStatus}) {
    const auto status = read<CallRouterStatus>(digits);
    CHECK(status.address == "10.0.0.1:80");
    CHECK(status.sequence == 4);
    CHECK(status.model_calls.front().waiting == 2);
    CHECK(status.unreachable == std::vector<ReplicaId>{ReplicaId("r1")});
    CHECK(status.crash_digest == 11);
  }
  for (const auto& digits : {recorded::without_loads::kServiceUpdate, recorded::with_loads::kServiceUpdate}) {
    const auto update = read<ServiceUpdate>(digits);
    CHECK(update.revision == LogIndex{5});
    CHECK(update.replicas.front().held.front().adapters == std::vector<std::string>{"a1"});
    CHECK(update.removed == std::vector<ReplicaId>{ReplicaId("r2")});
    CHECK(update.limited_tenants == std::vector<TenantName>{TenantName("acme")});
  }
  CHECK(read<CallRouterStatus>(recorded::with_loads::kRouterStatus).local_loads.front().sent_tokens == 200);
  CHECK(read<ServiceUpdate>(recorded::with_loads::kServiceUpdate).loads->front().slowness_percent == 120);
  for (const auto& digits : {recorded::without_loads::kQuotaAnswer, recorded::with_loads::kQuotaAnswer}) {
    CHECK(read<QuotaAnswer>(digits).decisions.front().granted);
  }
}

TEST_CASE("The features of a peer's build are detected from the number of members that it encodes") {
  CHECK_FALSE(read<ServiceUpdate>(recorded::without_loads::kServiceUpdate).supportsQuotaHistories());
  CHECK(read<ServiceUpdate>(recorded::with_loads::kServiceUpdate).supportsQuotaHistories());
  CHECK_FALSE(read<CallRouterStatus>(recorded::without_loads::kRouterStatus).supportsIncarnationIds());
  CHECK(read<CallRouterStatus>(recorded::with_loads::kRouterStatus).supportsIncarnationIds());
}

/// Returns the encoded envelope of a frame.
std::string bodyOf(const std::string& frame) {
  const msgpack::object_handle handle = msgpack::unpack(frame.data(), frame.size());
  return handle.get().via.array.ptr[1].as<std::string>();
}

/// True if `later` contains all of `earlier`, each member at its position; messages in `later` may have
/// additional members at the end.
bool extends(const msgpack::object& later, const msgpack::object& earlier) {
  if (earlier.type != msgpack::type::ARRAY) {
    return later == earlier;
  }
  if (later.type != msgpack::type::ARRAY || later.via.array.size < earlier.via.array.size) {
    return false;
  }
  for (std::uint32_t i = 0; i < earlier.via.array.size; ++i) {
    if (!extends(later.via.array.ptr[i], earlier.via.array.ptr[i])) {
      return false;
    }
  }
  return true;
}

/// Fails if a member is inserted in the middle of a list or removed, or if a value is encoded differently.
TEST_CASE(
    "Messages of the build with replica loads are re-encoded unchanged, apart from new members at the end") {
  for (const auto& digits : {recorded::with_loads::kQuotaUse, recorded::with_loads::kRouterStatus,
                             recorded::with_loads::kServiceUpdate, recorded::with_loads::kQuotaAnswer}) {
    const std::string bytes = recorded::bytes(digits);
    const std::string again = encodeEnvelope(decodeEnvelope(bytes));
    const std::string earlier_body = bodyOf(bytes);
    const std::string later_body = bodyOf(again);
    const msgpack::object_handle earlier = msgpack::unpack(earlier_body.data(), earlier_body.size());
    const msgpack::object_handle later = msgpack::unpack(later_body.data(), later_body.size());
    CHECK(extends(later.get(), earlier.get()));
  }
}

TEST_CASE("Messages without new members are re-encoded byte for byte") {
  const std::string bytes = recorded::bytes(recorded::with_loads::kQuotaUse);
  CHECK(encodeEnvelope(decodeEnvelope(bytes)) == bytes);
}

/// The member's default takes one byte at the end, so that the body's length and its count of members are one
/// higher. All other bytes are as recorded.
TEST_CASE("A message with one new last member is re-encoded byte for byte but for this member") {
  const std::string bytes = recorded::bytes(recorded::with_loads::kQuotaAnswer);
  const std::string again = encodeEnvelope(decodeEnvelope(bytes));
  REQUIRE(again.size() == bytes.size() + 1);
  CHECK(again.back() == '\0');
  std::vector<int> differences;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (again[i] != bytes[i]) {
      differences.push_back(again[i] - bytes[i]);
    }
  }
  CHECK(differences == std::vector{1, 1});
}

/// Messages as known to the build before subscriber tables: each list of members ends earlier.
struct LegacyHello {
  MemberId id;
  NodeName node;
  std::string address;
  std::string http;
  bool has_leader = false;
  FERRYROCK_FIELDS(LegacyHello, id, node, address, http, has_leader)
};
struct LegacyMemberList {
  std::vector<NodeName> nodes;
  NodeName leader;
  FERRYROCK_FIELDS(LegacyMemberList, nodes, leader)
};

TEST_CASE("The earlier build decodes messages of members without the new fields") {
  MemberHello hello{MemberId{3}, NodeName("c:1"), "c:1", "c:2", true, 9, {}, true};
  hello.contacts = {{NodeName("edge-1"), ZoneName("z"), "edge-1:80", 5, true}};
  const auto read_hello = decode<LegacyHello>(encode(hello));
  CHECK(read_hello == LegacyHello{MemberId{3}, NodeName("c:1"), "c:1", "c:2", true});
  const MemberList list{{NodeName("c:1")}, NodeName("c:1"), 4000};
  CHECK(decode<LegacyMemberList>(encode(list)) == LegacyMemberList{{NodeName("c:1")}, NodeName("c:1")});
}

TEST_CASE("A peer of the earlier build gets whole tables and default status intervals") {
  const auto hello =
      decode<MemberHello>(encode(LegacyHello{MemberId{3}, NodeName("c:1"), "c:1", "c:2", true}));
  CHECK(hello.http == "c:2");
  CHECK_FALSE(hello.supportsContacts());
  CHECK_FALSE(hello.leaving);
  CHECK(decode<MemberList>(encode(LegacyMemberList{{}, NodeName("c:1")})).status_interval_ms == 0);
  CHECK_FALSE(read<CallRouterStatus>(recorded::with_loads::kRouterStatus).subscribes);
  CHECK(read<ServiceUpdate>(recorded::with_loads::kServiceUpdate).table == 0);
}

TEST_CASE("Crash records and quarantines of the build without traits are decoded as those of calls") {
  const auto records = read<CrashRecords>(recorded::without_traits::kCrashRecords);
  CHECK(records.shares_all);
  CHECK(records.trial_requests.empty());
  CHECK(records.trial_grants.empty());
  const Command command = decodeCommand(recorded::bytes(recorded::without_traits::kQuarantineCommand));
  for (const CrashRecord& record : {records.records.at(0), std::get<QuarantineCallCommand>(command).record}) {
    CHECK(record.call == CallFingerprint{1, 2});
    CHECK(record.ended == std::vector<ReplicaCrash>{{ReplicaId("r1"), false, false},
                                                    {ReplicaId("r2"), true, false},
                                                    {ReplicaId("r3"), false, false}});
    CHECK(record.age_ms == 250);
    CHECK(record.kind == SuspectKind::Call);
    CHECK(record.trials == 0);
  }
}

/// Crash records as known to the build without traits.
struct LegacyReplicaCrash {
  ReplicaId replica;
  bool refuted = false;
  FERRYROCK_FIELDS(LegacyReplicaCrash, replica, refuted)
};
struct LegacyCrashRecord {
  CallFingerprint call;
  std::vector<LegacyReplicaCrash> ended;
  std::int64_t age_ms = 0;
  FERRYROCK_FIELDS(LegacyCrashRecord, call, ended, age_ms)
};
struct LegacyCrashRecords {
  std::vector<LegacyCrashRecord> records;
  bool shares_all = false;
  FERRYROCK_FIELDS(LegacyCrashRecords, records, shares_all)
};

TEST_CASE("The build without traits decodes the crash records of traits as records") {
  CrashRecord record{{1, 2}, {{ReplicaId("r1"), true, true}}, 250, SuspectKind::PromptPart, "a1", 2};
  const auto legacy = decode<LegacyCrashRecords>(encode(CrashRecords{{record}, true, {{1, 2}}, {{3, 4}}}));
  const LegacyCrashRecord expected{{1, 2}, {{ReplicaId("r1"), true}}, 250};
  CHECK(legacy == LegacyCrashRecords{{expected}, true});
}

}  // namespace
}  // namespace ferryrock::wire
