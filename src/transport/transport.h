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

/// A process of the system that this one may talk to.
struct Peer {
  NodeName node;
  std::string address;     ///< "host:port"; empty for peers that only connect to this process
  std::string public_key;  ///< Z85 CURVE key; empty when keys are off
};

struct TransportSettings {
  NodeName node;
  std::string listen_address;  ///< "host:port", port 0: chosen by the system; empty: connects only
  std::string public_key;      ///< own Z85 CURVE keys; both empty: keys are off
  std::string secret_key;
  std::string bind_address;  ///< "host" that outgoing connections leave from; empty: chosen by the system
  std::size_t high_water_mark =
      10'000;  ///< messages queued per peer before further ones are dropped and counted
  /// Messages of one peer that wait to be received; beyond them the peer's connection isn't read, so that
  /// they wait at the peer. ZeroMQ keeps a receive buffer of 8 KiB alive for each, whatever its size.
  std::size_t receive_high_water_mark = 10'000;
};

/// Receives envelopes on the dispatcher's thread. A malformed message is counted and never reaches it.
using ReceiveCallback = std::function<void(wire::Envelope)>;

/// Messages of one kind and their encoded size.
struct MessageTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};
/// By index in wire::Message.
using TrafficByKind = std::array<MessageTraffic, wire::kMessageKinds>;

struct TransportCounts {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped = 0;  ///< unknown or full peer
  std::uint64_t malformed = 0;
  std::uint64_t replaced = 0;  ///< on a connection whose peer has connected again since
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

/// Carries envelopes between processes over ZeroMQ. Delivery isn't certain; there is no order between peers.
/// The sender named in an envelope is checked against the peer's key when keys are on.
/// All members are called on the dispatcher's thread.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Queues the message; a peer that isn't connected or is unknown costs a count in dropped.
  virtual void send(const NodeName& to, const wire::Message& message) = 0;
  /// Replaces the peers: connects to new ones, closes those that are gone, takes changed keys without a stop.
  virtual void setPeers(std::vector<Peer> peers) = 0;
  /// Opens a new connection to a peer with an address in place of the one that stands: for a peer that
  /// answers nothing, since a connection may go silent without an end. Messages on their way may be lost.
  virtual void renew(const NodeName& peer) = 0;
  /// Takes new keys of this process's own, and ends the connections of keys that setPeers() withdrew: all
  /// sockets are closed and opened again at the same address. Messages on their way may be lost.
  virtual void setKeys(const KeyPair& own) = 0;
  /// "host:port" that peers connect to.
  virtual std::string boundAddress() const = 0;
  virtual TransportCounts counts() const = 0;
};

/// Throws Error AddressInUse.
std::unique_ptr<Transport> createZeroMqTransport(event::Dispatcher& dispatcher,
                                                 const TransportSettings& settings, ReceiveCallback receive);

}  // namespace ferryrock::transport
