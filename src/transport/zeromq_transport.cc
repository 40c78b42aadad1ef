#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "common/error.h"
#include "common/logging.h"
#include "transport/transport.h"
#include "transport/uninterrupted.h"
#include "transport/zap_authenticator.h"

/// Each process with a listen address binds one ROUTER socket, which identifies peers by their node name, and
/// connects one DEALER socket to each peer that has an address. A message is sent through the peer's DEALER
/// socket if there is one, otherwise through the ROUTER socket.
namespace ferryrock::transport {
namespace {

constexpr int kLingerMs = 100;
constexpr int kReconnectMs = 100;
/// Upper bound of the reconnect interval, so that a restarted peer is reconnected within this time even if
/// hundreds of peers restart at once.
constexpr int kMaxReconnectMs = 200;
/// Dead peers are detected by TCP keepalive probes and the timeout of unacknowledged data. ZeroMQ's own
/// heartbeats aren't used: if a connection breaks while received messages are unread, the heartbeat timer
/// aborts the process with an assertion (4.3.4, stream_engine_base.cpp: out_event() after an input/output
/// error).
constexpr int kKeepaliveProbeSeconds = 1;
constexpr int kKeepaliveProbes = 3;
/// Timeout after which a connection is closed if sent data stays unacknowledged or the peer's receive window
/// stays full. A catalog must be in force within 2 s of its acknowledgement; of these, a router's status
/// takes 250 ms, the reconnection 200 ms and a retransmission on a lossy link 200 ms.
constexpr int kUnacknowledgedTimeoutMs = 1200;
/// Timeout of a connection attempt. Without it, an attempt started during a network partition succeeds only
/// when the kernel retransmits the SYN, up to tens of seconds after the partition ends. The value is below
/// the kernel's first retransmission after 1 s and many times the latency between any two zones.
constexpr int kConnectTimeoutMs = 500;
/// Backlog of connections that aren't accepted yet: 300 routers may reconnect at the same time.
constexpr int kBacklog = 512;
constexpr int kHandshakeTimeoutMs = 2000;
constexpr std::int64_t kMaxMessageBytes = 256 << 20;
/// Messages received from one socket before the dispatcher runs other callbacks.
constexpr int kMaxMessagesPerDrain = 64;

struct PeerKey {
  NodeName node;
  std::string address;
  std::string public_key;
  friend auto operator<=>(const PeerKey&, const PeerKey&) = default;  // NOLINT(modernize-use-nullptr)
};

struct Connection {
  zmq::socket_t socket;
  std::unique_ptr<event::FileWatch> watch;
  /// At most one drain is posted per socket, because more would starve timers and other sockets.
  bool drain_posted = false;
};

class ZeroMqTransport : public Transport {
 public:
  ZeroMqTransport(event::Dispatcher& dispatcher, TransportSettings settings, ReceiveCallback receive)
      : dispatcher_(dispatcher), settings_(std::move(settings)), receive_(std::move(receive)) {
    openSockets();
  }

  ~ZeroMqTransport() override { *alive_ = false; }

  void send(const NodeName& to, const wire::Message& message) override {
    const std::string bytes = wire::encodeEnvelope({settings_.node, message});
    const bool queued = sendByConnection(to, bytes) || sendByListener(to, bytes);
    if (queued) {
      ++counts_.sent;
      counts_.sent_bytes += bytes.size();
      recordTraffic(counts_.sent_by_kind, message, bytes.size());
    } else {
      ++counts_.dropped;
    }
  }

  void renew(const NodeName& peer) override {
    for (const PeerKey& key : connectedPeers()) {
      if (key.node == peer) {
        connections_.erase(key);
        connect(key);
      }
    }
  }

  void setKeys(const KeyPair& own) override {
    connections_.clear();
    listener_.reset();
    authenticator_.reset();
    context_.close();  // waits until the listening address is free
    context_ = zmq::context_t();
    settings_.public_key = own.public_key;
    settings_.secret_key = own.secret_key;
    if (!settings_.listen_address.empty()) {
      settings_.listen_address = bound_address_;
    }
    openSockets();
    setPeers(std::move(peers_));
  }

