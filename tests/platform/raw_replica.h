#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "http/raw_peer.h"

namespace ferryrock::platform {

/// A replica over raw sockets, with a thread for each connection. Its script may answer a request twice, late
/// or not at all.
class RawReplica {
 public:
  struct Arrival {
    http::RawConnection& connection;
    std::string id;       ///< of the call
    int sending = 0;      ///< 1: the first arrival of this call
    std::string& unsent;  ///< bytes that the script wants to write before the connection's next answer
  };
  /// Called for each request. The connection ends when it returns false.
  using Script = std::function<bool(Arrival&)>;

  explicit RawReplica(Script script);
  ~RawReplica();
  RawReplica(const RawReplica&) = delete;
  RawReplica& operator=(const RawReplica&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  /// Number of requests of this call that the script was called for.
  int sendings(const std::string& id) const;

 private:
  void accept();
  void serve(int descriptor);

  Script script_;
  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;
  std::map<std::string, int> sendings_;
  std::list<int> open_;  ///< descriptors of the connections
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// Text of a response to the call with this id. headers: whole lines.
std::string responseText(int status, const std::string& id, const std::string& headers = "",
                         const std::string& body = "");

}  // namespace ferryrock::platform
