#pragma once

#include <cstddef>
#include <map>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::router {

/// How many requests of one name the router may have on engines at once. All routers together must not fill
/// the engines' queues so far that requests run out of time there, without order: what exceeds that has to
/// wait in the routers, which refuse in time and by priority. No router knows the others' share, so each
/// finds its own: a wait for the first chunk of more than a quarter of a request's time shrinks the window by
/// a factor, shorter waits let it grow. Used by one thread.
class ConcurrencyWindow {
 public:
  void onDispatched() { ++running_; }
  void onReleased() { running_ -= running_ > 0 ? 1 : 0; }
  /// A request sent to an engine got its first chunk after this wait, or failed without one. whole: its time
  /// from arrival to deadline; places: the name's replicas times their concurrency.
  void onFirstChunk(Duration wait, Duration whole, std::size_t places, TimePoint now);

  /// Requests that may run at once; places is the most that is ever useful.
  std::size_t limit(std::size_t places) const;
  bool full(std::size_t places) const { return running_ >= limit(places); }

 private:
  void shrink(Duration wait, std::size_t places, TimePoint now);

  std::size_t running_ = 0;
  bool limited_ = false;  ///< false: no long wait was seen yet, so that nothing limits it
  double size_ = 0;
  TimePoint shrunk_at_{};
};

/// The windows of all names that this router has run. Used by one thread.
class ConcurrencyWindows {
 public:
  ConcurrencyWindow& of(const ModelName& name) { return windows_[name]; }

 private:
  std::map<ModelName, ConcurrencyWindow> windows_;
};

}  // namespace ferryrock::router
