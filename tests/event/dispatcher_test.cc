#include "event/dispatcher.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "event/early_signal.h"

namespace ferryrock::event {
namespace {

constexpr Duration kSoon = std::chrono::milliseconds(1);

struct SocketPair {
  SocketPair() { REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0); }
  ~SocketPair() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::array<int, 2> ends{};
};

TEST_CASE("creating a dispatcher doesn't lower the process's limit of open files") {
  rlimit given{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &given) == 0);
  constexpr rlim_t kMoreThanTheReactorNeeds = 3'000;
  REQUIRE(given.rlim_max >= kMoreThanTheReactorNeeds);
  rlimit raised = given;
  raised.rlim_cur = kMoreThanTheReactorNeeds;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &raised) == 0);
  const auto dispatcher = createAceDispatcher();
  rlimit left{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &left) == 0);
  CHECK(left.rlim_cur == kMoreThanTheReactorNeeds);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &given) == 0);
}

TEST_CASE("timers run once, in the order of their delays, and not when disabled or destroyed") {
  const auto dispatcher = createAceDispatcher();
  std::vector<std::string> order;
  const auto late = dispatcher->createTimer([&] {
    order.emplace_back("late");
    dispatcher->exit();
  });
  const auto early = dispatcher->createTimer([&] { order.emplace_back("early"); });
  const auto disabled = dispatcher->createTimer([&] { order.emplace_back("disabled"); });
  auto destroyed = dispatcher->createTimer([&] { order.emplace_back("destroyed"); });
  late->enable(20 * kSoon);
  early->enable(kSoon);
  disabled->enable(kSoon);
  destroyed->enable(kSoon);
  disabled->disable();
  destroyed.reset();
  dispatcher->run();
  CHECK(order == std::vector<std::string>{"early", "late"});
}

TEST_CASE("a timer never runs before its delay has passed") {
  const auto dispatcher = createAceDispatcher();
  const TimePoint start = dispatcher->timeSource().monotonicTime();
  const Duration delay = std::chrono::microseconds(3500);
  const auto timer = dispatcher->createTimer([&] { dispatcher->exit(); });
  timer->enable(delay);
  dispatcher->run();
  CHECK(dispatcher->timeSource().monotonicTime() - start >= delay);
}

TEST_CASE("a timer may re-arm or destroy itself within its callback") {
  const auto dispatcher = createAceDispatcher();
  int runs = 0;
  std::unique_ptr<Timer> timer;
  timer = dispatcher->createTimer([&] {
    if (++runs < 3) {
      timer->enable(Duration::zero());
    } else {
      timer.reset();
      dispatcher->exit();
    }
  });
  timer->enable(Duration::zero());
  dispatcher->run();
  CHECK(runs == 3);
}

TEST_CASE("a readable descriptor is reported until it is read") {
  const auto dispatcher = createAceDispatcher();
  const SocketPair pair;
  int reports = 0;
  const auto watch = dispatcher->watchFile(pair.ends[0], kReadable, [&](unsigned events) {
    CHECK(events == kReadable);
    char byte = 0;
    if (++reports == 3) {
      CHECK(::read(pair.ends[0], &byte, 1) == 1);
      dispatcher->exit();
    }
  });
  REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  dispatcher->run();
  CHECK(reports == 3);
}

struct EventCase {
  std::string name;
  unsigned interest;
  bool readable;
  bool peer_closed;
  unsigned expected;
};

TEST_CASE("a watch reports the events of interest and no others") {
  const auto example = GENERATE(values<EventCase>({
      {"readable", kReadable, true, false, kReadable},
      {"writable", kWritable, true, false, kWritable},
      {"both at once", kReadable | kWritable, true, false, kReadable | kWritable},
      {"only the one that is ready", kReadable | kWritable, false, false, kWritable},
      {"closed behind unread data", kPeerClosed, true, true, kPeerClosed},
      {"closed seen as readable", kReadable, false, true, kReadable},
  }));
  INFO(example.name);
  const auto dispatcher = createAceDispatcher();
  SocketPair pair;
  if (example.readable) {
    REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  }
  if (example.peer_closed) {
    REQUIRE(::shutdown(pair.ends[1], SHUT_WR) == 0);
  }
  unsigned seen = 0;
  const auto watch = dispatcher->watchFile(pair.ends[0], example.interest, [&](unsigned events) {
    seen = events;
    dispatcher->exit();
  });
  dispatcher->run();
  CHECK(seen == example.expected);
}

TEST_CASE("changes of the events of interest take effect, also within callbacks and down to none") {
  const auto dispatcher = createAceDispatcher();
  const SocketPair pair;
  std::vector<unsigned> seen;
  std::unique_ptr<FileWatch> watch;
  const auto end = dispatcher->createTimer([&] { dispatcher->exit(); });
  watch = dispatcher->watchFile(pair.ends[0], kWritable, [&](unsigned events) {
    seen.push_back(events);
    watch->setEvents(seen.size() == 1 ? unsigned{kReadable} : 0U);
    end->enable(10 * kSoon);
  });
  REQUIRE(::write(pair.ends[1], "x", 1) == 1);
  dispatcher->run();
  CHECK(seen == std::vector<unsigned>{kWritable, kReadable});
}

