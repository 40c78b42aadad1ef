#include "transport/transport.h"

#include <signal.h>
#include <sys/resource.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/error.h"
#include "event/dispatcher.h"
#include "transport/resetting_relay.h"

namespace ferryrock::transport {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPollInterval = 5ms;
/// Size of a message that fills a small receive buffer.
constexpr std::size_t kLargeBytes = std::size_t{64} * 1024;
/// Time limit that ends a hanging test; no assertion depends on its value.
constexpr Duration kGiveUpAfter = 20s;

/// Runs the loop until the condition holds; returns false after a timeout.
bool runUntil(event::Dispatcher& dispatcher, const std::function<bool()>& condition) {
  const TimePoint give_up = dispatcher.timeSource().monotonicTime() + kGiveUpAfter;
  bool held = false;
  std::unique_ptr<event::Timer> timer;
  timer = dispatcher.createTimer([&] {
    held = condition();
    if (held || dispatcher.timeSource().monotonicTime() >= give_up) {
      dispatcher.exit();
    } else {
      timer->enable(kPollInterval);
    }
  });
  timer->enable(kPollInterval);
  dispatcher.run();
  return held;
}

struct Node {
  Node(event::Dispatcher& dispatcher, const std::string& name, const std::string& listen,
       const KeyPair& keys = {}) {
    TransportSettings settings;
    settings.node = NodeName{name};
    settings.listen_address = listen;
    settings.public_key = keys.public_key;
    settings.secret_key = keys.secret_key;
    transport = createZeroMqTransport(
        dispatcher, settings, [this](wire::Envelope envelope) { received.push_back(std::move(envelope)); });
  }
  std::vector<wire::Envelope> received;
  std::unique_ptr<Transport> transport;
};

wire::Message demand(std::uint64_t sequence) {
  return wire::DemandReport{NodeName{"router"}, sequence, {}};
}

/// Sends until the receiver has received a message; messages sent before the connection is established are
/// dropped by contract.
bool sendUntilReceived(event::Dispatcher& dispatcher, Node& from, const std::string& to, Node& receiver) {
  const std::size_t before = receiver.received.size();
  return runUntil(dispatcher, [&] {
    from.transport->send(NodeName{to}, demand(1));
    return receiver.received.size() > before;
  });
}

/// Sends up to 60 messages; returns true if the receiver has received nothing.
bool receivesNothing(event::Dispatcher& dispatcher, Node& from, const std::string& to, Node& receiver) {
  constexpr int kTries = 60;
  int tries = 0;
  runUntil(dispatcher, [&] {
    from.transport->send(NodeName{to}, demand(1));
    return ++tries >= kTries || !receiver.received.empty();
  });
  return receiver.received.empty();
}

TEST_CASE("a message reaches a peer with an address, and the reply reaches the sender") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0");
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));
  CHECK(control.received.front().from == NodeName{"router"});
  REQUIRE(sendUntilReceived(*dispatcher, control, "router", router));
  CHECK(router.received.front().from == NodeName{"control"});
}

TEST_CASE(
    "a process that doesn't read queues a bounded number of messages, and further messages queue at their "
    "sender") {
  const auto dispatcher = event::createAceDispatcher();
  TransportSettings settings;
  settings.node = NodeName{"control"};
  settings.listen_address = "127.0.0.1:0";
  settings.receive_high_water_mark = 16;
  std::size_t received = 0;
  const auto control =
      createZeroMqTransport(*dispatcher, settings, [&received](const wire::Envelope&) { ++received; });
  TransportSettings sender_settings;
  sender_settings.node = NodeName{"router"};
  sender_settings.high_water_mark = 16;
  const auto router = createZeroMqTransport(*dispatcher, sender_settings, [](const wire::Envelope&) {});
  router->setPeers({{NodeName{"control"}, control->boundAddress(), ""}});
  REQUIRE(runUntil(*dispatcher, [&] {
    router->send(NodeName{"control"}, demand(1));
    return received > 0;
  }));
  // The loop doesn't run from here on, so nothing is received. The kernel's buffers hold some megabytes.
  constexpr std::size_t kLarge = 64 << 10;
  constexpr int kMessages = 2000;
  const std::uint64_t dropped_before = router->counts().dropped;
  for (int i = 0; i < kMessages; ++i) {
    router->send(NodeName{"control"}, wire::MemberList{{NodeName{std::string(kLarge, 'x')}}, {}});
    std::this_thread::sleep_for(100us);
  }
  CHECK(router->counts().dropped - dropped_before > kMessages / 2);
}

