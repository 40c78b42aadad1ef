#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/identifiers.h"
#include "event/dispatcher.h"
#include "wire/message_kind.h"

namespace ferryrock::transport {

/// Another process of the system that may exchange messages with this process.
struct Peer {
  NodeName node;
  std::string address;     ///< "host:port"; empty for peers that only connect to this process
  std::string public_key;  ///< Z85 CURVE key; empty when keys are off
};

struct TransportSettings {
  NodeName node;
  std::string listen_address;  ///< "host:port" (the system chooses the port if it is 0); empty: no listener
  std::string public_key;      ///< Z85 CURVE key of this process; both keys are empty if keys are off
  std::string secret_key;
  std::string bind_address;  ///< source address of outgoing connections; empty: chosen by the system
  std::size_t high_water_mark =
      10'000;  ///< messages queued per peer; further messages are dropped and counted
  /// Received messages queued per peer; beyond this bound the peer's connection isn't read, so that further
  /// messages queue at the peer. ZeroMQ holds a receive buffer of 8 KiB per queued message, whatever the
  /// message's size.
  std::size_t receive_high_water_mark = 10'000;
};

/// Called with each received envelope on the dispatcher's thread. Malformed messages are counted and
/// discarded.
using ReceiveCallback = std::function<void(wire::Envelope)>;

/// Number of messages of one kind and their total encoded size.
struct MessageTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};
/// Traffic by the message's alternative index in wire::Message.
using TrafficByKind = std::array<MessageTraffic, wire::kMessageKinds>;

struct TransportCounts {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped = 0;  ///< sent to an unknown peer or to a peer whose queue is full
  std::uint64_t malformed = 0;
  std::uint64_t replaced = 0;  ///< received on a connection that the peer has replaced by a new one
  TrafficByKind sent_by_kind{};
  TrafficByKind received_by_kind{};
};

/// Z85 CURVE keys.
struct KeyPair {
  std::string public_key;
  std::string secret_key;
  friend bool operator==(const KeyPair&, const KeyPair&) = default;
};
KeyPair generateKeyPair();

/// Transfers envelopes between processes over ZeroMQ. Delivery isn't guaranteed, and messages of different
/// peers are unordered. If keys are on, the sender named in an envelope is verified against the peer's key.
/// All members must be called on the dispatcher's thread.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Queues the message. A message to an unknown or unconnected peer is dropped and counted in dropped.
  virtual void send(const NodeName& to, const wire::Message& message) = 0;
  /// Replaces the peers: connects to added peers, closes the connections of removed peers and applies changed
  /// keys without interrupting other connections.
  virtual void setPeers(std::vector<Peer> peers) = 0;
  /// Replaces the connection to a peer that has an address. Used for an unresponsive peer, because a
  /// connection may stop passing messages without being closed. Messages in flight may be lost.
  virtual void renew(const NodeName& peer) = 0;
  /// Replaces the keys of this process and closes connections whose keys setPeers() has removed: all sockets
  /// are closed and reopened at the same address. Messages in flight may be lost.
  virtual void setKeys(const KeyPair& own) = 0;
  /// "host:port" that peers connect to.
  virtual std::string boundAddress() const = 0;
  virtual TransportCounts counts() const = 0;
};

/// Throws Error AddressInUse.
std::unique_ptr<Transport> createZeroMqTransport(event::Dispatcher& dispatcher,
                                                 const TransportSettings& settings, ReceiveCallback receive);

}  // namespace ferryrock::transport
