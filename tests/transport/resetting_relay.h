#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace ferryrock::transport {

/// Passes bytes between clients on loopback, one at a time, and a server; can reset the connection under way
/// on both sides, or leave it open without reading it any more. The next client is served as the one before.
class ResettingRelay {
 public:
  /// server: "127.0.0.1:port".
  explicit ResettingRelay(const std::string& server);
  ~ResettingRelay();
  ResettingRelay(const ResettingRelay&) = delete;
  ResettingRelay& operator=(const ResettingRelay&) = delete;

  /// "127.0.0.1:port" that clients connect to.
  std::string address() const;
  void reset() { reset_wanted_ = true; }
  /// The connection under way stays open and takes no more than what its buffers hold.
  void stall() { stall_wanted_ = true; }

 private:
  void serve();
  /// Passes bytes until either side ends, or a reset, a stall or the end is wanted.
  void pass(int client, int server);

  std::uint16_t server_port_ = 0;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> reset_wanted_{false};
  std::atomic<bool> stall_wanted_{false};
  std::vector<int> stalled_;  ///< of the serving thread, until the end
  std::atomic<bool> end_wanted_{false};
  std::thread thread_;
};

/// A loopback port whose queue of new connections is full: opening packets get no answer, as behind a cut.
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
  std::vector<int> waiting_;  ///< fill the queue
};

}  // namespace ferryrock::transport