TEST_CASE("a message to an unknown peer is dropped and counted") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0");
  control.transport->send(NodeName{"nobody"}, demand(1));
  CHECK(control.transport->counts().dropped == 1);
  CHECK(control.transport->counts().sent == 0);
}

TEST_CASE("binding an address in use fails with AddressInUse") {
  const auto dispatcher = event::createAceDispatcher();
  Node first(*dispatcher, "first", "127.0.0.1:0");
  try {
    Node second(*dispatcher, "second", first.transport->boundAddress());
    FAIL("the address was bound twice");
  } catch (const Error& error) {
    CHECK(error.code() == ResultCode::AddressInUse);
  }
}

TEST_CASE("a process replaces its keys at the same address, and its old keys are rejected once removed") {
  const auto dispatcher = event::createAceDispatcher();
  const KeyPair control_keys = generateKeyPair();
  const KeyPair old_keys = generateKeyPair();
  const KeyPair new_keys = generateKeyPair();
  Node control(*dispatcher, "control", "127.0.0.1:0", control_keys);
  Node router(*dispatcher, "router", "", old_keys);
  const std::string address = control.transport->boundAddress();
  const auto allow = [&control](const std::vector<KeyPair>& allowed) {
    std::vector<Peer> peers;
    peers.reserve(allowed.size());
    for (const KeyPair& keys : allowed) {
      peers.push_back({NodeName{"router"}, "", keys.public_key});
    }
    control.transport->setPeers(peers);
  };
  allow({old_keys});
  router.transport->setPeers({{NodeName{"control"}, address, control_keys.public_key}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));

  allow({old_keys, new_keys});
  router.transport->setKeys(new_keys);
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));

  allow({new_keys});
  control.transport->setKeys(control_keys);
  CHECK(control.transport->boundAddress() == address);
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));
  REQUIRE(sendUntilReceived(*dispatcher, control, "router", router));
  router.transport->setKeys(old_keys);
  control.received.clear();
  CHECK(receivesNothing(*dispatcher, router, "control", control));
}

TEST_CASE("many messages arrive in order over one connection") {
  constexpr std::uint64_t kMessages = 5000;
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0");
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));
  control.received.clear();
  const std::uint64_t sent_before = router.transport->counts().sent;
  for (std::uint64_t i = 0; i < kMessages; ++i) {
    router.transport->send(NodeName{"control"}, demand(i + 2));
  }
  REQUIRE(router.transport->counts().sent == sent_before + kMessages);
  const auto last_arrived = [&] {
    return !control.received.empty() &&
           std::get<wire::DemandReport>(control.received.back().message).sequence == kMessages + 1;
  };
  REQUIRE(runUntil(*dispatcher, last_arrived));
  std::uint64_t previous = 0;
  for (const wire::Envelope& envelope : control.received) {
    const std::uint64_t sequence = std::get<wire::DemandReport>(envelope.message).sequence;
    CHECK(sequence >= previous);
    previous = sequence;
  }
}

struct KeyCase {
  std::string name;
  bool listed;            ///< the router's key is on the allow-list
  bool right_server_key;  ///< the router knows control's key
  std::string listed_as;  ///< node that the key belongs to
  bool reaches;
};

