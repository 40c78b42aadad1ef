#include "services/update_queue.h"

#include <catch2/catch.hpp>

namespace ferryrock::services {
namespace {

TEST_CASE("Routers are taken in the order in which they were added, without duplicates") {
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

TEST_CASE("A router that was removed from the queue is skipped") {
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
