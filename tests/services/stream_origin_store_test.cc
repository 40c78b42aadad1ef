#include "services/stream_origin_store.h"

#include <catch2/catch.hpp>
#include <vector>

namespace ferryrock::services {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

wire::StreamOrigin origin(const std::string& stream, const std::string& version = "v1") {
  return {RequestId(stream), ServiceName("llm"), version, ReplicaId("r1")};
}

TEST_CASE("A member answers with the origins that were reported to it") {
  StreamOriginStore store;
  store.accept({{origin("a"), origin("b", "v2")}}, kStart);
  CHECK(store.answer({RequestId("b")}).origin == origin("b", "v2"));
  CHECK_FALSE(store.answer({RequestId("c")}).origin);
  CHECK(store.counts().found == 1);
  CHECK(store.counts().unknown == 1);
}

TEST_CASE("A stream is known for the retention after its last report") {
  StreamOriginStore store;
  store.accept({{origin("a"), origin("b")}}, kStart);
  store.accept({{origin("a")}}, kStart + 50s);
  store.expire(kStart + StreamOriginStore::kRetention + 1s);
  CHECK(store.answer({RequestId("a")}).origin);
  CHECK_FALSE(store.answer({RequestId("b")}).origin);
  store.expire(kStart + 50s + StreamOriginStore::kRetention + 1s);
  CHECK(store.size() == 0);
}

TEST_CASE(
    "An origin is to be stored once, and again while it is reported for longer than it is kept on disk") {
  StreamOriginStore store;
  CHECK(store.accept({{origin("a")}}, kStart).origins.size() == 1);
  CHECK(store.accept({{origin("a")}}, kStart + 2s).origins.empty());
  CHECK(store.accept({{origin("a"), origin("b")}}, kStart + 4s).origins == std::vector{origin("b")});
  CHECK(store.accept({{origin("a")}}, kStart + StreamOriginStore::kRetention / 2).origins.size() == 1);
}

TEST_CASE("A restored origin is known for the retention after the restart") {
  StreamOriginStore store;
  store.restore({{origin("a", "v2")}}, kStart);
  CHECK(store.answer({RequestId("a")}).origin == origin("a", "v2"));
  store.expire(kStart + StreamOriginStore::kRetention + 1s);
  CHECK_FALSE(store.answer({RequestId("a")}).origin);
}

TEST_CASE("The number of streams that a member remembers is bounded") {
  StreamOriginStore store;
  for (std::size_t i = 0; i <= StreamOriginStore::kMaxStreams; ++i) {
    store.accept({{origin(std::to_string(i))}}, kStart);
  }
  CHECK(store.size() == StreamOriginStore::kMaxStreams);
  CHECK_FALSE(store.answer({RequestId("0")}).origin);
}

}  // namespace
}  // namespace ferryrock::services