TEST_CASE("with keys on, only messages of a listed key under its own node name are accepted") {
  const auto key_case = GENERATE(values<KeyCase>({
      {"listed", true, true, "router", true},
      {"not listed", false, true, "router", false},
      {"listed for another node", true, true, "other", false},
      {"wrong key of the server", true, false, "router", false},
  }));
  INFO(key_case.name);
  const KeyPair control_keys = generateKeyPair();
  const KeyPair router_keys = generateKeyPair();
  const KeyPair stranger_keys = generateKeyPair();
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0", control_keys);
  Node router(*dispatcher, "router", "", router_keys);
  const std::string listed_key = key_case.listed ? router_keys.public_key : stranger_keys.public_key;
  control.transport->setPeers({{NodeName{key_case.listed_as}, "", listed_key}});
  const std::string server_key =
      key_case.right_server_key ? control_keys.public_key : stranger_keys.public_key;
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), server_key}});
  if (key_case.reaches) {
    CHECK(sendUntilReceived(*dispatcher, router, "control", control));
  } else {
    CHECK(receivesNothing(*dispatcher, router, "control", control));
  }
}

TEST_CASE("a peer without keys can't reach a process with keys") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0", generateKeyPair());
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  CHECK(receivesNothing(*dispatcher, router, "control", control));
}

TEST_CASE("keys are rotated without downtime: the old and the new key are accepted at the same time") {
  const KeyPair control_keys = generateKeyPair();
  const KeyPair old_keys = generateKeyPair();
  const KeyPair new_keys = generateKeyPair();
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0", control_keys);
  const std::vector<Peer> peers{
      {NodeName{"control"}, control.transport->boundAddress(), control_keys.public_key}};
  control.transport->setPeers({{NodeName{"router"}, "", old_keys.public_key}});
  auto router = std::make_unique<Node>(*dispatcher, "router", "", old_keys);
  router->transport->setPeers(peers);
  REQUIRE(sendUntilReceived(*dispatcher, *router, "control", control));

  control.transport->setPeers(
      {{NodeName{"router"}, "", old_keys.public_key}, {NodeName{"router"}, "", new_keys.public_key}});
  REQUIRE(sendUntilReceived(*dispatcher, *router, "control", control));
  router = std::make_unique<Node>(*dispatcher, "router", "", new_keys);
  router->transport->setPeers(peers);
  CHECK(sendUntilReceived(*dispatcher, *router, "control", control));
}

TEST_CASE("replying to a backlog of messages doesn't starve other callbacks of the loop") {
  constexpr std::size_t kBacklog = 5'000;
  /// One drain by the descriptor's event and one posted drain, each of 64 messages.
  constexpr std::size_t kMaxPerRound = 128;
  const auto dispatcher = event::createAceDispatcher();
  std::size_t received = 0;
  std::size_t at_last_round = 0;
  std::size_t max_per_round = 0;
  std::unique_ptr<Transport> server;
  TransportSettings settings;
  settings.node = NodeName{"server"};
  settings.listen_address = "127.0.0.1:0";
  server = createZeroMqTransport(*dispatcher, settings, [&](const wire::Envelope& envelope) {
    ++received;
    server->send(envelope.from, demand(received));
  });
  Node client(*dispatcher, "client", "");
  client.transport->setPeers({{NodeName{"server"}, server->boundAddress(), ""}});
  REQUIRE(runUntil(*dispatcher, [&] {
    client.transport->send(NodeName{"server"}, demand(1));
    return received > 0;
  }));
  event::Callback each_round = [&] {
    max_per_round = std::max(max_per_round, received - at_last_round);
    at_last_round = received;
    dispatcher->post(each_round);
  };
  for (std::size_t message = 0; message < kBacklog; ++message) {
    client.transport->send(NodeName{"server"}, demand(message));
  }
  at_last_round = received;
  dispatcher->post(each_round);
  CHECK(runUntil(*dispatcher, [&] { return received >= kBacklog; }));
  CHECK(max_per_round > 0);
  CHECK(max_per_round <= kMaxPerRound);
}

