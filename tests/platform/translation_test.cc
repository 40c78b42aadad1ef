#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "platform/call_dialect.h"
#include "platform/catalog_json.h"
#include "platform/order_dialect.h"
#include "platform/replica_json.h"
#include "wire/replica_incarnation.h"

/// The translations of platform/, case by case.
namespace ferryrock::platform {
namespace {

const PlatformCallDialect kDialect;

http::Request request() {
  http::Request request;
  request.method = "POST";
  request.target = "/lohu930/2f?q=%20";
  request.headers = {{"Host", "ficu95.example"},
                     {"X-Attempt-Id", "9c41"},
                     {"X-Deadline-Ms", "1500"},
                     {"X-Model", "daka51/a3"},
                     {"X-Token-Count", "1460,80"},
                     {"Last-Event-Id", "12"},
                     {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
                     {"Connection", "keep-alive"},
                     {"X-Own", "1"}};
  request.body = "{}";
  return request;
}

TEST_CASE("A client's request is read") {
  const auto call = kDialect.parse(request());
  CHECK(call.request.id == RequestId("9c41"));
  CHECK(call.request.host == "ficu95.example");
  CHECK(call.request.path == "/lohu930/2f");
  CHECK(call.request.time_limit == std::chrono::milliseconds(1500));
  CHECK(call.request.model == ModelName("daka51"));
  CHECK(call.request.adapter == "a3");
  CHECK(call.request.prompt_tokens == 1460);
  CHECK(call.request.answer_tokens == 80);
  CHECK(call.request.resume_after == 12);
  CHECK(call.content.target == "/lohu930/2f?q=%20");
  http::Request other = request();
  other.headers[6].value = "5c:800,91:410,ff:1";
  CHECK(kDialect.parse(other).request.affinity_key == call.request.affinity_key);
  CHECK(call.request.shared_parts == std::vector<std::string>{"5c", "91"});
}

TEST_CASE("A header that isn't a number is refused as such") {
  http::Request broken = request();
  broken.headers[2].value = "soon";
  CHECK_THROWS_AS(kDialect.parse(broken), Error);
}

TEST_CASE("A replica gets the request as it was, with the time left and its own id") {
  const auto call = kDialect.parse(request());
  calls::SendAttemptEffect effect;
  effect.replica = ReplicaId("i-7f");
  effect.address = "10.0.0.9:80";
  effect.time_left = std::chrono::milliseconds(1234);
  const http::ClientRequest sent = kDialect.attempt(effect, call.content);
  CHECK(sent.url == "http://10.0.0.9:80/lohu930/2f?q=%20");
  CHECK(sent.body == "{}");
  CHECK(http::findHeader(sent.headers, "X-Deadline-Ms") == "1234");
  CHECK(http::findHeader(sent.headers, "X-Expect-Instance") == "i-7f");
  CHECK(http::findHeader(sent.headers, "X-Attempt-Id") == "9c41");
  CHECK(http::findHeader(sent.headers, "X-Model") == "daka51/a3");
  CHECK(http::findHeader(sent.headers, "X-Own") == "1");
  CHECK(http::findHeader(sent.headers, "Last-Event-Id") == "12");
  CHECK_FALSE(http::findHeader(sent.headers, "Connection").has_value());
  effect.resume_after = 20;
  CHECK(http::findHeader(kDialect.attempt(effect, call.content).headers, "Last-Event-Id") == "20");
}

/// What a client may send in the place of a header that only the system sets.
TEST_CASE("A header that only the system sets never reaches a replica as a client sent it") {
  const auto name = GENERATE("X-Hold", "x-hold", "X-PIN-MS", "X-Kv-Backup", "kv-from", "Kv-Fetch", "X-Tenant",
                             "x-TENANT", "X-Request-Priority", "X-Expect-Version");
  http::Request forged = request();
  forged.headers.push_back({name, "forged"});
  forged.headers.push_back({name, "forged again"});
  forged.headers.push_back({"X-Expect-Instance", "forged"});
  const auto call = kDialect.parse(forged);
  calls::SendAttemptEffect effect;
  effect.replica = ReplicaId("i-7f");
  const http::ClientRequest sent = kDialect.attempt(effect, call.content);
  CHECK_FALSE(http::findHeader(sent.headers, name).has_value());
  for (const http::Header& header : sent.headers) {
    CHECK(header.value.find("forged") == std::string::npos);
  }
  CHECK(http::findHeader(sent.headers, "X-Expect-Instance") == "i-7f");
}

TEST_CASE("A Connection header takes away no header that the platform gives a meaning to") {
  http::Request listed = request();
  listed.headers.push_back({"X-Hop", "1"});
  listed.headers[7].value =
      "close, X-Attempt-Id, x-model, X-Token-Count, X-Prompt-Prefix, X-Hop, Last-Event-Id";
  const auto call = kDialect.parse(listed);
  const http::ClientRequest sent = kDialect.attempt({}, call.content);
  CHECK(http::findHeader(sent.headers, "X-Attempt-Id") == "9c41");
  CHECK(http::findHeader(sent.headers, "X-Model") == "daka51/a3");
  CHECK(http::findHeader(sent.headers, "X-Token-Count") == "1460,80");
  CHECK(http::findHeader(sent.headers, "X-Prompt-Prefix") == "5c:800,91:410,e4:250");
  CHECK(http::findHeader(sent.headers, "Last-Event-Id") == "12");
  CHECK_FALSE(http::findHeader(sent.headers, "X-Hop").has_value());
}

TEST_CASE("A replica gets the tenant's name in place of the key") {
  http::Request keyed = request();
  keyed.headers.push_back({"authorization", "Bearer secret"});
  const auto call = kDialect.parse(keyed);
  calls::SendAttemptEffect effect;
  CHECK(http::findHeader(kDialect.attempt(effect, call.content).headers, "Authorization") == "Bearer secret");
  effect.withhold_key = true;
  effect.tenant = TenantName("hule930");
  const http::ClientRequest sent = kDialect.attempt(effect, call.content);
  CHECK_FALSE(http::findHeader(sent.headers, "Authorization").has_value());
  CHECK(http::findHeader(sent.headers, "X-Tenant") == "hule930");
}

struct CredentialCase {
  const char* name;
  std::vector<http::Header> headers;
  tenancy::Credential::Form form;
  const char* key;
};

TEST_CASE("A key is read from one well-formed header only") {
  using Form = tenancy::Credential::Form;
  const std::string longest(8'000, 'k');
  const std::vector<CredentialCase> cases = {
      {"none", {}, Form::None, ""},
      {"a key", {{"Authorization", "Bearer k1"}}, Form::Key, "k1"},
      {"odd case", {{"aUTHORIZATION", "bEARER k1"}}, Form::Key, "k1"},
      {"an overlong key", {{"Authorization", "Bearer " + longest}}, Form::Key, longest.c_str()},
      {"empty", {{"Authorization", ""}}, Form::Malformed, ""},
      {"no key", {{"Authorization", "Bearer"}}, Form::Malformed, ""},
      {"an empty key", {{"Authorization", "Bearer "}}, Form::Malformed, ""},
      {"another scheme", {{"Authorization", "Basic azE="}}, Form::Malformed, ""},
      {"two keys in one header", {{"Authorization", "Bearer k1 k2"}}, Form::Malformed, ""},
      {"a key twice", {{"Authorization", "Bearer k1"}, {"authorization", "Bearer k1"}}, Form::Malformed, ""},
      {"not ASCII", {{"Authorization", "Bearer k\xc3\xa9"}}, Form::Malformed, ""},
      {"a control character", {{"Authorization", "Bearer k\t1"}}, Form::Malformed, ""},
  };
  for (const CredentialCase& given : cases) {
    INFO(given.name);
    http::Request keyed = request();
    keyed.headers.insert(keyed.headers.end(), given.headers.begin(), given.headers.end());
    const tenancy::Credential credential = kDialect.parse(keyed).request.credential;
    CHECK(credential.form == given.form);
    CHECK(credential.key == given.key);
  }
}

TEST_CASE("A success needs this call's id and a seal, a failure the id alone") {
  const RequestId id("9c41");
  CHECK(kDialect.answersCall(id, 200, {{"X-Attempt-Id", "9c41"}, {"X-Server-Seal", "s"}}));
  CHECK_FALSE(kDialect.answersCall(id, 200, {{"X-Attempt-Id", "9c41"}}));
  CHECK_FALSE(kDialect.answersCall(id, 200, {{"X-Attempt-Id", "0000"}, {"X-Server-Seal", "s"}}));
  CHECK(kDialect.answersCall(id, 503, {{"X-Attempt-Id", "9c41"}}));
}

TEST_CASE("Only a marked answer or 421 proves that a call wasn't run") {
  CHECK(kDialect.summarize(503, {{"X-Not-Executed", "1"}}).proven_not_run);
  CHECK(kDialect.summarize(421, {}).proven_not_run);
  CHECK_FALSE(kDialect.summarize(503, {}).proven_not_run);
  CHECK_FALSE(kDialect.summarize(500, {}).proven_not_run);
}

TEST_CASE("What a replica says of itself is read from the head of any answer but a misdirected one's") {
  for (const int status : {200, 404, 429, 500, 503}) {
    INFO(status);
    CHECK(kDialect.notice(status, {{"server-leaving", "1"}}).leaving);
  }
  CHECK_FALSE(kDialect.notice(421, {{"Server-Leaving", "1"}}).leaving);
  CHECK_FALSE(kDialect.notice(200, {{"Server-Leaving", "0"}}).leaving);
  CHECK(kDialect.notice(200, {{"X-Odd", "1"}}).empty());
}

/// What a replica wrote as the time that it wants no calls, and what is read.
struct RetryAfterCase {
  int status;
  const char* text;
  std::optional<Duration> read;
};

TEST_CASE(
    "The time for which a replica wants no calls is read in seconds with fractions, and all else is told "
    "unread") {
  using std::chrono::milliseconds;
  const std::vector<RetryAfterCase> cases = {
      {503, "3", milliseconds(3000)},
      {503, "0.25", milliseconds(250)},
      {429, "1.5", milliseconds(1500)},
      {503, "86400", std::chrono::hours(24)},
      {503, "1e300", std::chrono::seconds(100'000'000)},
      {503, "0", std::nullopt},
      {503, "-1", std::nullopt},
      {503, "nan", std::nullopt},
      {503, "3 s", std::nullopt},
      {503, "", std::nullopt},
      {503, "Thu, 03 Dec 2026 04:30:00 GMT", std::nullopt},
  };
  for (const RetryAfterCase& given : cases) {
    INFO(given.status << " '" << given.text << "'");
    const calls::ReplicaNotice notice = kDialect.notice(given.status, {{"Retry-After", given.text}});
    CHECK(notice.retry_after == given.read);
    CHECK(notice.malformed_retry_after == (given.read ? "" : given.text));
  }
  CHECK(kDialect.notice(200, {{"Retry-After", "3"}}).empty());
  CHECK(kDialect.notice(421, {{"Retry-After", "3"}}).empty());
}

/// What a replica wrote as the calls a second that it takes, and what is read.
struct LimitCase {
  const char* text;
  std::optional<double> read;
};

TEST_CASE(
    "The calls a second that a replica takes are read as a decimal number from 0, and all else is told "
    "unread") {
  const std::vector<LimitCase> cases = {
      {"1.2", 1.2},
      {"0", 0.0},
      {"0.05", 0.05},
      {"7", 7.0},
      {"1e300", 1e6},
      {"-1", std::nullopt},
      {"nan", std::nullopt},
      {"inf", std::nullopt},
      {"1.2/s", std::nullopt},
      {"few", std::nullopt},
      {"1 2", std::nullopt},
      {"+3", std::nullopt},
  };
  for (const LimitCase& given : cases) {
    for (const int status : {200, 404, 429, 500, 503}) {
      INFO(status << " '" << given.text << "'");
      const calls::ReplicaNotice notice = kDialect.notice(status, {{"server-limit", given.text}});
      CHECK(notice.calls_per_second == given.read);
      CHECK(notice.malformed_limit == (given.read ? "" : given.text));
      CHECK_FALSE(notice.limit_absent);
    }
  }
  CHECK(kDialect.notice(200, {{"Server-Limit", ""}}).malformed_limit == "(empty)");
  CHECK(kDialect.notice(200, {{"Server-Limit", "4"}, {"Server-Limit", "2"}}).calls_per_second == 2);
  CHECK(kDialect.notice(421, {{"Server-Limit", "4"}}).empty());
}

TEST_CASE("Only an answer of a call that ran says by its silence that a replica has no limit") {
  CHECK(kDialect.notice(200, {}).limit_absent);
  for (const int status : {404, 421, 429, 500, 503}) {
    CHECK_FALSE(kDialect.notice(status, {}).limit_absent);
  }
}

TEST_CASE("How many refusals a second a replica survives is read from each of its answers") {
  CHECK(kDialect.notice(200, {{"Server-Brittle", "6"}}).brittle_refusals == 6);
  CHECK(kDialect.notice(503, {{"server-brittle", "2.5"}}).brittle_refusals == 2.5);
  CHECK(kDialect.notice(200, {{"Server-Brittle", "0"}}).brittle_refusals == 0);
  CHECK(kDialect.notice(200, {{"Server-Brittle", "9"}, {"Server-Brittle", "4"}}).brittle_refusals == 4);
  for (const char* text : {"", "few", "-1", "3x", "nan", "inf"}) {
    const calls::ReplicaNotice notice = kDialect.notice(200, {{"Server-Brittle", text}});
    CHECK_FALSE(notice.brittle_refusals);
    CHECK_FALSE(notice.malformed_brittle.empty());
    CHECK_FALSE(notice.brittle_absent);
    CHECK(notice.unknown_header.empty());
  }
  CHECK(kDialect.notice(200, {}).brittle_absent);
  CHECK_FALSE(kDialect.notice(503, {}).brittle_absent);
  CHECK_FALSE(kDialect.notice(421, {{"Server-Brittle", "6"}}).brittle_refusals);
}

TEST_CASE("A header of the replicas' own that isn't known is told") {
  CHECK(kDialect.notice(200, {{"X-Odd", "1"}, {"Server-Mood", "low"}}).unknown_header == "Server-Mood");
  CHECK(kDialect.notice(200, {{"Server", "x"}, {"Server-Limit", "1"}, {"Server-Leaving", "1"}})
            .unknown_header.empty());
}

TEST_CASE("A status that promises that a call wasn't run is told only when that is certain") {
  constexpr bool kNotRun = true;
  const RequestId id("9c41");
  const Duration pause = std::chrono::milliseconds(200);
  const auto sure = kDialect.refusal(id, ResultCode::ReplicaRefused, kNotRun, pause, "");
  CHECK(sure.status == 503);
  CHECK(http::findHeader(sure.headers, "Retry-After") == "0.200");
  CHECK(http::findHeader(sure.headers, "X-Attempt-Id") == "9c41");
  CHECK(kDialect.refusal(id, ResultCode::ReplicaRefused, !kNotRun, std::nullopt, "").status == 502);
  CHECK(kDialect.refusal(id, ResultCode::DeadlineExpiredRunning, !kNotRun, std::nullopt, "").status == 504);
  CHECK(kDialect.refusal(id, ResultCode::UnknownRoute, kNotRun, std::nullopt, "").status == 404);
}

const std::string kCatalog =
    R"({"generation":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming","timeoutMs":25000,)"
    R"("targetLatencyMs":6000,"priority":1,"service":"s","maxAttempts":2,"sticky":true,"resumable":true,)"
    R"("gapTargetMs":300},{"name":"r2","host":"h","pathPrefix":"/b/","kind":"safe","timeoutMs":1000,)"
    R"("trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]}],)"
    R"("services":[{"name":"s","healthPath":"/health","maxConns":370,"engine":{"slots":64,"kvCapacity":129500,)"
    R"("weightsMb":200000.0,"adapterSlots":8,"loadsPerS":2.2,"unknown":1,"models":[{"name":"m","weightsMb":42700.5,)"
    R"("loadTimeS":2.5,"adapters":37,"adapterMb":66.0,"warmS":0.89,"diskLoadS":1.2}]}},{"name":"t"}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