  void setPeers(std::vector<Peer> peers) override {
    peers_ = std::move(peers);
    std::map<std::string, std::string> node_by_key;
    for (const Peer& peer : peers_) {
      if (!peer.public_key.empty()) {
        node_by_key[peer.public_key] = peer.node.value;
      }
    }
    const std::set<PeerKey> configured_peers = connectedPeers();
    if (authenticator_) {
      authenticator_->allow(std::move(node_by_key));
    }
    std::erase_if(connections_,
                  [&configured_peers](const auto& item) { return !configured_peers.contains(item.first); });
    for (const PeerKey& key : configured_peers) {
      if (!connections_.contains(key)) {
        connect(key);
      }
    }
  }

  std::string boundAddress() const override { return bound_address_; }
  TransportCounts counts() const override { return counts_; }

 private:
  /// The peers that this process connects to.
  std::set<PeerKey> connectedPeers() const {
    std::set<PeerKey> keys;
    for (const Peer& peer : peers_) {
      if (!peer.address.empty() && peer.node != settings_.node) {
        keys.insert({peer.node, peer.address, peer.public_key});
      }
    }
    return keys;
  }

  void openSockets() {
    if (keysOn()) {
      authenticator_ = std::make_unique<ZapAuthenticator>(context_, dispatcher_);
    }
    if (!settings_.listen_address.empty()) {
      bindListener();
    }
  }

  bool keysOn() const { return !settings_.secret_key.empty(); }

