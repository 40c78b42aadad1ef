#include <catch2/catch.hpp>
#include <string>

#include "calls/call_fixture.h"

/// Keys and quotas, as checked for the calls of a router.
namespace ferryrock::calls {
namespace {

using namespace std::chrono_literals;
using tenancy::Credential;

constexpr Duration kKeyLifetime = 5s;
constexpr std::uint64_t kIncarnation = 77;
const NodeName kLeader("control-1");

/// A router with tenant "a", which has the key "secret" and a quota of 1,000 tokens a second. /safe/ is open
/// to callers without a key.
class TenantFixture : public CallFixture {
 public:
  TenantFixture() : router_(keyedSettings(), log_, now) {}

  static CallRouterSettings keyedSettings() {
    CallRouterSettings settings = CallFixture::settings(100);
    settings.feed.incarnation = kIncarnation;
    settings.feed.key_lifetime = kKeyLifetime;
    return settings;
  }
  static wire::ServiceCatalog keyedCatalog(std::uint64_t version, const std::string& key) {
    wire::ServiceCatalog catalog = CallFixture::catalog(version);
    catalog.has_tenants = true;
    wire::Tenant tenant;
    tenant.name = TenantName("a");
    tenant.keys = {key};
    tenant.priority = 6;
    tenant.quota = wire::TenantQuota{wire::QuotaUnit::Tokens, 1000, 1000, 200};
    catalog.tenants = {tenant};
    catalog.routes.front().allows_anonymous = true;  // /safe/
    return catalog;
  }
  void update(wire::ServiceUpdate update, std::uint64_t proved_sequence) {
    update.revision = LogIndex{(std::uint64_t{1} << 40) | ++revisions_};
    update.version = CatalogVersion{version_};
    update.proved = {kIncarnation, proved_sequence};
    update.retry_credits = retryCredits();
    update.retry_credits->incarnation = kIncarnation;
    take(router_.receive({kLeader, update}, now));
  }
  void begin(bool limited = false) {
    take(router_.tick(now));  // sends status 1
    wire::ServiceUpdate first;
    version_ = 1;
    first.catalog = keyedCatalog(1, "secret");
    first.replicas = {replica("r1"), replica("r2"), replica("r3")};
    if (limited) {
      first.limited_tenants = {TenantName("a")};
    }
    update(first, 1);
  }
  CallNumber keyed(const Credential& credential, const std::string& path = "/once/x") {
    CallRequest request;
    request.number = CallNumber{++numbers_};
    request.id = RequestId("call-" + std::to_string(numbers_));
    request.host = "example";
    request.path = path;
    request.time_limit = 10s;
    request.prompt_tokens = 300;
    request.answer_tokens = 100;
    request.has_token_counts = true;
    request.credential = credential;
    take(router_.onCall(request, now));
    return CallNumber{numbers_};
  }
  void passTime(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now = std::min(end, std::max(now + 1ms, router_.nextDeadline()));
      take(router_.tick(now));
    }
  }
  ResultCode refusal() const {
    const auto* refused = last<RefuseCallEffect>();
    return refused == nullptr ? ResultCode::Ok : refused->code;
  }
  /// Returns the last quota message to the leader; nullptr: none.
  const wire::QuotaUse* lastQuotaUse() const {
    for (auto effect = all.rbegin(); effect != all.rend(); ++effect) {
      const auto* send = std::get_if<wire::SendEffect>(&*effect);
      const auto* use = send == nullptr ? nullptr : std::get_if<wire::QuotaUse>(&send->message);
      if (use != nullptr) {
        return use;
      }
    }
    return nullptr;
  }
  void decide(std::uint64_t number, bool granted, std::int64_t retry_after_ms = 0) {
    wire::QuotaAnswer answer;
    answer.incarnation = kIncarnation;
    answer.decisions = {{number, granted, retry_after_ms}};
    take(router_.receive({kLeader, answer}, now));
  }
  CallRouter& keyedRouter() { return router_; }

  std::uint64_t version_ = 0;