const std::string kTenants =
    R"({"generation":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":1000,)"
    R"("service":"s","allowAnonymous":true}],"services":[{"name":"s"}],"tenants":[{"name":"a",)"
    R"("apiKeys":["secret-1","secret-2"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":2700,)"
    R"("burst":900},{"name":"b","apiKeys":[],"unit":"request","ratePerS":5},{"name":"c","ratePerS":0}]})";

TEST_CASE("A configuration's tenants are read, and an absent limit is none") {
  const wire::ServiceCatalog catalog = parseCatalog(kTenants);
  CHECK(catalog.has_tenants);
  CHECK(catalog.routes.at(0).allows_anonymous);
  REQUIRE(catalog.tenants.size() == 3);
  CHECK(catalog.tenants[0].keys == std::vector<std::string>{"secret-1", "secret-2"});
  CHECK(catalog.tenants[0].priority == 1U);
  CHECK(catalog.tenants[0].quota == wire::TenantQuota{wire::QuotaUnit::Tokens, 2700, 900, 200});
  CHECK_FALSE(catalog.tenants[1].priority.has_value());
  CHECK(catalog.tenants[1].quota == wire::TenantQuota{wire::QuotaUnit::Calls, 5, 0, 1});
  CHECK_FALSE(catalog.tenants[2].quota.has_value());
  CHECK_FALSE(parseCatalog(kCatalog).has_tenants);
}