  void setCommonOptions(zmq::socket_t& socket) {
    const int high_water_mark = static_cast<int>(settings_.high_water_mark);
    socket.set(zmq::sockopt::linger, kLingerMs);
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, static_cast<int>(settings_.receive_high_water_mark));
    socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    socket.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveProbeSeconds);
    socket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveProbeSeconds);
    socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepaliveProbes);
    socket.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedTimeoutMs);
    socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  }

  void bindListener() {
    listener_ =
        std::make_unique<Connection>(Connection{zmq::socket_t(context_, zmq::socket_type::router), nullptr});
    zmq::socket_t& socket = listener_->socket;
    setCommonOptions(socket);
    socket.set(zmq::sockopt::router_mandatory, true);
    socket.set(zmq::sockopt::backlog, kBacklog);
    socket.set(zmq::sockopt::router_handover, true);
    if (keysOn()) {
      socket.set(zmq::sockopt::curve_server, true);
      socket.set(zmq::sockopt::curve_publickey, settings_.public_key);
      socket.set(zmq::sockopt::curve_secretkey, settings_.secret_key);
    }
    try {
      uninterrupted([&] { socket.bind("tcp://" + settings_.listen_address); });
    } catch (const zmq::error_t& fault) {
      throw Error(ResultCode::AddressInUse,
                  "the internal listen address can't be bound: " + std::string(fault.what()),
                  settings_.listen_address);
    }
    constexpr std::size_t kSchemeLength = 6;  // "tcp://"
    bound_address_ = socket.get(zmq::sockopt::last_endpoint).substr(kSchemeLength);
    listener_->watch = watch(socket, [this] { drainListener(); });
  }

  /// Without a descriptor for the connection, messages to the peer are dropped until it is renewed or the
  /// peers are set again.
  void connect(const PeerKey& key) {
    try {
      openConnection(key);
    } catch (const zmq::error_t& fault) {
      if (fault.num() != EMFILE && fault.num() != ENFILE) {
        throw;
      }
      logger_.warning("No connection to '" + key.address + "': " + fault.what());
    }
  }

  void openConnection(const PeerKey& key) {
    auto connection =
        std::make_unique<Connection>(Connection{zmq::socket_t(context_, zmq::socket_type::dealer), nullptr});
    zmq::socket_t& socket = connection->socket;
    setCommonOptions(socket);
    socket.set(zmq::sockopt::routing_id, settings_.node.value);
    socket.set(zmq::sockopt::immediate, true);
    if (keysOn()) {
      socket.set(zmq::sockopt::curve_serverkey, key.public_key);
      socket.set(zmq::sockopt::curve_publickey, settings_.public_key);
      socket.set(zmq::sockopt::curve_secretkey, settings_.secret_key);
    }
    const std::string source = settings_.bind_address.empty() ? "" : settings_.bind_address + ":0;";
    uninterrupted([&] { socket.connect("tcp://" + source + key.address); });
    connection->watch = watch(socket, [this, key] { drainConnection(key); });
    connections_.emplace(key, std::move(connection));
  }

  std::unique_ptr<event::FileWatch> watch(zmq::socket_t& socket, event::Callback drain) {
    return dispatcher_.watchFile(socket.get(zmq::sockopt::fd), event::kReadable,
                                 [drain = std::move(drain)](unsigned) { drain(); });
  }

  bool sendByConnection(const NodeName& to, const std::string& bytes) {
    for (auto item = connections_.lower_bound({to, "", ""});
         item != connections_.end() && item->first.node == to; ++item) {
      zmq::socket_t& socket = item->second->socket;
      const bool queued = sendFrame(socket, bytes, zmq::send_flags::none);
      if (hasInput(socket)) {
        postDrain(item->first, *item->second);
      }
      if (queued) {
        return true;
      }
    }
    return false;
  }

  bool sendByListener(const NodeName& to, const std::string& bytes) {
    if (!listener_) {
      return false;
    }
    zmq::socket_t& socket = listener_->socket;
    bool queued = false;
    try {
      queued = sendFrame(socket, to.value, zmq::send_flags::sndmore) &&
               sendFrame(socket, bytes, zmq::send_flags::none);
    } catch (const zmq::error_t& fault) {
      if (fault.num() != EHOSTUNREACH) {
        throw;
      }
    }
    if (hasInput(socket)) {
      postListenerDrain();
    }
    return queued;
  }

  /// ZeroMQ's descriptor is edge-triggered, so the pending events are checked after each send and receive.
  static bool hasInput(zmq::socket_t& socket) {
    return (uninterrupted([&socket] { return socket.get(zmq::sockopt::events); }) & ZMQ_POLLIN) != 0;
  }

  /// Returns false if the peer's queue is full.
  static bool sendFrame(zmq::socket_t& socket, const std::string& bytes, zmq::send_flags flags) {
    return uninterrupted([&] { return socket.send(zmq::buffer(bytes), flags | zmq::send_flags::dontwait); })
        .has_value();
  }

  /// Returns false if no frame is there.
  static bool receiveFrame(zmq::socket_t& socket, zmq::message_t& frame) {
    return uninterrupted([&] { return socket.recv(frame, zmq::recv_flags::dontwait); }).has_value();
  }

  void postIfAlive(event::Callback callback) {
    dispatcher_.post([alive = alive_, callback = std::move(callback)] {
      if (*alive) {
        callback();
      }
    });
  }

  void postListenerDrain() {
    if (!listener_ || std::exchange(listener_->drain_posted, true)) {
      return;
    }
    postIfAlive([this] {
      if (listener_) {
        listener_->drain_posted = false;
        drainListener();
      }
    });
  }

  void postDrain(const PeerKey& key, Connection& connection) {
    if (std::exchange(connection.drain_posted, true)) {
      return;
    }
    postIfAlive([this, key] {
      const auto found = connections_.find(key);
      if (found != connections_.end()) {
        found->second->drain_posted = false;
        drainConnection(key);
      }
    });
  }

  void drainListener() {
    if (!listener_) {
      return;
    }
    for (int i = 0; i < kMaxMessagesPerDrain; ++i) {
      if (!hasInput(listener_->socket)) {
        return;
      }
      zmq::message_t identity;
      zmq::message_t body;
      if (!receiveFrame(listener_->socket, identity)) {
        return;
      }
      if (!identity.more() || !receiveFrame(listener_->socket, body)) {
        ++counts_.malformed;
        continue;
      }
      if (isReplaced(identity)) {
        discardFurtherFrames(listener_->socket, body);
        ++counts_.replaced;
        continue;
      }
      const bool single_frame = !discardFurtherFrames(listener_->socket, body);
      const std::string sender = keysOn() ? body.gets("User-Id") : identity.to_string();
      accept(single_frame && sender == identity.to_string() ? NodeName{sender} : NodeName{}, body);
    }
    postListenerDrain();
  }

  void drainConnection(const PeerKey& key) {
    for (int i = 0; i < kMaxMessagesPerDrain; ++i) {
      const auto found = connections_.find(key);  // the receive callback may have changed the peers
      if (found == connections_.end() || !hasInput(found->second->socket)) {
        return;
      }
      zmq::message_t body;
      if (!receiveFrame(found->second->socket, body)) {
        return;
      }
      const bool single_frame = !discardFurtherFrames(found->second->socket, body);
      accept(single_frame ? key.node : NodeName{}, body);
    }
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
      postDrain(key, *found->second);
    }
  }

  /// When a peer reconnects, ZeroMQ renames its old connection to a zero byte and a number. Messages still
  /// queued on the old connection are discarded.
  static bool isReplaced(const zmq::message_t& identity) {
    return !identity.empty() && *identity.data<char>() == 0;
  }

  static bool discardFurtherFrames(zmq::socket_t& socket, const zmq::message_t& last) {
    bool more = last.more();
    const bool any = more;
    while (more) {
      zmq::message_t extra;
      more = receiveFrame(socket, extra) && extra.more();
    }
    return any;
  }

  static void recordTraffic(TrafficByKind& traffic, const wire::Message& message, std::size_t bytes) {
    MessageTraffic& of_kind = traffic.at(message.index());
    ++of_kind.messages;
    of_kind.bytes += bytes;
  }

  void accept(const NodeName& sender, const zmq::message_t& body) {
    ++counts_.received;
    counts_.received_bytes += body.size();
    try {
      wire::Envelope envelope = wire::decodeEnvelope(body.to_string_view());
      if (sender.empty() || envelope.from != sender) {
        throw Error(ResultCode::PeerNotAllowed, "the envelope names the sender '" + envelope.from.value + "'",
                    sender.value);
      }
      recordTraffic(counts_.received_by_kind, envelope.message, body.size());
      receive_(std::move(envelope));
    } catch (const Error& error) {
      if (error.code() != ResultCode::MalformedMessage &&
          error.code() != ResultCode::ProtocolVersionMismatch && error.code() != ResultCode::PeerNotAllowed) {
        throw;
      }
      ++counts_.malformed;
      logger_.warning(error.what());
    }
  }

  event::Dispatcher& dispatcher_;
  TransportSettings settings_;
  const ReceiveCallback receive_;
  const Logger logger_{"transport"};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  zmq::context_t context_;
  std::unique_ptr<ZapAuthenticator> authenticator_;
  std::unique_ptr<Connection> listener_;
  std::map<PeerKey, std::unique_ptr<Connection>> connections_;
  std::vector<Peer> peers_;
  std::string bound_address_;
  TransportCounts counts_;
};

}  // namespace

std::unique_ptr<Transport> createZeroMqTransport(event::Dispatcher& dispatcher,
                                                 const TransportSettings& settings, ReceiveCallback receive) {
  return std::make_unique<ZeroMqTransport>(dispatcher, settings, std::move(receive));
}

KeyPair generateKeyPair() {
  constexpr std::size_t kKeyBytes = 41;
  std::array<char, kKeyBytes> public_key{};
  std::array<char, kKeyBytes> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
    throw Error(ResultCode::Internal, "the ZeroMQ library has no CURVE support");
  }
  return {public_key.data(), secret_key.data()};
}

}  // namespace ferryrock::transport
