#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ferryrock::transport {

/// TCP relay between a server and clients on loopback, one client at a time. It can reset the current
/// connection on both sides, or stall it: keep it open without reading from it. Either way the next client is
/// served.
class ResettingRelay {
 public:
  /// server: "127.0.0.1:port".
  explicit ResettingRelay(const std::string& server);
  ~ResettingRelay();
  ResettingRelay(const ResettingRelay&) = delete;
  ResettingRelay& operator=(const ResettingRelay&) = delete;

  /// "127.0.0.1:port" that clients connect to.
  std::string address() const;
  void reset() { reset_requested_ = true; }
  /// Stalls the current connection: it stays open, but only the kernel's buffers accept further data.
  void stall() { stall_requested_ = true; }

 private:
  void serve();
  /// Forwards bytes until either side closes, or a reset, a stall or the relay's stop is requested.
  void forwardUntilStopped(int client, int server);

  std::uint16_t server_port_ = 0;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> reset_requested_{false};
  std::atomic<bool> stall_requested_{false};
  std::vector<int>
      stalled_;  ///< descriptors of stalled connections; used by the serving thread until it is joined
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

/// Loopback port with a full accept queue: SYN packets aren't answered, as in a network partition.
class FullListener {
 public:
  FullListener();
  ~FullListener();
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  /// "127.0.0.1:port".
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::vector<int> waiting_;  ///< connections that fill the accept queue
};

}  // namespace ferryrock::transport
