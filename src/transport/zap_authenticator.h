#pragma once

#include <map>
#include <memory>
#include <string>

#include "event/dispatcher.h"

namespace zmq {
class context_t;
class socket_t;
}  // namespace zmq

namespace ferryrock::transport {

/// Handles ZeroMQ's authentication requests (RFC 27/ZAP) of one context with an allow-list of public keys.
/// The node's name becomes the "User-Id" of each message of the connection. Used on the dispatcher's thread.
class ZapAuthenticator {
 public:
  /// Must be constructed before the first CURVE socket is bound.
  ZapAuthenticator(zmq::context_t& context, event::Dispatcher& dispatcher);
  ~ZapAuthenticator();

  /// Replaces the allow-list: Z85 public key to node name. Established connections aren't affected.
  void allow(std::map<std::string, std::string> node_by_key);
  std::uint64_t refused() const { return refused_; }

 private:
  void answerRequests();

  std::unique_ptr<zmq::socket_t> socket_;
  std::unique_ptr<event::FileWatch> watch_;
  std::map<std::string, std::string> node_by_key_;
  std::uint64_t refused_ = 0;
};

}  // namespace ferryrock::transport
