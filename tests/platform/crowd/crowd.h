#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace ferryrock::crowd {

struct Address {
  std::string host;
  std::uint16_t port = 0;

  std::string text() const { return host + ":" + std::to_string(port); }
};

/// What each client of a crowd sends: the head, then the piece some times, then the end. It stays afterwards.
struct Behaviour {
  std::string head;  ///< each '#' stands for the client's number
  std::string piece;
  std::size_t pieces = 0;
  std::string end;
  std::string drip;           ///< sent ten times a second from then on; empty: nothing
  bool reads_answers = true;  ///< false: answers stay in the connection
  int returns = 0;            ///< how often a client connects and begins again after the peer has closed
};

/// Clients that all behave alike, served by one thread. Those still open are closed on destruction.
class Crowd {
 public:
  Crowd(Address address, int clients, Behaviour behaviour);
  ~Crowd();

  /// Waits until each client has sent all that it can: the rest, if any, waits for the peer, or the peer has
  /// closed the connection.
  void waitUntilSent() const;
  /// The most bytes seen at one moment that the peer had received and not read.
  std::size_t mostUnreadBytes() const { return most_unread_; }

 private:
  struct Client {
    int descriptor = -1;
    std::string head;
    std::size_t position = 0;  ///< bytes sent
    int returns = 0;
  };

  void run();
  void connect(Client& client) const;
  /// Returns true if a byte was sent or the client has returned.
  bool advance(Client& client);
  bool sendNext(Client& client);
  void drip(const Client& client) const;
  /// Reads and discards what the peer has sent; returns false if it has closed the connection.
  bool readAll(const Client& client) const;
  std::size_t totalBytes(const Client& client) const;

  Address address_;
  Behaviour behaviour_;
  std::vector<Client> clients_;
  std::atomic<std::size_t> most_unread_ = 0;
  std::atomic<bool> sent_ = false;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace ferryrock::crowd