 private:
  NoEventLog log_;
  CallRouter router_;
  std::uint64_t numbers_ = 0;
  std::uint64_t revisions_ = 0;
};

const Credential kSecret{Credential::Form::Key, "secret"};

TEST_CASE("Only a tenant's key permits a call, and the replica gets the tenant's name and priority") {
  TenantFixture fixture;
  fixture.begin();
  fixture.keyed(kSecret);
  const auto* sent = fixture.last<SendAttemptEffect>();
  REQUIRE(sent != nullptr);
  CHECK(sent->tenant == TenantName("a"));
  CHECK(sent->withhold_key);
  CHECK(sent->priority == 6);
  const auto wrong = GENERATE(
      Credential{}, Credential{Credential::Form::Malformed, {}}, Credential{Credential::Form::Key, "secre"},
      Credential{Credential::Form::Key, "secret2"}, Credential{Credential::Form::Key, ""});
  fixture.keyed(wrong);
  CHECK(fixture.refusal() == ResultCode::UnknownKey);
  CHECK(fixture.last<RefuseCallEffect>()->not_run);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

/// Guards against a replaced leader whose late update lifts the limits that its successor has set.
TEST_CASE("A late update of a replaced leader doesn't change which tenants request credit, or from whom") {
  TenantFixture fixture;
  fixture.begin(true);
  wire::ServiceUpdate late;
  late.revision = LogIndex{1};
  late.version = CatalogVersion{1};
  fixture.take(fixture.keyedRouter().receive({NodeName("control-2"), late}, fixture.now));
  fixture.keyed(kSecret);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  REQUIRE(fixture.lastQuotaUse() != nullptr);
  CHECK(fixture.lastQuotaUse()->asks.size() == 1);
}

TEST_CASE("An open route needs no key but rejects a wrong one") {
  TenantFixture fixture;
  fixture.begin();
  fixture.keyed({}, "/safe/x");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
  CHECK_FALSE(fixture.last<SendAttemptEffect>()->tenant.has_value());
  fixture.keyed({Credential::Form::Key, "wrong"}, "/safe/x");
  CHECK(fixture.refusal() == ResultCode::UnknownKey);
}

TEST_CASE("Without a current catalog proof, calls with a key are refused at once and open ones run") {
  TenantFixture fixture;
  fixture.begin();
  fixture.passTime(kKeyLifetime);
  fixture.keyed(kSecret);
  CHECK(fixture.refusal() == ResultCode::CatalogUnproved);
  CHECK(fixture.last<RefuseCallEffect>()->retry_after.has_value());
  fixture.keyed({Credential::Form::Key, "may be new"});
  CHECK(fixture.refusal() == ResultCode::CatalogUnproved);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  fixture.keyed({}, "/safe/x");
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("The proof and the key are checked again when a waiting call is sent") {
  TenantFixture fixture;
  fixture.begin();
  wire::ServiceUpdate none;
  none.base = LogIndex{(std::uint64_t{1} << 40) | 1};
  none.removed = {ReplicaId("r1"), ReplicaId("r2"), ReplicaId("r3")};
  fixture.update(none, 1);
  fixture.keyed(kSecret);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  REQUIRE(fixture.count<RefuseCallEffect>() == 0);
  wire::ServiceUpdate back;
  back.base = none.base;
  back.replicas = {CallFixture::replica("r4")};
  SECTION("the key was removed meanwhile") {
    fixture.version_ = 2;
    back.catalog = TenantFixture::keyedCatalog(2, "other");
    fixture.update(back, 1);
    CHECK(fixture.count<SendAttemptEffect>() == 0);
    CHECK(fixture.refusal() == ResultCode::UnknownKey);
  }
  SECTION("another catalog still lists it") {
    fixture.version_ = 2;
    back.catalog = TenantFixture::keyedCatalog(2, "secret");
    fixture.update(back, 1);
    CHECK(fixture.count<SendAttemptEffect>() == 1);
  }
}

TEST_CASE("Calls wait for the first catalog proof after the first catalog") {
  TenantFixture fixture;
  fixture.take(fixture.keyedRouter().tick(fixture.now));
  wire::ServiceUpdate first;
  fixture.version_ = 1;
  first.catalog = TenantFixture::keyedCatalog(1, "secret");
  first.replicas = {CallFixture::replica("r1")};
  fixture.update(first, 0);
  fixture.keyed(kSecret);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  CHECK(fixture.count<RefuseCallEffect>() == 0);
  fixture.update({}, 1);
  CHECK(fixture.count<SendAttemptEffect>() == 1);
}

TEST_CASE("A tenant that isn't limited runs calls at once, and their quota use is reported together") {
  TenantFixture fixture;
  fixture.begin();
  fixture.keyed(kSecret);
  fixture.keyed(kSecret);
  CHECK(fixture.count<SendAttemptEffect>() == 2);
  fixture.passTime(60ms);
  REQUIRE(fixture.lastQuotaUse() != nullptr);
  REQUIRE(fixture.lastQuotaUse()->spent.size() == 1);
  CHECK(fixture.lastQuotaUse()->spent[0].total == 800);
  CHECK(fixture.lastQuotaUse()->asks.empty());
}

TEST_CASE("A call of a limited tenant waits for its credit") {
  TenantFixture fixture;
  fixture.begin(true);
  const CallNumber call = fixture.keyed(kSecret);
  CHECK(fixture.count<SendAttemptEffect>() == 0);
  REQUIRE(fixture.lastQuotaUse() != nullptr);
  REQUIRE(fixture.lastQuotaUse()->asks.size() == 1);
  CHECK(fixture.lastQuotaUse()->asks[0].amount == 400);
  SECTION("granted") {
    fixture.decide(call.value, true);
    CHECK(fixture.count<SendAttemptEffect>() == 1);
    fixture.decide(call.value, true);
    CHECK(fixture.count<SendAttemptEffect>() == 1);
  }
  SECTION("refused, with the time at which there is credit") {
    fixture.decide(call.value, false, 700);
    CHECK(fixture.refusal() == ResultCode::QuotaSpent);
    CHECK(fixture.last<RefuseCallEffect>()->not_run);
    CHECK(fixture.last<RefuseCallEffect>()->retry_after == 700ms);
  }
  SECTION("its caller leaves first, and the credit is given back") {
    fixture.take(fixture.keyedRouter().onCallerGone(call, fixture.now));
    fixture.decide(call.value, true);
    fixture.passTime(60ms);
    REQUIRE(fixture.lastQuotaUse()->spent.size() == 1);
    CHECK(fixture.lastQuotaUse()->spent[0].total == -400);
  }
}

TEST_CASE("The charge for a call that certainly didn't run is refunded once") {
  TenantFixture fixture;
  fixture.begin();
  fixture.keyed(kSecret);
  fixture.passTime(60ms);
  REQUIRE(fixture.lastQuotaUse()->spent[0].total == 400);
  SECTION("refused by replicas") {
    for (int i = 0; i < 3; ++i) {
      fixture.take(fixture.keyedRouter().onAnswer(fixture.attempt(), {503, true}, fixture.now));
    }
    REQUIRE(fixture.count<RefuseCallEffect>() == 1);
    fixture.passTime(60ms);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 0);
  }
  SECTION("it may have run") {
    fixture.take(fixture.keyedRouter().onFailure(fixture.attempt(), AttemptFailure::OutcomeUnknown, "reset",
                                                 fixture.now));
    REQUIRE(fixture.count<RefuseCallEffect>() == 1);
    fixture.passTime(60ms);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 400);
  }
}

/// The quota counts what replicas run: a call that one replica broke off and another one runs again counts
/// twice.
TEST_CASE("A retry is charged again only if the previous attempt may have run") {
  TenantFixture fixture;
  fixture.begin();
  fixture.keyed(kSecret, "/safe/x");
  REQUIRE(fixture.count<SendAttemptEffect>() == 1);
  SECTION("it may have run") {
    const ReplicaId first = fixture.last<SendAttemptEffect>()->replica;
    fixture.take(fixture.keyedRouter().onFailure(fixture.attempt(), AttemptFailure::OutcomeUnknown, "reset",
                                                 fixture.now));
    fixture.take(fixture.keyedRouter().onProbed(first, ProbeOutcome::Alive, fixture.now));
    fixture.passTime(60ms);
    REQUIRE(fixture.count<SendAttemptEffect>() == 2);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 800);
    fixture.take(fixture.keyedRouter().onAnswer(fixture.attempt(), {503, true}, fixture.now));
    fixture.passTime(60ms);
    // The second attempt didn't run, so the third one is covered by its charge.
    CHECK(fixture.count<SendAttemptEffect>() == 3);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 800);
  }
  SECTION("it ran, and failed") {
    fixture.take(fixture.keyedRouter().onAnswer(fixture.attempt(), {500, false}, fixture.now));
    fixture.passTime(60ms);
    REQUIRE(fixture.count<SendAttemptEffect>() == 2);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 800);
  }
  SECTION("it didn't run") {
    fixture.take(fixture.keyedRouter().onAnswer(fixture.attempt(), {503, true}, fixture.now));
    fixture.passTime(60ms);
    REQUIRE(fixture.count<SendAttemptEffect>() == 2);
    CHECK(fixture.lastQuotaUse()->spent[0].total == 400);
  }
}

}  // namespace
}  // namespace ferryrock::calls
