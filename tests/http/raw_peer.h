#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace ferryrock::http {

/// Blocking TCP connection for scripted peers; closed on destruction. Reads and writes time out after some
/// seconds.
class RawConnection {
 public:
  explicit RawConnection(int descriptor);
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept;
  RawConnection& operator=(RawConnection&&) = delete;

  /// Connects to a port of the loopback address.
  static RawConnection connect(std::uint16_t port, int receive_buffer_bytes = 0);

  void write(std::string_view bytes);
  /// Writes the piece again and again until the peer closes the connection or `limit` bytes are written.
  /// Returns the number of bytes.
  std::size_t writeUntilClosed(std::string_view piece, std::size_t limit);
  /// Reads until the text is received and returns all bytes read. Stops early at the end of the connection.
  std::string readUntil(std::string_view text);
  /// Reads one request: the headers and a body of the announced length. Returns an empty string at the end of
  /// the connection.
  std::string readRequest();
  /// Reads the available bytes without blocking. If there are none, ended() tells whether the connection has
  /// ended.
  std::string readAvailable();
  bool ended() const { return ended_; }
  bool wasReset() const { return reset_; }
  /// Sends a FIN; the connection can still be read.
  void closeSending();
  void close();
  /// Closes with a RST.
  void reset();

 private:
  bool readMore(std::string& into, int flags);

  int descriptor_;
  std::string unread_;
  bool ended_ = false;
  bool reset_ = false;
};

/// Runs a script for one connection after the other on its own thread, until destroyed.
class ScriptedServer {
 public:
  using Script = std::function<void(RawConnection&, int connection_number)>;
  explicit ScriptedServer(Script script);
  ~ScriptedServer();

  std::uint16_t port() const { return port_; }
  int connections() const { return connections_; }

 private:
  void serve();

  Script script_;
  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace ferryrock::http