TEST_CASE("What is said of a configuration that can't be read shows no key of it") {
  for (std::size_t length = 1; length < kTenants.size(); ++length) {
    try {
      parseCatalog(std::string_view(kTenants).substr(0, length));
      FAIL("read a part of " << length << " bytes");
    } catch (const Error& fault) {
      CHECK(std::string(fault.what()).find("secr") == std::string::npos);
    }
  }
}

TEST_CASE("A configuration is read whole") {
  const wire::ServiceCatalog catalog = parseCatalog(kCatalog);
  CHECK(catalog.version == CatalogVersion{7});
  REQUIRE(catalog.routes.size() == 2);
  CHECK(catalog.routes[0].kind == wire::CallKind::Streaming);
  CHECK(catalog.routes[0].caller_idle_timeout_ms == 24000);  // four times the objective
  CHECK(catalog.routes[1].caller_idle_timeout_ms == 0);
  CHECK(catalog.routes[0].resumable);
  CHECK(catalog.routes[0].affinity);
  CHECK(catalog.routes[1].targets[0].weight == 90);
  REQUIRE(catalog.services[0].engine.has_value());
  CHECK(catalog.services[0].engine->models[0].memory_load_ms == 890);
  CHECK(catalog.services[0].engine->loads_per_second == 2.2);
  CHECK_FALSE(catalog.services[1].engine.has_value());
  CHECK(catalog.limits.idle_timeout_ms == 15000);
}

