#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "event/dispatcher.h"

namespace ferryrock::event {

/// Set of watched descriptors behind one epoll descriptor, which is registered with a reactor.
/// ACE_Dev_Poll_Reactor fetches and re-arms one event per system call; the set fetches events in batches.
/// Watches may be created, changed and destroyed within callbacks; pending events of a destroyed watch are
/// discarded. Used by one thread.
class DescriptorSet {
 public:
  using EventCallback = std::function<void(unsigned)>;

  /// Throws Error Internal.
  DescriptorSet();
  ~DescriptorSet();
  DescriptorSet(const DescriptorSet&) = delete;
  DescriptorSet& operator=(const DescriptorSet&) = delete;

  /// The epoll descriptor, which is readable while any watched descriptor is ready.
  int descriptor() const { return epoll_; }
  /// Throws Error Internal for a descriptor that can't be watched.
  std::unique_ptr<FileWatch> watch(int descriptor, unsigned events, EventCallback callback);
  /// Dispatches at most one batch of ready events without blocking.
  void dispatchReady();

 private:
  class Watch;

  int epoll_ = -1;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, Watch*> watches_;
};

}  // namespace ferryrock::event
