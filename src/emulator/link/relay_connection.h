#pragma once

#include <functional>
#include <memory>
#include <string>

#include "emulator/link/connection_owners.h"
#include "emulator/link/link_cuts.h"
#include "emulator/link/relay_buffer.h"
#include "event/dispatcher.h"

namespace ferryrock::emulator {

/// A non-blocking socket, closed with its owner.
class RelaySocket {
 public:
  explicit RelaySocket(int descriptor) : descriptor_(descriptor) {}
  ~RelaySocket();
  RelaySocket(const RelaySocket&) = delete;
  RelaySocket& operator=(const RelaySocket&) = delete;
  int descriptor() const { return descriptor_; }
  /// The peer sees a reset in place of an orderly end.
  void resetOnClose() const;

 private:
  int descriptor_;
};

/// How a connection ended, for the route that it belongs to.
enum class RelayEnd { Closed, TargetRefused };

/// One connection through the relay: from a caller to a process. Bytes pass both ways unless a cut stalls
/// them; a connection that is accepted during a cut is opened towards its target once the cut is healed. Ends
/// and resets pass as bytes do. Used on its dispatcher's thread.
class RelayConnection {
 public:
  using EndCallback = std::function<void(RelayEnd)>;

  /// caller: an accepted socket, owned from here on.
  RelayConnection(event::Dispatcher& dispatcher, const LinkCuts& cuts, int caller,
                  const SocketAddress& target, ProcessName target_name);

  /// Called once, from the loop; may destroy the connection.
  void onEnd(EndCallback callback) { on_end_ = std::move(callback); }
  /// Who holds the calling side. Known only while a cut makes it matter.
  void findCaller(const ConnectionOwners& owners, const SocketAddress& listen);
  /// Bytes from the target with this text pass a second time after the delay.
  void repeat(std::string text, Duration delay);
  /// Applies the cuts that are in force now.
  void update();

 private:
  /// One way through the connection.
  struct Way {
    RelayBuffer buffer;
    bool ended = false;      ///< the sender has closed its side
    bool forwarded = false;  ///< and the receiver has been told
  };
  enum class Phase { Waiting, Connecting, Open, Broken, Ended };

  bool separated() const { return cuts_.separates(caller_name_, target_name_); }
  bool toTargetStalled() const { return cuts_.stalls(caller_name_, target_name_); }
  bool toCallerStalled() const { return cuts_.stalls(target_name_, caller_name_); }
  void openTarget();
  void connected();
  void onReady();
  /// False if a side is broken.
  bool move(Way& way, const RelaySocket& from, const RelaySocket& to, bool stalled);
  /// Keeps the bytes to the caller that pass a second time.
  void noteRepeated();
  void sendRepeated();
  void breakOff();
  void watch();
  void scheduleEnd(RelayEnd how);

  event::Dispatcher& dispatcher_;
  const LinkCuts& cuts_;
  const SocketAddress target_;
  const ProcessName target_name_;
  ProcessName caller_name_;
  bool caller_known_ = false;
  EndCallback on_end_;
  RelayEnd how_ = RelayEnd::Closed;
  Phase phase_ = Phase::Waiting;
  RelaySocket caller_socket_;
  std::unique_ptr<RelaySocket> target_socket_;
  Way to_target_;
  Way to_caller_;
  std::unique_ptr<event::FileWatch> caller_watch_;
  std::unique_ptr<event::FileWatch> target_watch_;
  std::unique_ptr<event::Timer> end_timer_;
  std::string repeated_text_;  ///< empty: nothing passes twice
  Duration repeat_delay_{};
  std::string repeated_;  ///< bytes that pass a second time when the timer expires
  std::unique_ptr<event::Timer> repeat_timer_;
};

}  // namespace ferryrock::emulator
