#pragma once

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/error.h"
#include "http/fixture.h"
#include "service_process/relay_server.h"
#include "service_process/replica_client.h"
#include "service_process/replica_prober.h"

namespace ferryrock::service_process {

/// Minimal dialect: the call id is in the header "Call-Id".
class RelayTestDialect : public CallDialect {
 public:
  ParsedCall parse(http::Request) const override { throw Error(ResultCode::Internal, "not used"); }
  http::Headers callerHeaders(const http::Headers& headers) const override { return headers; }
  HttpResponse refusal(const RequestId&, ResultCode, bool, std::optional<Duration>,
                       const std::string&) const override {
    return {};
  }
  http::ClientRequest attempt(const calls::SendAttemptEffect& effect,
                              const CallContent& content) const override {
    http::ClientRequest request;
    request.method = content.method;
    request.url = "http://" + effect.address + content.target;
    request.headers = content.headers;
    request.body = content.body;
    return request;
  }
  bool answersCall(const RequestId& id, int, const http::Headers& headers) const override {
    return http::findHeader(headers, "Call-Id") == id.value;
  }
  RequestId callIdOf(const http::Headers& headers) const override {
    return RequestId(http::findHeader(headers, "Call-Id").value_or(""));
  }
  calls::AnswerSummary summarize(int status, const http::Headers& headers) const override {
    return {status, http::findHeader(headers, "Not-Run").has_value()};
  }
  calls::ReplicaNotice notice(int, const http::Headers&) const override { return {}; }
  http::ClientRequest probe(const calls::ProbeReplicaEffect& effect) const override {
    http::ClientRequest request;
    request.url = "http://" + effect.address + "/probe";
    return request;
  }
  calls::ProbeOutcome probeOutcome(int status) const override {
    return status == 421 ? calls::ProbeOutcome::Terminated : calls::ProbeOutcome::Alive;
  }
};

struct RelayedCall {
  std::optional<calls::AnswerSummary> answer;
  HttpResponse response;
  std::vector<std::string> events;
  bool stream_ended = false;
  std::optional<calls::AttemptFailure> failure;
  bool ended() const { return answer || stream_ended || failure; }
};

inline std::string responseTo(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nCall-Id: " + id + "\r\nContent-Length: 5\r\n\r\nof " + id;
}

/// Memory for what the sending router keeps of answers.
inline constexpr std::size_t kMaxKeptBytes = std::size_t{256} << 20;

/// A router that sends calls to replicas, directly or through the RelayServer of another, over loopback.
class RelayFixture {
 public:
  RelayFixture()
      : sender_client(http::createClient(loop.dispatcher())),
        relay_client(http::createClient(loop.dispatcher())) {
    ReplicaCallbacks callbacks;
    callbacks.on_head = [](calls::AttemptNumber, const calls::ReplicaNotice&) {};
    callbacks.on_notice = [](const ReplicaId&, const calls::ReplicaNotice&) {};
    callbacks.on_answer = [this](calls::AttemptNumber number, const calls::AnswerSummary& answer) {
      records[number].answer = answer;
      records[number].response = *sender->answerOf(number);
    };
    callbacks.on_stream_event = [this](calls::AttemptNumber number, const StreamEvent& event) {
      records[number].events.push_back(event.bytes);
    };
    callbacks.on_stream_end = [this](calls::AttemptNumber number, bool) {
      records[number].stream_ended = true;
    };
    callbacks.on_failure = [this](calls::AttemptNumber number, calls::AttemptFailure failure,
                                  const std::string&) { records[number].failure = failure; };
    sender = std::make_unique<ReplicaClient>(loop.dispatcher(), *sender_client, dialect, callbacks, budget);
    RelayCallbacks relay_callbacks;
    relay_callbacks.accepts = [this] { return accepts; };
    relay_callbacks.reaches = [](const std::string&) { return true; };
    relay_callbacks.trusts_refusal = [this](const std::string&) { return trusts_refusal; };
    relay_callbacks.same_call = [this](const http::Headers& request, const http::Headers& response) {
      return dialect.callIdOf(request) == dialect.callIdOf(response);
    };
    relay_callbacks.on_reached = [this](const std::string&) { ++reached; };
    relay_callbacks.on_unreachable = [this](const std::string&) { ++unreachable; };
    relay = std::make_unique<RelayServer>(loop.dispatcher(), http::ServerSettings{}, *relay_client,
                                          keep_alive, relay_callbacks, log);
  }