TEST_CASE("A configuration that is cut short or lacks a field is refused, wherever it is cut") {
  for (std::size_t length = 0; length < kCatalog.size(); ++length) {
    CHECK_THROWS_AS(parseCatalog(kCatalog.substr(0, length)), Error);
  }
  CHECK_THROWS_AS(parseCatalog("[]"), Error);
  CHECK_THROWS_AS(parseCatalog(R"({"generation":"x","routes":[],"services":[]})"), Error);
}

TEST_CASE("Heartbeats and notices are read") {
  const std::string body =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"draining","remainingMs":2000,)"
      R"("coldRemainingMs":5,"models":[{"name":"m","generation":1,"adapters":["a1"]}],"seqNo":4,)"
      R"("available":{"resident":["m"],"onDisk":["m","n"]}})";
  const wire::ReplicaReport report = parseHeartbeat("i-1", body);
  CHECK(report.id == ReplicaId("i-1"));
  CHECK(report.leaving);
  CHECK(report.terminates_in_ms == 2000);
  CHECK(report.sequence == 4);
  CHECK(report.held == std::vector<wire::LoadedModel>{{ModelName("m"), {"a1"}}});
  CHECK(report.on_disk.size() == 2);
  CHECK_THROWS_AS(parseHeartbeat("i-1", "{}"), Error);
  CHECK(parseLeave("i-1", "").leaving);
  CHECK(parseLeave("i-1", body).address == "10.0.0.9:80");
}