TEST_CASE("a process restarted at the same address is reconnected") {
  const auto dispatcher = event::createAceDispatcher();
  auto control = std::make_unique<Node>(*dispatcher, "control", "127.0.0.1:0");
  const std::string address = control->transport->boundAddress();
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, address, ""}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", *control));
  control.reset();
  control = std::make_unique<Node>(*dispatcher, "control", address);
  CHECK(sendUntilReceived(*dispatcher, router, "control", *control));
}

/// The connection is reset while received messages are queued: ZeroMQ then keeps the connection's engine
/// until the messages are read.
TEST_CASE("a connection reset while its messages are unread doesn't abort the process") {
  constexpr std::size_t kHighWaterMark = 10;
  constexpr int kMessagesBeyondMark = 100;
  const auto dispatcher = event::createAceDispatcher();
  TransportSettings settings;
  settings.node = NodeName{"control"};
  settings.listen_address = "127.0.0.1:0";
  settings.high_water_mark = kHighWaterMark;
  std::size_t received = 0;
  const auto receiver =
      createZeroMqTransport(*dispatcher, settings, [&](const wire::Envelope&) { ++received; });
  ResettingRelay relay(receiver->boundAddress());
  Node sender(*dispatcher, "router", "");
  sender.transport->setPeers({{NodeName{"control"}, relay.address(), ""}});
  const auto sendOne = [&] {
    sender.transport->send(NodeName{"control"}, demand(1));
    return received > 0;
  };
  REQUIRE(runUntil(*dispatcher, sendOne));
  for (int i = 0; i < kMessagesBeyondMark; ++i) {
    sender.transport->send(NodeName{"control"}, demand(1));
  }
  std::this_thread::sleep_for(300ms);  // nothing is read meanwhile
  relay.reset();
  std::this_thread::sleep_for(1500ms);
  const std::size_t before = received;  // queued messages may be lost, messages sent from now on arrive
  CHECK(runUntil(*dispatcher, [&] {
    sender.transport->send(NodeName{"control"}, demand(1));
    return received > before + kMessagesBeyondMark;
  }));
  CHECK(receiver->counts().malformed == 0);
}

/// The kernel retransmits an unanswered SYN at growing intervals, so a connection attempt started during a
/// network partition would succeed long after the partition ends.
TEST_CASE("a peer is reconnected soon after a network partition ends") {
  constexpr Duration kCut = 7200ms;
  constexpr Duration kSoon = 3300ms;
  const auto dispatcher = event::createAceDispatcher();
  auto cut = std::make_unique<FullListener>();
  const std::string address = cut->address();
  Node sender(*dispatcher, "router", "");
  sender.transport->setPeers({{NodeName{"control"}, address, ""}});
  std::this_thread::sleep_for(kCut);
  cut.reset();
  Node receiver(*dispatcher, "control", address);
  const TimePoint healed = dispatcher->timeSource().monotonicTime();
  CHECK(sendUntilReceived(*dispatcher, sender, "control", receiver));
  CHECK(dispatcher->timeSource().monotonicTime() - healed < kSoon);
}

