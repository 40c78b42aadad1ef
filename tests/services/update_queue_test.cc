#include "services/update_queue.h"

#include <catch2/catch.hpp>

namespace ferryrock::services {
namespace {

TEST_CASE("Routers are told in the order in which they came to be owed an update, each once") {
  UpdateQueue queue;
  queue.add(NodeName("b"));
  queue.add(NodeName("a"));
  queue.add(NodeName("b"));
  CHECK(queue.size() == 2);
  CHECK(queue.take() == NodeName("b"));
  queue.add(NodeName("b"));
  CHECK(queue.take() == NodeName("a"));
  CHECK(queue.take() == NodeName("b"));
  CHECK_FALSE(queue.take().has_value());
  CHECK(queue.empty());
}

TEST_CASE("A router that was told otherwise is passed over") {
  UpdateQueue queue;
  queue.add(NodeName("a"));
  queue.add(NodeName("b"));
  queue.remove(NodeName("a"));
  CHECK(queue.size() == 1);
  queue.add(NodeName("c"));
  CHECK(queue.take() == NodeName("b"));
  CHECK(queue.take() == NodeName("c"));
  CHECK(queue.empty());
}

}  // namespace
}  // namespace ferryrock::services
