#include "http/client_budget.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <numeric>
#include <string>
#include <vector>

#include "http/fixture.h"
#include "http/raw_peer.h"

namespace ferryrock::http {
namespace {

/// Requests that can be evicted, each with its own reservation.
class RequestList : public EvictionSource {
 public:
  struct Request {
    Request(double its_cost, int its_number, const std::shared_ptr<ClientBudget>& budget)
        : cost(its_cost), number(its_number), memory(budget) {}
    double cost;
    int number;
    MemoryReservation memory;
  };

  explicit RequestList(std::shared_ptr<ClientBudget> budget) : budget_(std::move(budget)) {
    budget_->addSource(*this);
  }
  ~RequestList() override { budget_->removeSource(*this); }

  Request& add(double cost, int number) { return requests_.emplace_back(cost, number, budget_); }
  std::optional<EvictionCandidate> requestToEvict() override {
    std::optional<EvictionCandidate> first;
    for (Request& request : requests_) {
      const bool before = !first || request.cost > first->cost;
      if (request.memory.bytes() > 0 && before) {
        first = EvictionCandidate{request.cost, [this, &request] {
                                    request.memory.release();
                                    evicted.push_back(request.number);
                                  }};
      }
    }
    return first;
  }
  std::optional<EvictionCandidate> connectionToEvict() override { return std::nullopt; }

  std::vector<int> evicted;

 private:
  std::shared_ptr<ClientBudget> budget_;
  std::list<Request> requests_;
};

TEST_CASE("The account is the sum of all reservations, and zero once they are gone") {
  CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& changes) {
    const auto budget = std::make_shared<ClientBudget>(ClientLimits{100'000});
    {
      constexpr std::size_t kReservations = 8;
      std::list<MemoryReservation> reservations;
      std::vector<std::size_t> sizes(kReservations, 0);
      for (std::size_t i = 0; i < kReservations; ++i) {
        reservations.emplace_back(budget);
      }
      for (const auto& [choice, bytes] : changes) {
        const std::size_t number = choice % kReservations;
        const std::size_t others =
            std::accumulate(sizes.begin(), sizes.end(), std::size_t{0}) - sizes[number];
        MemoryReservation& reservation = *std::next(reservations.begin(), static_cast<long>(number));
        const bool expected = bytes <= sizes[number] || others + bytes <= 100'000;
        RC_ASSERT(reservation.resize(bytes, MemoryUse::Small) == expected);
        sizes[number] = expected ? bytes : sizes[number];
        RC_ASSERT(budget->memoryBytes() == others + sizes[number]);
      }
    }
    RC_ASSERT(budget->memoryBytes() == 0U);
  }));
}

TEST_CASE("Evicted are the requests of the highest cost, of whatever server, until it fits") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& requests, std::uint8_t wanted) {
    constexpr std::size_t kEach = 1000;
    RC_PRE(!requests.empty());
    const std::size_t limit = requests.size() * kEach;
    const auto budget = std::make_shared<ClientBudget>(ClientLimits{limit * 8});
    RequestList first(budget);
    RequestList second(budget);
    struct Expected {
      double cost;
      int number;
    };
    std::vector<Expected> order;
    int number = 0;
    for (const std::uint16_t cost : requests) {
      const double distinct = cost + number / 1000.0;
      RequestList& list = number % 2 == 0 ? first : second;
      RC_ASSERT(list.add(distinct, number).memory.resize(8 * kEach, MemoryUse::Small));
      order.push_back({distinct, number++});
    }
    std::sort(order.begin(), order.end(),
              [](const Expected& left, const Expected& right) { return left.cost > right.cost; });
    const std::size_t count = std::min<std::size_t>(wanted, requests.size());
    MemoryReservation taken(budget);
    RC_ASSERT(taken.resize(count * 8 * kEach, MemoryUse::Small));
    std::vector<int> expected;
    for (std::size_t i = 0; i < count; ++i) {
      expected.push_back(order[i].number);
    }
    std::vector<int> evicted = first.evicted;
    evicted.insert(evicted.end(), second.evicted.begin(), second.evicted.end());
    std::sort(evicted.begin(), evicted.end());
    std::sort(expected.begin(), expected.end());
    RC_ASSERT(evicted == expected);
  }));
}

TEST_CASE("Large bodies leave memory to answers, and both to small requests") {
  const auto budget = std::make_shared<ClientBudget>(ClientLimits{8000});
  MemoryReservation body(budget);
  MemoryReservation answer(budget);
  MemoryReservation small(budget);
  CHECK_FALSE(body.resize(5001, MemoryUse::Body));
  CHECK(body.resize(5000, MemoryUse::Body));
  CHECK_FALSE(answer.resize(2001, MemoryUse::Answer));
  CHECK(answer.resize(2000, MemoryUse::Answer));
  CHECK_FALSE(small.resize(1001, MemoryUse::Small));
  CHECK(small.resize(1000, MemoryUse::Small));
}

TEST_CASE("A reservation whose own request is evicted holds the growth alone") {
  const auto budget = std::make_shared<ClientBudget>(ClientLimits{1000});
  RequestList requests(budget);
  MemoryReservation& memory = requests.add(1, 1).memory;
  REQUIRE(memory.resize(900, MemoryUse::Small));
  REQUIRE(memory.resize(1100, MemoryUse::Small));
  CHECK(requests.evicted == std::vector<int>{1});
  CHECK(memory.bytes() == 200);
  CHECK(budget->memoryBytes() == 200);
}

