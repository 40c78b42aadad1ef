#include "service_process/replica_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>

#include "common/error.h"
#include "http/fixture.h"
#include "http/raw_peer.h"

/// Tests ReplicaClient against scripted replicas on loopback: requests and responses are passed on unchanged,
/// and a truncated or foreign response is never reported as complete.
namespace ferryrock::service_process {
namespace {

using http::RawConnection;
using http::ScriptedServer;

/// Minimal dialect: the call id is in the header "Call-Id", and "Not-Run" marks a refusal.
class TestDialect : public CallDialect {
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
  calls::ReplicaNotice notice(int, const http::Headers& headers) const override {
    calls::ReplicaNotice notice;
    notice.leaving = http::findHeader(headers, "Leaving").has_value();
    return notice;
  }
  http::ClientRequest probe(const calls::ProbeReplicaEffect& effect) const override {
    http::ClientRequest request;
    request.url = "http://" + effect.address + "/probe";
    return request;
  }
  calls::ProbeOutcome probeOutcome(int status) const override {
    return status == 421 ? calls::ProbeOutcome::Terminated : calls::ProbeOutcome::Alive;
  }
};

/// The callbacks received for one attempt.
struct Record {
  std::optional<calls::AnswerSummary> answer;
  std::string body;
  std::vector<StreamEvent> events;
  bool stream_ended = false;
  std::optional<calls::AttemptFailure> failure;
  bool ended() const { return answer || stream_ended || failure; }
};

struct Fixture {
  Fixture() : client(http::createClient(loop.dispatcher())) {
    ReplicaCallbacks callbacks;
    const auto recordNotice = [this](const std::string& replica, const calls::ReplicaNotice& notice) {
      leaving += notice.leaving ? replica + " " : "";
      ended_before_notice = ended_before_notice || records[calls::AttemptNumber{next}].ended();
    };
    callbacks.on_notice = [recordNotice](const ReplicaId& replica, const calls::ReplicaNotice& notice) {
      recordNotice(replica.value, notice);
    };
    callbacks.on_head = [recordNotice](calls::AttemptNumber attempt, const calls::ReplicaNotice& notice) {
      recordNotice("r" + std::to_string(attempt.value), notice);
    };
    callbacks.on_answer = [this](calls::AttemptNumber number, const calls::AnswerSummary& answer) {
      records[number].answer = answer;
      records[number].body = replicas->answerOf(number)->body;
    };
    callbacks.on_stream_event = [this](calls::AttemptNumber number, StreamEvent event) {
      records[number].events.push_back(std::move(event));
    };
    callbacks.on_stream_end = [this](calls::AttemptNumber number, bool) {
      records[number].stream_ended = true;
    };
    callbacks.on_failure = [this](calls::AttemptNumber number, calls::AttemptFailure failure,
                                  const std::string&) { records[number].failure = failure; };
    replicas = std::make_unique<ReplicaClient>(loop.dispatcher(), *client, dialect, callbacks, budget);
  }
  Record& run(std::uint16_t port, const std::string& target = "/x?y=%20z") {
    Record& record = begin(port, target);
    REQUIRE(loop.runUntil([&] { return record.ended(); }));
    return record;
  }
  Record& begin(std::uint16_t port, const std::string& target = "/x?y=%20z") {
    const calls::AttemptNumber number{++next};
    calls::SendAttemptEffect effect;
    effect.attempt = number;
    effect.replica = ReplicaId("r" + std::to_string(next));
    effect.address = "127.0.0.1:" + std::to_string(port);
    replicas->send(effect, {RequestId("c1"), "POST", target, {{"Call-Id", "c1"}, {"Odd", "a  b"}}, "body"});
    return records[number];
  }
  http::Loop loop;
  std::shared_ptr<http::ClientBudget> budget = std::make_shared<http::ClientBudget>(http::ClientLimits{});
  TestDialect dialect;
  std::unique_ptr<http::Client> client;
  std::unique_ptr<ReplicaClient> replicas;
  std::map<calls::AttemptNumber, Record> records;
  std::uint64_t next = 0;
  std::string leaving;  ///< ids of replicas that announced that they leave, each followed by a space
  bool ended_before_notice = false;
};

std::string answerText(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n" + headers + "\r\n" + body;
}

TEST_CASE("A replica's notice is reported before the response ends, also for streams and foreign responses") {
  const std::vector<std::string> answers = {
      answerText("Leaving: 1\r\nContent-Length: 2\r\n", "ok"),
      "HTTP/1.1 503 Full\r\nCall-Id: c1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
      answerText("Leaving: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n", "data: 1\n\n"),
      "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
      answerText("Content-Length: 2\r\n", "ok"),
  };
  std::size_t next = 0;
  ScriptedServer server([&](RawConnection& connection, int) {
    while (next < answers.size() && !connection.readRequest().empty()) {
      connection.write(answers[next++]);
    }
    connection.readRequest();
  });
  Fixture fixture;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    fixture.run(server.port());
  }
  CHECK(fixture.leaving == "r1 r2 r3 r4 ");
  CHECK_FALSE(fixture.ended_before_notice);
}

TEST_CASE("A call is sent to the replica byte for byte, without added Accept or Content-Type headers") {
  std::string seen;
  ScriptedServer server([&seen](RawConnection& connection, int) {
    seen = connection.readRequest();
    connection.write(answerText("Content-Length: 2\r\n", "ok"));
    connection.readRequest();
  });
  Fixture fixture;
  const Record& record = fixture.run(server.port(), "/a/../b//c?d=%2F&e=%20");
  CHECK(record.body == "ok");
  CHECK(seen.starts_with("POST /a/../b//c?d=%2F&e=%20 HTTP/1.1\r\n"));
  CHECK(seen.find("Odd: a  b\r\n") != std::string::npos);
  CHECK(seen.find("Accept:") == std::string::npos);
  CHECK(seen.find("Content-Type:") == std::string::npos);
  CHECK(seen.ends_with("\r\n\r\nbody"));
}

struct AnswerCase {
  const char* name;
  std::string text;  ///< sent by the replica before it closes or resets the connection
  bool reset;
  std::optional<calls::AttemptFailure> failure;
  std::string body;
};

TEST_CASE("Only a complete response with the id of the call is reported as its answer") {
  using calls::AttemptFailure;
  const std::vector<AnswerCase> cases = {
      {"with length", answerText("Content-Length: 2\r\n", "ok"), false, std::nullopt, "ok"},
      {"ends with the connection", answerText("", "whole"), false, std::nullopt, "whole"},
      {"reset without length", answerText("", "half"), true, AttemptFailure::OutcomeUnknown, ""},
      {"cut in its length", answerText("Content-Length: 9\r\n", "half"), false,
       AttemptFailure::OutcomeUnknown, ""},
      {"cut between chunks", answerText("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n"), false,
       AttemptFailure::OutcomeUnknown, ""},
      {"another call's", "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nContent-Length: 2\r\n\r\nno", false,
       AttemptFailure::ForeignResponse, ""},
      {"without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", false,
       AttemptFailure::ForeignResponse, ""},
      {"no HTTP", "garbage\r\n\r\n", false, AttemptFailure::OutcomeUnknown, ""},
      {"nothing", "", false, AttemptFailure::OutcomeUnknown, ""},
  };
  for (const AnswerCase& given : cases) {
    INFO(given.name);
    ScriptedServer server([&given](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(given.text);
      given.reset ? connection.reset() : connection.close();
    });
    Fixture fixture;
    const Record& record = fixture.run(server.port());
    CHECK(record.failure == given.failure);
    CHECK(record.body == given.body);
  }
}

TEST_CASE("A refused connection is reported as not sent") {
  std::uint16_t port = 0;
  {
    ScriptedServer server([](RawConnection&, int) {});
    port = server.port();
  }
  Fixture fixture;
  CHECK(fixture.run(port).failure == calls::AttemptFailure::NotSent);
}

TEST_CASE("A request on a keep-alive connection that is reset isn't sent a second time") {
  std::atomic<int> requests = 0;
  ScriptedServer server([&requests](RawConnection& connection, int) {
    requests += connection.readRequest().empty() ? 0 : 1;
    connection.write(answerText("Content-Length: 2\r\n", "ok"));
    requests += connection.readRequest().empty() ? 0 : 1;
    connection.reset();
  });
  Fixture fixture;
  CHECK(fixture.run(server.port()).body == "ok");
  CHECK(fixture.run(server.port()).failure == calls::AttemptFailure::OutcomeUnknown);
  CHECK(requests == 2);
}

TEST_CASE("A surplus response on a keep-alive connection isn't assigned to the next call") {
  ScriptedServer server([](RawConnection& connection, int) {
    connection.readRequest();
    connection.write(answerText("Content-Length: 2\r\n", "ok") +
                     "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nContent-Length: 3\r\n\r\nbad");
    while (!connection.readRequest().empty()) {
      connection.write(answerText("Content-Length: 2\r\n", "ok"));
    }
  });
  Fixture fixture;
  CHECK(fixture.run(server.port()).body == "ok");
  const Record& second = fixture.run(server.port());
  CHECK((second.failure.has_value() || second.body == "ok"));
}

TEST_CASE("A stream is passed on in complete events, and a truncated stream is reported as a failure") {
  const std::string head =
      answerText("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "");
  const std::string two = "11\r\nid: 1\ndata: a\n\nid\r\nf\r\n: 2\ndata: bcd\n\n\r\n";
  const std::vector<std::tuple<std::string, std::size_t, bool>> cases = {
      {head + two + "0\r\n\r\n", 2, true},
      {head + two, 2, false},
      {head + "9\r\nid: 1\ndat\r\n0\r\n\r\n", 0, false},
  };
  for (const auto& [text, events, ended] : cases) {
    INFO(text);
    ScriptedServer server([&text = text](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(text);
      connection.close();
    });
    Fixture fixture;
    const Record& record = fixture.run(server.port());
    CHECK(record.events.size() == events);
    CHECK(record.stream_ended == ended);
    CHECK(record.failure.has_value() == !ended);
    for (std::size_t i = 0; i < record.events.size(); ++i) {
      CHECK(record.events[i].id == i + 1);
    }
  }
}

TEST_CASE("Events are split at empty lines for both line endings and any size of input pieces") {
  const std::string text = "x-version: 3\nid: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: no id\n\n";
  for (std::size_t piece = 1; piece < text.size(); ++piece) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (std::size_t place = 0; place < text.size(); place += piece) {
      splitter.add(text.substr(place, piece));
      while (auto event = splitter.next()) {
        events.push_back(std::move(*event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 7);
    CHECK(events[1].id == 8);
    CHECK_FALSE(events[2].id.has_value());
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == text);
    CHECK(splitter.unfinishedBytes() == 0);
  }
}

struct UnframedCase {
  const char* name;
  std::string text;  ///< sent by the replica before it closes the connection
  std::size_t events;
  bool whole;
};

/// Guards against a crash after the head that was taken for a whole empty answer.
TEST_CASE("A response that ends with its connection is whole unless its bytes show that it was cut") {
  const std::string stream = "Content-Type: text/event-stream\r\n";
  const std::string json = "Content-Type: application/json\r\n";
  const std::vector<UnframedCase> cases = {
      {"a stream of whole events", answerText(stream, "id: 1\n\nid: 2\n\n"), 2, true},
      {"a stream cut within an event", answerText(stream, "id: 1\n\nid: 2\nda"), 1, false},
      {"a stream cut after its head", answerText(stream, ""), 0, false},
      {"an answer", answerText("", "whole"), 0, true},
      {"an answer cut after its head", answerText("", ""), 0, false},
      {"a JSON answer", answerText(json, "{\"a\":[1]}"), 0, true},
      {"a JSON answer cut within its body", answerText(json, "{\"a\":["), 0, false},
      {"an answer that has no body", "HTTP/1.1 204 No Content\r\nCall-Id: c1\r\n\r\n", 0, true},
      {"a refusal without a body", "HTTP/1.1 503 Full\r\nCall-Id: c1\r\nNot-Run: 1\r\n\r\n", 0, true},
  };
  for (const UnframedCase& given : cases) {
    INFO(given.name);
    ScriptedServer server([&given](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(given.text);
      connection.close();
    });
    Fixture fixture;
    const Record& record = fixture.run(server.port());
    CHECK(record.events.size() == given.events);
    CHECK(record.failure.has_value() != given.whole);
    CHECK((record.answer || record.stream_ended) == given.whole);
  }
}

struct EndlessCase {
  const char* name;
  std::string begin;
  std::string piece;
};

/// Guards against a replica that sends without end and so stops its router, which kept all it sent.
TEST_CASE(
    "A response without end fails after a bounded number of bytes, and other calls are served meanwhile") {
  constexpr std::size_t kPiece = std::size_t{16} << 10;
  constexpr std::size_t kSocketBuffers = std::size_t{16} << 20;
  constexpr std::size_t kMaxBytes = http::kMaxResponseBytes + kSocketBuffers;
  const std::string bytes(kPiece, 'x');
  const std::string chunk = "4000\r\n" + bytes + "\r\n";
  const std::vector<EndlessCase> cases = {
      {"a header", "HTTP/1.1 200 OK\r\nLong: ", bytes},
      {"headers", "HTTP/1.1 200 OK\r\n", "Name: " + bytes + "\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\nName: value\r\n\r\n"},
      {"bytes that aren't HTTP", "", bytes},
      {"a body", answerText("", ""), bytes},
      {"a body in chunks", answerText("Transfer-Encoding: chunked\r\n", ""), chunk},
      {"trailers", answerText("Transfer-Encoding: chunked\r\n", "0\r\n"), "Name: " + bytes + "\r\n"},
      {"an event", answerText("Content-Type: text/event-stream\r\n", ""), bytes},
      {"lines of an event", answerText("Content-Type: text/event-stream\r\n", ""), "data: x\n"},
  };
  ScriptedServer sound([](RawConnection& connection, int) {
    while (!connection.readRequest().empty()) {
      connection.write(answerText("Content-Length: 2\r\n", "ok"));
    }
  });
  for (const EndlessCase& given : cases) {
    INFO(given.name);
    std::atomic<std::size_t> written = 0;
    ScriptedServer server([&](RawConnection& connection, int) {
      connection.readRequest();
      connection.write(given.begin);
      written = connection.writeUntilClosed(given.piece, 4 * kMaxBytes);
    });
    Fixture fixture;
    const Record& endless = fixture.begin(server.port());
    const auto begun = std::chrono::steady_clock::now();
    CHECK(fixture.run(sound.port()).body == "ok");
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(1));
    REQUIRE(fixture.loop.runUntil([&] { return endless.ended(); }));
    CHECK(endless.failure == calls::AttemptFailure::OutcomeUnknown);
    REQUIRE(fixture.loop.runUntil([&] { return written > 0; }));
    CHECK(written < kMaxBytes);
  }
}

/// Guards against a search from the start of an event at each of its pieces.
TEST_CASE("The time to split an event doesn't depend on the size of its pieces") {
  constexpr std::size_t kLines = std::size_t{1} << 17;
  std::string event = "id: 1\n";
  for (std::size_t i = 0; i < kLines; ++i) {
    event += "data: x\n";
  }
  event += "\n";
  EventSplitter splitter;
  const auto begun = std::chrono::steady_clock::now();
  std::size_t events = 0;
  for (std::size_t place = 0; place < event.size(); place += 16) {
    splitter.add(std::string_view(event).substr(place, 16));
    while (splitter.next()) {
      ++events;
    }
  }
  CHECK(events == 1);
  CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(1));
}

TEST_CASE("Hop-by-hop headers and headers listed in Connection aren't forwarded") {
  const http::Headers headers = {{"Connection", "close, X-Hop"},  {"x-hop", "1"}, {"Keep-Alive", "timeout=3"},
                                 {"Content-Length", "4"},         {"X-End", "2"}, {"Host", "h"},
                                 {"transfer-encoding", "chunked"}};
  const http::Headers kept = endToEndHeaders(headers);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].name == "X-End");
  CHECK(kept[1].name == "Host");
}

