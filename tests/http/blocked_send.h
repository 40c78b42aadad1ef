#pragma once

#include <string>

namespace ferryrock::http {

/// While it exists, the process's first send(2) of bytes that contain the text finds no room in its socket,
/// as on a machine that is short of memory for sockets. The sends that follow are the kernel's.
class BlockedSend {
 public:
  explicit BlockedSend(const std::string& text);
  ~BlockedSend();
  BlockedSend(const BlockedSend&) = delete;
  BlockedSend& operator=(const BlockedSend&) = delete;
  /// True if a send was blocked.
  static bool happened();
};

}  // namespace ferryrock::http