/// A catalog must be in force within 2 s of its acknowledgement; a stalled connection must not delay a
/// message for longer than that, plus a tolerance of 0.5 s for the test.
TEST_CASE("A stalled connection that accepts no more data is replaced by a new one") {
  constexpr Duration kReplacedWithin = 2500ms;
  const auto dispatcher = event::createAceDispatcher();
  Node receiver(*dispatcher, "control", "127.0.0.1:0");
  ResettingRelay relay(receiver.transport->boundAddress());
  Node sender(*dispatcher, "router", "");
  sender.transport->setPeers({{NodeName{"control"}, relay.address(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, sender, "control", receiver));
  relay.stall();
  std::this_thread::sleep_for(100ms);
  runUntil(*dispatcher,
           [&, tries = 0]() mutable { return ++tries > 10; });  // receives what was sent before the stall
  const TimePoint stalled = dispatcher->timeSource().monotonicTime();
  const std::size_t before = receiver.received.size();
  const wire::Message large = wire::MemberList{{NodeName{std::string(kLargeBytes, 'x')}}, {}};
  CHECK(runUntil(*dispatcher, [&] {
    sender.transport->send(NodeName{"control"}, large);
    return receiver.received.size() > before;
  }));
  CHECK(dispatcher->timeSource().monotonicTime() - stalled < kReplacedWithin);
}

/// The relay's kernel acknowledges data on the old connection, so that only missing replies reveal the stall.
TEST_CASE("renew() restores delivery while the old connection is open but stalled") {
  const auto dispatcher = event::createAceDispatcher();
  Node receiver(*dispatcher, "control", "127.0.0.1:0");
  ResettingRelay relay(receiver.transport->boundAddress());
  Node sender(*dispatcher, "router", "");
  sender.transport->setPeers({{NodeName{"control"}, relay.address(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, sender, "control", receiver));
  relay.stall();
  std::this_thread::sleep_for(100ms);
  runUntil(*dispatcher, [&, tries = 0]() mutable { return ++tries > 10; });
  receiver.received.clear();
  REQUIRE(receivesNothing(*dispatcher, sender, "control", receiver));
  sender.transport->renew(NodeName{"control"});
  CHECK(sendUntilReceived(*dispatcher, sender, "control", receiver));
  CHECK(sendUntilReceived(*dispatcher, receiver, "router", sender));
  sender.transport->renew(NodeName{"unknown"});
}

/// Sends signals to this process, without SA_RESTART, at short intervals.
class SignalStorm {
 public:
  SignalStorm() {
    struct sigaction action {};
    action.sa_handler = [](int) {};
    ::sigaction(SIGALRM, &action, &previous_);
    constexpr itimerval kInterval{{0, 20}, {0, 20}};
    ::setitimer(ITIMER_REAL, &kInterval, nullptr);
  }
  ~SignalStorm() {
    constexpr itimerval kNone{};
    ::setitimer(ITIMER_REAL, &kNone, nullptr);
    ::sigaction(SIGALRM, &previous_, nullptr);
  }
  SignalStorm(const SignalStorm&) = delete;
  SignalStorm& operator=(const SignalStorm&) = delete;

 private:
  struct sigaction previous_ {};
};

TEST_CASE("A signal doesn't break off sending and receiving") {
  constexpr std::uint64_t kMessages = 20'000;
  const auto dispatcher = event::createAceDispatcher();
  Node listener(*dispatcher, "listener", "127.0.0.1:0");
  Node sender(*dispatcher, "sender", "");
  sender.transport->setPeers({{NodeName{"listener"}, listener.transport->boundAddress(), ""}});
  std::uint64_t sent = 0;
  const SignalStorm storm;
  CHECK(runUntil(*dispatcher, [&] {
    constexpr int kBurst = 100;
    for (int i = 0; i < kBurst; ++i) {
      sender.transport->send(NodeName{"listener"}, demand(++sent));
    }
    return listener.received.size() >= kMessages;
  }));
}

/// Leaves this process no descriptor beyond those that it has.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const int next = ::dup(0);
    ::close(next);
    const rlimit limit{static_cast<rlim_t>(next), before_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~NoFreeDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

TEST_CASE("A connection that can't be renewed for want of descriptors is opened by a later renewal") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0");
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));
  {
    const NoFreeDescriptors none;
    router.transport->renew(NodeName{"control"});
    router.transport->renew(NodeName{"control"});
    router.transport->send(NodeName{"control"}, demand(7));
  }
  router.transport->renew(NodeName{"control"});
  CHECK(sendUntilReceived(*dispatcher, router, "control", control));
}

}  // namespace
}  // namespace ferryrock::transport