/// A server on a budget that echoes the size of each body, but for requests to "/hold", which it keeps.
struct BudgetServer {
  explicit BudgetServer(const ClientLimits& limits) : budget(std::make_shared<ClientBudget>(limits)) {
    ServerSettings settings;
    settings.max_body_bytes = std::size_t{8} << 20;
    settings.budget = budget;
    server =
        createServer(loop.dispatcher(), settings, [this](Request request, const ResponseWriterPtr& writer) {
          const std::size_t size = request.body.size();
          const bool large = request.path == "/large";
          if (request.path == "/hold") {
            held.push_back(std::move(request));
          }
          writer->respond(200, {},
                          large ? std::string(kLargeAnswer, 'a') : "size " + std::to_string(size) + ";");
        });
  }
  RawConnection connect() const { return RawConnection::connect(server->port()); }
  std::string readUntil(RawConnection& peer, std::string_view text) {
    std::string all;
    CHECK(loop.runUntil([&] {
      all += peer.readAvailable();
      return peer.ended() || all.find(text) != std::string::npos;
    }));
    return all;
  }

  static constexpr std::size_t kLargeAnswer = std::size_t{16} << 20;
  Loop loop;
  std::shared_ptr<ClientBudget> budget;
  std::list<Request> held;
  std::unique_ptr<Server> server;
};

std::string post(std::size_t length, const std::string& path = "/") {
  return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

TEST_CASE("The body that has held the most for the longest gives way, and its sender gets a refusal") {
  constexpr std::size_t kBody = 500'000;
  BudgetServer fixture({1'200'000, 100});  // 750,000 for large bodies
  RawConnection first = fixture.connect();
  first.write(post(kBody) + std::string(kBody - 1, 'b'));
  REQUIRE(fixture.loop.runUntil([&] { return fixture.budget->memoryBytes() > kBody; }));
  RawConnection second = fixture.connect();
  second.write(post(kBody) + std::string(kBody, 'b'));
  CHECK(fixture.readUntil(second, ";").find("size 500000;") != std::string::npos);
  CHECK(fixture.budget->counts().evicted_requests == 1);

  first.write("b");
  const std::string refusal = fixture.readUntil(first, "}");
  CHECK(refusal.find("HTTP/1.1 503") == 0);
  CHECK(refusal.find("Retry-After: ") != std::string::npos);
  CHECK(refusal.find("2030") != std::string::npos);
  first.write(post(1) + "b");
  CHECK(fixture.readUntil(first, ";").find("size 1;") != std::string::npos);

  first.close();
  second.close();
  CHECK(fixture.loop.runUntil([&] { return fixture.budget->memoryBytes() == 0; }));
}

TEST_CASE(
    "A request that is kept holds its memory until it is dropped, and small ones are served beside it") {
  constexpr std::size_t kBody = 700'000;
  BudgetServer fixture({1'200'000, 100});
  RawConnection peer = fixture.connect();
  peer.write(post(kBody, "/hold") + std::string(kBody, 'b'));
  CHECK(fixture.readUntil(peer, ";").find("size 700000;") != std::string::npos);
  CHECK(fixture.budget->memoryBytes() > kBody);
  peer.write(post(kBody) + std::string(kBody, 'b'));
  CHECK(fixture.readUntil(peer, "}").find("HTTP/1.1 503") == 0);
  peer.write(post(1) + "b");
  CHECK(fixture.readUntil(peer, ";").find("size 1;") != std::string::npos);
  fixture.held.clear();
  peer.write(post(kBody) + std::string(kBody, 'b'));
  CHECK(fixture.readUntil(peer, ";").find("size 700000;") != std::string::npos);
}

TEST_CASE("A new connection takes the place of the one that has been without an answer for the longest") {
  constexpr std::size_t kConnections = 20;
  BudgetServer fixture({std::size_t{1} << 30, kConnections});
  RawConnection regular = fixture.connect();
  regular.write(post(1) + "b");
  CHECK(fixture.readUntil(regular, ";").find("size 1;") != std::string::npos);
  std::list<RawConnection> silent;
  for (std::size_t i = 0; i < 3 * kConnections; ++i) {
    silent.push_back(fixture.connect());
    silent.back().write("POST / HT");
    fixture.loop.runFor(std::chrono::milliseconds(2));
  }
  RawConnection newcomer = fixture.connect();
  newcomer.write(post(1) + "b");
  CHECK(fixture.readUntil(newcomer, ";").find("size 1;") != std::string::npos);
  regular.write(post(1) + "b");
  CHECK(fixture.readUntil(regular, ";").find("size 1;") != std::string::npos);
  CHECK(fixture.server->openConnections() <= kConnections + 1);
  CHECK(fixture.budget->counts().evicted_connections >= 2 * kConnections);
}

TEST_CASE("An answer that its client doesn't read gives way to others") {
  BudgetServer fixture({3 * BudgetServer::kLargeAnswer, 100});
  RawConnection slow = fixture.connect();
  slow.write(post(2) + "b");
  std::list<RawConnection> unread;
  constexpr int kClients = 6;
  for (int i = 0; i < kClients; ++i) {
    unread.push_back(fixture.connect());
    unread.back().write(post(1, "/large") + "b");
    fixture.loop.runFor(std::chrono::milliseconds(20));
  }
  CHECK(fixture.budget->memoryBytes() <= fixture.budget->limits().memory_bytes);
  CHECK(fixture.budget->counts().evicted_requests >= 3);
  slow.write("b");  // its request is older than the answers, and small
  CHECK(fixture.readUntil(slow, ";").find("size 2;") != std::string::npos);
  RawConnection reader = fixture.connect();
  reader.write(post(1) + "b");
  CHECK(fixture.readUntil(reader, ";").find("size 1;") != std::string::npos);
  unread.clear();
  slow.close();
  reader.close();
  CHECK(fixture.loop.runUntil([&] { return fixture.budget->memoryBytes() == 0; }));
}

}  // namespace
}  // namespace ferryrock::http