  calls::Relay relayAddress() const {
    return {NodeName("edge-2"), "127.0.0.1:" + std::to_string(relay->server().port())};
  }
  RelayedCall& start(std::uint16_t replica_port, http::Headers headers = {}, bool fresh_connection = false) {
    return send(replica_port, relayAddress(), std::move(headers), fresh_connection);
  }
  /// Sends a call to the replica without a relay.
  RelayedCall& startDirect(std::uint16_t replica_port) {
    constexpr bool kFreshConnection = false;
    return send(replica_port, std::nullopt, {}, kFreshConnection);
  }
  /// Sends a call through the relay at this port.
  RelayedCall& startThrough(std::uint16_t relay_port, bool fresh_connection) {
    const calls::AttemptNumber number{++next};
    calls::SendAttemptEffect effect;
    effect.attempt = number;
    effect.replica = ReplicaId("r1");
    effect.address = "127.0.0.1:1";
    effect.time_left = std::chrono::seconds(2);
    effect.relay = calls::Relay{NodeName("edge-3"), "127.0.0.1:" + std::to_string(relay_port)};
    effect.fresh_connection = fresh_connection;
    sender->send(effect, {RequestId("c1"), "POST", "/x", {{"Call-Id", "c1"}}, "body"});
    return records[number];
  }
  RelayedCall& run(std::uint16_t replica_port, http::Headers headers = {}) {
    RelayedCall& call = start(replica_port, std::move(headers));
    REQUIRE(loop.runUntil([&] { return call.ended(); }));
    return call;
  }
  RelayedCall& runDirect(std::uint16_t replica_port) {
    RelayedCall& call = startDirect(replica_port);
    REQUIRE(loop.runUntil([&] { return call.ended(); }));
    return call;
  }
  std::unique_ptr<http::Server> replica(http::RequestHandler handler) {
    return http::createServer(loop.dispatcher(), {}, std::move(handler));
  }
  /// Returns a port at which nothing listens.
  std::uint16_t closedPort() {
    return replica([](const http::Request&, const http::ResponseWriterPtr&) {})->port();
  }

  http::Loop loop;
  RelayTestDialect dialect;
  NoEventLog log;
  KeepAliveLimits keep_alive;
  std::shared_ptr<http::ClientBudget> budget =
      std::make_shared<http::ClientBudget>(http::ClientLimits{kMaxKeptBytes});
  std::unique_ptr<http::Client> sender_client;
  std::unique_ptr<http::Client> relay_client;
  std::unique_ptr<ReplicaClient> sender;
  std::unique_ptr<RelayServer> relay;
  std::map<calls::AttemptNumber, RelayedCall> records;
  std::uint64_t next = 0;
  bool accepts = true;
  bool trusts_refusal = true;
  int reached = 0;
  int unreachable = 0;

 private:
  RelayedCall& send(std::uint16_t replica_port, const std::optional<calls::Relay>& through,
                    http::Headers headers, bool fresh_connection) {
    const calls::AttemptNumber number{++next};
    calls::SendAttemptEffect effect;
    effect.attempt = number;
    effect.replica = ReplicaId("r1");
    effect.address = "127.0.0.1:" + std::to_string(replica_port);
    effect.time_left = std::chrono::seconds(2);
    effect.relay = through;
    effect.fresh_connection = fresh_connection;
    headers.push_back({"Call-Id", "c1"});
    sender->send(effect, {RequestId("c1"), "POST", "/x?y=%20z", std::move(headers), "body"});
    return records[number];
  }
};

}  // namespace ferryrock::service_process
