#include "transport/transport.h"

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
/// Of a message that fills a small receive buffer.
constexpr std::size_t kLargeBytes = std::size_t{64} * 1024;
/// Only ends a test that would hang; no assertion depends on it.
constexpr Duration kGiveUpAfter = 20s;

/// Runs the loop until the condition holds; false if it never did.
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

/// Sends until the other side has received something; sends before the connection stands are dropped by
/// contract.
bool sendUntilReceived(event::Dispatcher& dispatcher, Node& from, const std::string& to, Node& receiver) {
  const std::size_t before = receiver.received.size();
  return runUntil(dispatcher, [&] {
    from.transport->send(NodeName{to}, demand(1));
    return receiver.received.size() > before;
  });
}

/// Sends for a while; true if the receiver got nothing although the sender tried.
bool staysUnreceived(event::Dispatcher& dispatcher, Node& from, const std::string& to, Node& receiver) {
  constexpr int kTries = 60;
  int tries = 0;
  runUntil(dispatcher, [&] {
    from.transport->send(NodeName{to}, demand(1));
    return ++tries >= kTries || !receiver.received.empty();
  });
  return receiver.received.empty();
}

TEST_CASE("a message reaches a peer with an address, and the answer finds its way back") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0");
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, router, "control", control));
  CHECK(control.received.front().from == NodeName{"router"});
  REQUIRE(sendUntilReceived(*dispatcher, control, "router", router));
  CHECK(router.received.front().from == NodeName{"control"});
}

TEST_CASE("a peer that isn't read holds a bounded number of messages, further ones wait at their sender") {
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
  // The loop doesn't run from here on, so that nothing is received. The kernel's buffers take some megabytes.
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

TEST_CASE("an address in use is refused with its code") {
  const auto dispatcher = event::createAceDispatcher();
  Node first(*dispatcher, "first", "127.0.0.1:0");
  try {
    Node second(*dispatcher, "second", first.transport->boundAddress());
    FAIL("the address was bound twice");
  } catch (const Error& error) {
    CHECK(error.code() == ResultCode::AddressInUse);
  }
}

TEST_CASE(
    "a process takes new keys of its own at the same address, and its old ones are refused once withdrawn") {
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
  CHECK(staysUnreceived(*dispatcher, router, "control", control));
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

TEST_CASE("with keys on, only a listed key under its own name gets through") {
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
    CHECK(staysUnreceived(*dispatcher, router, "control", control));
  }
}

TEST_CASE("a peer without keys can't reach a process with keys") {
  const auto dispatcher = event::createAceDispatcher();
  Node control(*dispatcher, "control", "127.0.0.1:0", generateKeyPair());
  Node router(*dispatcher, "router", "");
  router.transport->setPeers({{NodeName{"control"}, control.transport->boundAddress(), ""}});
  CHECK(staysUnreceived(*dispatcher, router, "control", control));
}

TEST_CASE("keys are rotated without a stop: the old and the new key stand side by side") {
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

TEST_CASE("answers to a backlog don't keep the loop's other work from its turn") {
  constexpr std::size_t kBacklog = 5'000;
  /// One turn at the event and one posted turn, each of 64 messages.
  constexpr std::size_t kMostPerRound = 128;
  const auto dispatcher = event::createAceDispatcher();
  std::size_t received = 0;
  std::size_t at_last_round = 0;
  std::size_t most_per_round = 0;
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
    most_per_round = std::max(most_per_round, received - at_last_round);
    at_last_round = received;
    dispatcher->post(each_round);
  };
  for (std::size_t message = 0; message < kBacklog; ++message) {
    client.transport->send(NodeName{"server"}, demand(message));
  }
  at_last_round = received;
  dispatcher->post(each_round);
  CHECK(runUntil(*dispatcher, [&] { return received >= kBacklog; }));
  CHECK(most_per_round > 0);
  CHECK(most_per_round <= kMostPerRound);
}

TEST_CASE("a process that comes back at the same address is reached again") {
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

/// A peer whose connection is reset while its messages pile up here: the messaging library then keeps the
/// connection's engine until they are read.
TEST_CASE("a connection that is reset while its messages wait unread costs no process") {
  constexpr std::size_t kMark = 10;
  constexpr int kMoreThanTheMark = 100;
  const auto dispatcher = event::createAceDispatcher();
  TransportSettings settings;
  settings.node = NodeName{"control"};
  settings.listen_address = "127.0.0.1:0";
  settings.high_water_mark = kMark;
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
  for (int i = 0; i < kMoreThanTheMark; ++i) {
    sender.transport->send(NodeName{"control"}, demand(1));
  }
  std::this_thread::sleep_for(300ms);  // nobody reads meanwhile
  relay.reset();
  std::this_thread::sleep_for(1500ms);
  const std::size_t before = received;  // what waited may be lost, what is sent from now on arrives
  CHECK(runUntil(*dispatcher, [&] {
    sender.transport->send(NodeName{"control"}, demand(1));
    return received > before + kMoreThanTheMark;
  }));
  CHECK(receiver->counts().malformed == 0);
}

/// The kernel repeats an unanswered opening packet less and less often: a connection that is begun during a
/// cut would come up long after its end.
TEST_CASE("a peer that was cut off is reached soon after the cut") {
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

/// The users' shortest limit from an acknowledgement to a catalog's being in force is 2 s; a connection that
/// takes nothing any more mustn't hold a message up for longer than that and half a second of the test's own.
TEST_CASE("A connection that takes nothing any more is replaced by a new one") {
  constexpr Duration kReplacedWithin = 2500ms;
  const auto dispatcher = event::createAceDispatcher();
  Node receiver(*dispatcher, "control", "127.0.0.1:0");
  ResettingRelay relay(receiver.transport->boundAddress());
  Node sender(*dispatcher, "router", "");
  sender.transport->setPeers({{NodeName{"control"}, relay.address(), ""}});
  REQUIRE(sendUntilReceived(*dispatcher, sender, "control", receiver));
  relay.stall();
  std::this_thread::sleep_for(100ms);
  runUntil(*dispatcher, [&, tries = 0]() mutable { return ++tries > 10; });  // what came before the stall
  const TimePoint stalled = dispatcher->timeSource().monotonicTime();
  const std::size_t before = receiver.received.size();
  const wire::Message large = wire::MemberList{{NodeName{std::string(kLargeBytes, 'x')}}, {}};
  CHECK(runUntil(*dispatcher, [&] {
    sender.transport->send(NodeName{"control"}, large);
    return receiver.received.size() > before;
  }));
  CHECK(dispatcher->timeSource().monotonicTime() - stalled < kReplacedWithin);
}

/// The relay's host acknowledges what the old connection gets, so that only the peer's silence shows it.
TEST_CASE("A renewed connection passes messages though the old one stands and passes none") {
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
  REQUIRE(staysUnreceived(*dispatcher, sender, "control", receiver));
  sender.transport->renew(NodeName{"control"});
  CHECK(sendUntilReceived(*dispatcher, sender, "control", receiver));
  CHECK(sendUntilReceived(*dispatcher, receiver, "router", sender));
  sender.transport->renew(NodeName{"unknown"});
}

}  // namespace
}  // namespace ferryrock::transport
