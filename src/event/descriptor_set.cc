#include "event/descriptor_set.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

#include "common/error.h"

namespace ferryrock::event {
namespace {

constexpr int kBatch = 64;

std::uint32_t toEpoll(unsigned events) {
  std::uint32_t bits = 0;
  if ((events & kReadable) != 0) {
    bits |= EPOLLIN;
  }
  if ((events & kWritable) != 0) {
    bits |= EPOLLOUT;
  }
  if ((events & kPeerClosed) != 0) {
    bits |= EPOLLRDHUP;
  }
  return bits;
}

unsigned fromEpoll(std::uint32_t bits, unsigned interest) {
  if ((bits & (EPOLLERR | EPOLLHUP)) != 0) {
    return interest;
  }
  unsigned events = 0;
  if ((bits & EPOLLIN) != 0) {
    events |= kReadable;
  }
  if ((bits & EPOLLOUT) != 0) {
    events |= kWritable;
  }
  if ((bits & EPOLLRDHUP) != 0) {
    events |= kPeerClosed;
  }
  return events & interest;
}

[[noreturn]] void throwSystemError(const std::string& what) {
  throw Error(ResultCode::Internal, what + ": " + std::strerror(errno));
}

}  // namespace

class DescriptorSet::Watch : public FileWatch {
 public:
  Watch(DescriptorSet& set, std::uint64_t id, int descriptor, unsigned events, EventCallback callback)
      : set_(set),
        id_(id),
        descriptor_(descriptor),
        callback_(std::make_shared<EventCallback>(std::move(callback))) {
    setEvents(events);
    set_.watches_.emplace(id_, this);
  }

  ~Watch() override {
    set_.watches_.erase(id_);
    if (events_ != 0) {
      ::epoll_ctl(set_.epoll_, EPOLL_CTL_DEL, descriptor_, nullptr);
    }
  }

  /// A descriptor without events of interest is removed from the epoll set, because epoll would keep
  /// reporting its errors.
  void setEvents(unsigned events) override {
    if (events == events_) {
      return;
    }
    epoll_event request{};
    request.events = toEpoll(events);
    request.data.u64 = id_;
    const int operation = events_ == 0 ? EPOLL_CTL_ADD : (events == 0 ? EPOLL_CTL_DEL : EPOLL_CTL_MOD);
    if (::epoll_ctl(set_.epoll_, operation, descriptor_, &request) != 0) {
      throwSystemError("epoll_ctl");
    }
    events_ = events;
  }

  void notify(std::uint32_t bits) {
    const unsigned ready = fromEpoll(bits, events_);
    if (ready == 0) {
      return;
    }
    const std::shared_ptr<EventCallback> callback =
        callback_;  // keeps the callback valid if it destroys the watch
    (*callback)(ready);
  }

 private:
  DescriptorSet& set_;
  std::uint64_t id_;
  int descriptor_;
  unsigned events_ = 0;
  std::shared_ptr<EventCallback> callback_;
};

DescriptorSet::DescriptorSet() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) {
    throwSystemError("epoll_create1");
  }
}

DescriptorSet::~DescriptorSet() {
  ::close(epoll_);
}

std::unique_ptr<FileWatch> DescriptorSet::watch(int descriptor, unsigned events, EventCallback callback) {
  return std::make_unique<Watch>(*this, next_id_++, descriptor, events, std::move(callback));
}

void DescriptorSet::dispatchReady() {
  std::array<epoll_event, kBatch> ready{};
  const int count = ::epoll_wait(epoll_, ready.data(), kBatch, 0);
  for (int i = 0; i < count; ++i) {
    const auto found = watches_.find(ready[i].data.u64);
    if (found != watches_.end()) {
      found->second->notify(ready[i].events);
    }
  }
}

}  // namespace ferryrock::event
