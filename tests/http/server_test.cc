#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http/fixture.h"
#include "http/http.h"

namespace ferryrock::http {
namespace {

TEST_CASE("a complete response reaches the client") {
  Loop loop;
  const auto server =
      createServer(loop.dispatcher(), {}, [](Request request, const ResponseWriterPtr& writer) {
        writer->respond(201, {{"X-Method", request.method}, {"X-Query", request.query.at(0).value}},
                        request.path + ":" + request.body);
      });
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  const auto call =
      client->send(makeRequest("POST", urlOf(server->port(), "/a/b?c=d"), "text"), recordInto(record));
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.complete);
  CHECK(record.status == 201);
  CHECK(record.body == "/a/b:text");
  CHECK(findHeader(record.headers, "x-method") == "POST");
  CHECK(findHeader(record.headers, "X-QUERY") == "d");
}

TEST_CASE("a stream reaches the client incrementally and ends") {
  Loop loop;
  ResponseWriterPtr writer;
  const auto server = createServer(
      loop.dispatcher(), {}, [&](const Request&, ResponseWriterPtr given) { writer = std::move(given); });
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  const auto call = client->send(makeRequest("GET", urlOf(server->port(), "/")), recordInto(record));
  REQUIRE(loop.runUntil([&] { return writer != nullptr; }));
  writer->start(200, {{"Content-Type", "text/event-stream"}});
  for (int i = 0; i < 5; ++i) {
    const std::string before = record.body;
    writer->write("piece" + std::to_string(i) + ";");
    REQUIRE(loop.runUntil([&] { return record.body.size() > before.size(); }));
    CHECK(record.body == before + "piece" + std::to_string(i) + ";");
  }
  CHECK_FALSE(record.ended());
  writer->finish();
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.complete);
}

TEST_CASE("an aborted stream is reported as truncated after all bytes written before") {
  Loop loop;
  const auto server =
      createServer(loop.dispatcher(), {}, [](const Request&, const ResponseWriterPtr& writer) {
        writer->start(200, {});
        writer->write("half");
        writer->abort();
      });
  const auto client = createClient(loop.dispatcher());
  CallRecord record;
  const auto call = client->send(makeRequest("GET", urlOf(server->port(), "/")), recordInto(record));
  REQUIRE(loop.runUntil([&] { return record.ended(); }));
  CHECK(record.failure == SendProgress::ResponseStarted);
  CHECK(record.body == "half");
}

}  // namespace
}  // namespace ferryrock::http