TEST_CASE("a watch destroyed in another watch's callback reports no further events") {
  const auto dispatcher = createAceDispatcher();
  const SocketPair first;
  const SocketPair second;
  std::array<std::unique_ptr<FileWatch>, 2> watches;
  int reports = 0;
  const auto end = dispatcher->createTimer([&] { dispatcher->exit(); });
  const auto destroyBoth = [&](unsigned) {
    ++reports;
    watches[0].reset();
    watches[1].reset();
    end->enable(10 * kSoon);
  };
  watches[0] = dispatcher->watchFile(first.ends[0], kWritable, destroyBoth);
  watches[1] = dispatcher->watchFile(second.ends[0], kWritable, destroyBoth);
  dispatcher->run();
  CHECK(reports == 1);
}

TEST_CASE("posted callbacks run in order, after the current one, and don't starve timers") {
  const auto dispatcher = createAceDispatcher();
  std::vector<int> order;
  std::function<void()> forever = [&] { dispatcher->post(forever); };
  dispatcher->post([&] {
    dispatcher->post([&] { order.push_back(3); });
    order.push_back(1);
  });
  dispatcher->post([&] { order.push_back(2); });
  dispatcher->post(forever);
  const auto timer = dispatcher->createTimer([&] { dispatcher->exit(); });
  timer->enable(kSoon);
  dispatcher->run();
  CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("post wakes the loop from other threads and loses nothing") {
  constexpr int kThreads = 4;
  constexpr int kPostsPerThread = 5000;
  const auto dispatcher = createAceDispatcher();
  int count = 0;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int post = 0; post < kPostsPerThread; ++post) {
        dispatcher->post([&] {
          if (++count == kThreads * kPostsPerThread) {
            dispatcher->exit();
          }
        });
      }
    });
  }
  dispatcher->run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(count == kThreads * kPostsPerThread);
}

TEST_CASE("a dispatcher may be destroyed while callbacks posted outside of run are pending") {
  int calls = 0;
  for (int round = 0; round < 100; ++round) {
    const auto dispatcher = createAceDispatcher();
    dispatcher->post([&] { ++calls; });
    dispatcher->post([&] { dispatcher->exit(); });
    dispatcher->run();
    dispatcher->post([&calls] { ++calls; });
    std::thread([&] { dispatcher->exit(); }).join();
  }
  CHECK(calls == 100);
}

TEST_CASE("exit ends run from another thread and before run begins") {
  const auto dispatcher = createAceDispatcher();
  std::thread thread([&] { dispatcher->exit(); });
  dispatcher->run();
  thread.join();
  dispatcher->exit();
  CHECK_NOTHROW(dispatcher->run());
}

TEST_CASE("a signal callback runs on the loop's thread") {
  const auto dispatcher = createAceDispatcher();
  const std::thread::id loop = std::this_thread::get_id();
  int calls = 0;
  dispatcher->onSignal(SIGUSR1, [&] {
    CHECK(std::this_thread::get_id() == loop);
    if (++calls == 2) {
      dispatcher->exit();
    } else {
      std::thread([] { ::kill(::getpid(), SIGUSR1); }).join();
    }
  });
  std::thread([] { ::kill(::getpid(), SIGUSR1); }).join();
  dispatcher->run();
  CHECK(calls == 2);
}

/// Guards against a signal that ends a process which is still starting, or is lost on it.
TEST_CASE("a signal that was kept before its callback was set calls back once") {
  keepEarlySignal(SIGUSR2);
  ::kill(::getpid(), SIGUSR2);
  const auto dispatcher = createAceDispatcher();
  int calls = 0;
  dispatcher->onSignal(SIGUSR2, [&] { ++calls; });
  const auto end = dispatcher->createTimer([&] { dispatcher->exit(); });
  end->enable(std::chrono::milliseconds(50));
  dispatcher->run();
  CHECK(calls == 1);
  CHECK_FALSE(takeEarlySignal(SIGUSR2));
}

TEST_CASE("an exception thrown by a callback propagates out of run, and run may be called again") {
  const auto dispatcher = createAceDispatcher();
  const SocketPair pair;
  const auto timer = dispatcher->createTimer([] { throw std::runtime_error("timer"); });
  timer->enable(Duration::zero());
  CHECK_THROWS_WITH(dispatcher->run(), "timer");
  dispatcher->post([] { throw std::runtime_error("posted"); });
  CHECK_THROWS_WITH(dispatcher->run(), "posted");
  auto watch =
      dispatcher->watchFile(pair.ends[0], kWritable, [](unsigned) { throw std::runtime_error("watch"); });
  CHECK_THROWS_WITH(dispatcher->run(), "watch");
  watch.reset();
  dispatcher->post([&] { dispatcher->exit(); });
  CHECK_NOTHROW(dispatcher->run());
}

}  // namespace
}  // namespace ferryrock::event
