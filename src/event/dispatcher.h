#pragma once

#include <functional>
#include <memory>

#include "common/time.h"

namespace ferryrock::event {

using Callback = std::function<void()>;

/// Interest in, or readiness of, a file descriptor; values combine as bits.
/// kPeerClosed means that the peer of a stream socket has closed its sending side or the connection; it is
/// reported even while unread data is pending. A descriptor error is reported as all events of interest.
enum FileEvents : unsigned { kReadable = 1, kWritable = 2, kPeerClosed = 4 };

/// One-shot timer. Destroying it disarms it. Used only on its dispatcher's thread.
class Timer {
 public:
  virtual ~Timer() = default;
  /// Arms or re-arms the timer; the callback runs once after the delay.
  virtual void enable(Duration delay) = 0;
  virtual void disable() = 0;
};

/// Registration of a descriptor. Destroying it ends the watch; the descriptor stays open, and its owner keeps
/// it.
class FileWatch {
 public:
  virtual ~FileWatch() = default;
  /// Replaces the events of interest (bits of FileEvents).
  virtual void setEvents(unsigned events) = 0;
};

/// Event loop of one thread. All members except post() and exit() must be called on that thread.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  virtual TimeSource& timeSource() = 0;
  virtual std::unique_ptr<Timer> createTimer(Callback callback) = 0;
  /// Watches a descriptor, level-triggered; the callback receives the ready events.
  virtual std::unique_ptr<FileWatch> watchFile(int descriptor, unsigned events,
                                               std::function<void(unsigned)> callback) = 0;
  /// Runs the callback on the loop's thread, after the current one; callable from any thread.
  virtual void post(Callback callback) = 0;
  /// Sets the callback that runs on the loop's thread when the signal arrives.
  virtual void onSignal(int signal, Callback callback) = 0;
  /// Runs until exit() is called.
  virtual void run() = 0;
  /// Ends run(); callable from any thread.
  virtual void exit() = 0;
};

/// Creates a dispatcher based on ACE_Dev_Poll_Reactor. SIGPIPE is ignored process-wide. A signal is delivered
/// to one dispatcher only, the last that registered for it. An exception thrown by a callback propagates out
/// of run(). Throws Error Internal.
std::unique_ptr<Dispatcher> createAceDispatcher();

}  // namespace ferryrock::event