TEST_CASE("A connection that gave another call's response isn't used again") {
  ScriptedServer server([](RawConnection& connection, int number) {
    connection.readRequest();
    connection.write(number == 1 ? "HTTP/1.1 200 OK\r\nCall-Id: c0\r\nContent-Length: 2\r\n\r\nno"
                                 : answerText("Content-Length: 2\r\n", "ok"));
    if (!connection.readRequest().empty()) {
      connection.write("HTTP/1.1 200 OK\r\nCall-Id: c0\r\nContent-Length: 2\r\n\r\nno");
    }
  });
  Fixture fixture;
  CHECK(fixture.run(server.port()).failure == calls::AttemptFailure::ForeignResponse);
  CHECK(fixture.run(server.port()).body == "ok");
}

TEST_CASE("A refusal that breaks off after its head still proves that the call didn't run") {
  const std::string proof = GENERATE("Not-Run: 1\r\n", "");
  ScriptedServer server([&proof](RawConnection& connection, int) {
    connection.readRequest();
    connection.write("HTTP/1.1 503 Full\r\nCall-Id: c1\r\n" + proof + "Content-Length: 9\r\n\r\nhalf");
  });
  Fixture fixture;
  const Record& record = fixture.run(server.port());
  CHECK((record.answer && record.answer->proven_not_run) == !proof.empty());
  CHECK(record.failure.has_value() == proof.empty());
}

}  // namespace
}  // namespace ferryrock::service_process