constexpr const char* kHeartbeat =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":64,"state":"ready","coldRemainingMs":5,)"
    R"("models":[{"name":"m","generation":1,"adapters":["a1"]}],"seqNo":4,"born":1780000000123,)"
    R"("available":{"resident":["m"],"onDisk":["m","n"]}})";

TEST_CASE("A replica that tells an endless slow start is taken to have told a minute") {
  std::string body = kHeartbeat;
  const std::string told = R"("coldRemainingMs":5)";
  CHECK(parseHeartbeat("i-1", body).slow_start_ms == 5);
  body.replace(body.find(told), told.size(), R"("coldRemainingMs":9000000000000000)");
  CHECK(parseHeartbeat("i-1", body).slow_start_ms == 60'000);
}

TEST_CASE("A replica's life is told by its start, and towards replicas its name stands alone") {
  const wire::ReplicaReport report = parseHeartbeat("i-1", kHeartbeat);
  CHECK(report.id == wire::replicaIncarnationId("i-1", 1'780'000'000'123));
  CHECK(parseLeave("i-1", kHeartbeat).id == report.id);
  CHECK(parseLeave("i-1", "").id == ReplicaId("i-1"));
  services::InspectReplicaEffect inspection;
  inspection.replica = report.id;
  const PlatformOrderDialect orders;
  CHECK(http::findHeader(orders.inspection(inspection).headers, "X-Expect-Instance") == "i-1");
  CHECK(orders.state(200, R"({"seqNo":3,"born":1780000000123})")->start_ms == 1'780'000'000'123);
  calls::ProbeReplicaEffect probe;
  probe.replica = report.id;
  CHECK(http::findHeader(kDialect.probe(probe).headers, "X-Expect-Instance") == "i-1");
  calls::SendAttemptEffect send;
  send.replica = report.id;
  const auto call = kDialect.parse(request());
  CHECK(http::findHeader(kDialect.attempt(send, call.content).headers, "X-Expect-Instance") == "i-1");
}

/// Each entry spoils one field as another writer might, and names the field that the answer must name.
TEST_CASE("A heartbeat of another writer is refused with the field that is wrong") {
  struct Spoiled {
    const char* field;
    const char* value;  ///< nullptr: the field is missing
  };
  const std::vector<Spoiled> cases = {{"service", nullptr},
                                      {"service", "7"},
                                      {"address", nullptr},
                                      {"address", R"("nohost")"},
                                      {"address", R"("h:0")"},
                                      {"address", R"("h:80x")"},
                                      {"address", R"("h:70000")"},
                                      {"address", "[]"},
                                      {"zone", "1"},
                                      {"slots", nullptr},
                                      {"slots", "-1"},
                                      {"slots", R"("64")"},
                                      {"slots", "1e300"},
                                      {"state", nullptr},
                                      {"state", R"("resting")"},
                                      {"state", "3"},
                                      {"coldRemainingMs", "[]"},
                                      {"coldRemainingMs", "-5"},
                                      {"remainingMs", "null"},
                                      {"remainingMs", "1e99"},
                                      {"seqNo", nullptr},
                                      {"seqNo", "-1"},
                                      {"seqNo", "1.5"},
                                      {"seqNo", "{}"},
                                      {"born", R"("now")"},
                                      {"born", "-1"},
                                      {"born", "0.5"},
                                      {"models", "7"},
                                      {"models", "[7]"},
                                      {"models", "[{}]"},
                                      {"models", R"([{"name":7}])"},
                                      {"available", "[]"}};
  for (const Spoiled& spoiled : cases) {
    INFO(spoiled.field << " = " << (spoiled.value == nullptr ? "missing" : spoiled.value));
    nlohmann::json document = nlohmann::json::parse(kHeartbeat);
    document.erase(spoiled.field);
    if (spoiled.value != nullptr) {
      document[spoiled.field] = nlohmann::json::parse(spoiled.value);
    }
    try {
      parseHeartbeat("i-1", document.dump());
      FAIL("it was accepted");
    } catch (const Error& fault) {
      CHECK(fault.code() == ResultCode::InvalidReport);
      CHECK(fault.place() == spoiled.field);
    }
  }
  for (const char* bytes : {"", "{", "[]", "null", "\"x\"", "{\"service\":\"\xff\xfe\"}", "\x00\x01"}) {
    CHECK_THROWS_AS(parseHeartbeat("i-1", bytes), Error);
  }
}

TEST_CASE(
    "Orders carry the fence, the holder and the expected count, and statuses tell what became of them") {
  const PlatformOrderDialect orders;
  services::OrderReplicaEffect order;
  order.replica = ReplicaId("i-1");
  order.address = "10.0.0.9:80";
  order.model = ModelName("m");
  order.adapter = "a3";
  order.expected = 2;
  order.holder = NodeName("core-1");
  order.fence = Term{41};
  const http::ClientRequest request = orders.order(order);
  CHECK(
      request.body ==
      R"({"adapter":"a3","expected":2,"fencingToken":41,"holder":"core-1","model":"m","opType":"model_load"})");
  CHECK(http::findHeader(request.headers, "X-Expect-Instance") == "i-1");
  CHECK(orders.outcome(202) == services::OrderOutcome::Accepted);
  CHECK(orders.outcome(200) == services::OrderOutcome::AlreadyHeld);
  CHECK(orders.outcome(409) == services::OrderOutcome::Conflict);
  CHECK(orders.outcome(412) == services::OrderOutcome::Refused);
  const auto state = orders.state(
      200, R"({"seqNo":3,"busy":true,"models":[{"name":"m","adapters":[]}],"pending":["m/a3@1"]})");
  REQUIRE(state.has_value());
  CHECK(state->accepted_orders == 3);
  CHECK(state->busy);
  CHECK(state->pending_adapters == std::vector<wire::LoadedModel>{{ModelName("m"), {"a3"}}});
  CHECK_FALSE(orders.state(200, "{").has_value());
}

}  // namespace
}  // namespace ferryrock::platform
