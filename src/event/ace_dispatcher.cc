#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <deque>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

#include "common/error.h"
#include "event/descriptor_set.h"
#include "event/dispatcher.h"
#include "event/early_signal.h"

namespace ferryrock::event {
namespace {

using MonotonicTimerQueue = ACE_Timer_Heap_Variable_Time_Source;

constexpr std::size_t kMaxTimers = 100'000;
constexpr std::size_t kMaxReactorHandles = 1024;

/// Clock of the timer queue: changes of the wall clock don't affect timers, and timers that expire while the
/// machine is suspended run when it resumes.
ACE_Time_Value monotonicNow() {
  timespec now{};
  ::clock_gettime(kMonotonicClock, &now);
  constexpr long kNanosecondsPerMicrosecond = 1000;
  return ACE_Time_Value(now.tv_sec, now.tv_nsec / kNanosecondsPerMicrosecond);
}

/// Rounds up, so that a timer never runs early.
ACE_Time_Value toAce(Duration delay) {
  const auto microseconds =
      std::chrono::ceil<std::chrono::microseconds>(std::max(delay, Duration::zero())).count();
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  return ACE_Time_Value(microseconds / kMicrosecondsPerSecond,
                        static_cast<suseconds_t>(microseconds % kMicrosecondsPerSecond));
}

class AceDispatcher;

/// One-shot timer in the reactor's queue. The queue stores the number of the expiry instead of the timer's
/// address, so an expiry that is delivered after the timer's destruction is ignored.
class AceTimer : public Timer {
 public:
  AceTimer(AceDispatcher& dispatcher, Callback callback)
      : dispatcher_(dispatcher), callback_(std::make_shared<Callback>(std::move(callback))) {}
  ~AceTimer() override { disable(); }
  void enable(Duration delay) override;
  void disable() override;
  void expire();

 private:
  AceDispatcher& dispatcher_;
  std::shared_ptr<Callback> callback_;
  std::uint64_t expiry_ = 0;  ///< number of the armed expiry; 0 if disarmed
  long queue_id_ = -1;
};

/// Forwards the reactor's upcalls to the dispatcher; the only registered handler.
class ReactorHandler : public ACE_Event_Handler {
 public:
  explicit ReactorHandler(AceDispatcher& dispatcher) : dispatcher_(dispatcher) {}
  int handle_input(ACE_HANDLE handle) override;
  int handle_timeout(const ACE_Time_Value& now, const void* expiry) override;
  int handle_exception(ACE_HANDLE handle) override;
  int handle_signal(int signal, siginfo_t* info, ucontext_t* context) override;

 private:
  AceDispatcher& dispatcher_;
};

/// Timer descriptor that becomes readable at a point in time of the monotonic clock. The reactor truncates
/// its own timeouts to whole milliseconds and would busy-poll during the last fraction of a millisecond.
class Alarm {
 public:
  Alarm() : descriptor_(::timerfd_create(kMonotonicClock, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (descriptor_ < 0) {
      throw Error(ResultCode::Internal, "timerfd_create failed");
    }
  }
  ~Alarm() { ::close(descriptor_); }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  int descriptor() const { return descriptor_; }

  /// Arms the descriptor unless it is already armed for an earlier instant: an early wake-up is cheaper than
  /// re-arming the timer.
  void wakeAt(const ACE_Time_Value& instant) {
    if (set_ && *set_ <= instant) {
      return;
    }
    set_ = instant;
    constexpr long kNanosecondsPerMicrosecond = 1000;
    itimerspec setting{};
    setting.it_value.tv_sec = instant.sec();
    setting.it_value.tv_nsec = instant.usec() * kNanosecondsPerMicrosecond;
    ::timerfd_settime(descriptor_, TFD_TIMER_ABSTIME, &setting, nullptr);
  }
  void acknowledge() {
    set_.reset();
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = ::read(descriptor_, &count, sizeof count);
  }

 private:
  int descriptor_;
  std::optional<ACE_Time_Value> set_;
};

/// Pending signals and the event descriptor that wakes the loop for them. Written by signal handlers.
class SignalInbox {
 public:
  SignalInbox() : descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (descriptor_ < 0) {
      throw Error(ResultCode::Internal, "eventfd failed");
    }
  }
  ~SignalInbox() { ::close(descriptor_); }
  SignalInbox(const SignalInbox&) = delete;
  SignalInbox& operator=(const SignalInbox&) = delete;

  int descriptor() const { return descriptor_; }

  /// Async-signal-safe.
  void put(int signal) {
    const int saved_errno = errno;
    arrived_[static_cast<std::size_t>(signal)] = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(descriptor_, &one, sizeof one);
    errno = saved_errno;
  }
  void acknowledge() {
    std::uint64_t count = 0;
    [[maybe_unused]] const ssize_t taken = ::read(descriptor_, &count, sizeof count);
  }
  bool take(int signal) { return arrived_[static_cast<std::size_t>(signal)].exchange(false); }

 private:
  int descriptor_;
  std::array<std::atomic<bool>, NSIG> arrived_{};
};

/// Saves the process's limit of open files before the reactor is opened and restores it afterwards: ACE
/// lowers the limit to the reactor's size, although all descriptors but two are watched outside the reactor.
class OpenFileLimit {
 public:
  OpenFileLimit() { known_ = ::getrlimit(RLIMIT_NOFILE, &limit_) == 0; }
  void restore() const {
    if (known_ && ::setrlimit(RLIMIT_NOFILE, &limit_) != 0) {
      throw Error(ResultCode::Internal, "the limit of open files (RLIMIT_NOFILE) can't be restored");
    }
  }

 private:
  rlimit limit_{};
  bool known_ = false;
};

class AceDispatcher : public Dispatcher {
 public:
  AceDispatcher()
      : timer_queue_(kMaxTimers, false, nullptr, nullptr, ACE_FPointer_Time_Policy(&monotonicNow)),
        handler_(*this),
        poll_reactor_(kMaxReactorHandles, true),
        reactor_(&poll_reactor_) {
    std::signal(SIGPIPE, SIG_IGN);
    open_file_limit_.restore();
    if (poll_reactor_.initialized() == 0 ||
        reactor_.register_handler(descriptors_.descriptor(), &handler_, ACE_Event_Handler::READ_MASK) != 0) {
      throw Error(ResultCode::Internal, "the ACE reactor can't be opened");
    }
    signal_watch_ = watchFile(signals_.descriptor(), kReadable, [this](unsigned) { deliverSignals(); });
    alarm_watch_ = watchFile(alarm_.descriptor(), kReadable, [this](unsigned) { expireTimers(); });
  }

  ~AceDispatcher() override {
    for (const auto& [signal, callback] : signal_callbacks_) {
      reactor_.remove_handler(signal, static_cast<ACE_Sig_Action*>(nullptr));
    }
    reactor_.remove_handler(descriptors_.descriptor(),
                            ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
  }

  TimeSource& timeSource() override { return time_source_; }

  std::unique_ptr<Timer> createTimer(Callback callback) override {
    return std::make_unique<AceTimer>(*this, std::move(callback));
  }

  std::unique_ptr<FileWatch> watchFile(int descriptor, unsigned events,
                                       std::function<void(unsigned)> callback) override {
    return descriptors_.watch(descriptor, events, std::move(callback));
  }

  void post(Callback callback) override {
    bool first = false;
    {
      const std::scoped_lock lock(posted_mutex_);
      first = posted_.empty();
      posted_.push_back(std::move(callback));
    }
    if (first) {
      wake();
    }
  }

  void onSignal(int signal, Callback callback) override {
    const bool known = signal_callbacks_.contains(signal);
    signal_callbacks_[signal] = std::move(callback);
    if (!known && reactor_.register_handler(signal, &handler_) != 0) {
      throw Error(ResultCode::Internal, "signal " + std::to_string(signal) + " can't be handled");
    }
    if (takeEarlySignal(signal)) {
      post(signal_callbacks_[signal]);
    }
  }

  void run() override {
    loop_thread_ = std::this_thread::get_id();
    while (!exit_requested_.exchange(false)) {
      runPosted();
      if (!exit_requested_) {
        handleReactorEvents();
      }
      if (fault_) {
        std::rethrow_exception(std::exchange(fault_, nullptr));
      }
    }
    loop_thread_ = std::thread::id();
  }

  void exit() override {
    exit_requested_ = true;
    wake();
  }

  /// Runs a callback within an upcall of the reactor. Exceptions must not propagate into the reactor; run()
  /// rethrows them.
  template <class Function>
  void guarded(Function function) {
    try {
      function();
    } catch (...) {
      fault_ = std::current_exception();
    }
  }

  ACE_Reactor& reactor() { return reactor_; }
  ReactorHandler& handler() { return handler_; }
  DescriptorSet& descriptors() { return descriptors_; }
  SignalInbox& signals() { return signals_; }

  /// Number of an expiry and the timer queue's identifier of it.
  struct Expiry {
    std::uint64_t number = 0;
    long queue_id = -1;
  };

  Expiry schedule(AceTimer& timer, Duration delay) {
    const std::uint64_t number = next_expiry_++;
    const ACE_Time_Value due = monotonicNow() + toAce(delay);
    // ACE stores the number as the handler's pointer argument; it is never dereferenced.
    // NOLINTNEXTLINE(performance-no-int-to-ptr)
    const long queue_id = timer_queue_.schedule(&handler_, reinterpret_cast<const void*>(number), due);
    if (queue_id < 0) {
      throw Error(ResultCode::Internal, "the timer queue is full");
    }
    armed_.emplace(number, &timer);
    alarm_.wakeAt(timer_queue_.earliest_time());
    return Expiry{number, queue_id};
  }
  void cancel(const Expiry& expiry) {
    armed_.erase(expiry.number);
    timer_queue_.cancel(expiry.queue_id);
  }
  void releaseExpiry(std::uint64_t expiry) { armed_.erase(expiry); }
  void expire(std::uint64_t expiry) {
    const auto found = armed_.find(expiry);
    if (found != armed_.end()) {
      found->second->expire();
    }
  }

 private:
  /// The loop checks for posted callbacks before it waits, so calls on its own thread need no wake-up.
  void wake() {
    if (std::this_thread::get_id() != loop_thread_.load()) {
      reactor_.notify(&handler_, ACE_Event_Handler::EXCEPT_MASK);
    }
  }

  /// Runs the callbacks posted so far. Callbacks that they post run in the next iteration of the loop, so
  /// that I/O isn't starved.
  void runPosted() {
    std::deque<Callback> batch;
    {
      const std::scoped_lock lock(posted_mutex_);
      batch.swap(posted_);
    }
    for (const Callback& callback : batch) {
      callback();
    }
  }

  bool anyPosted() {
    const std::scoped_lock lock(posted_mutex_);
    return !posted_.empty();
  }

  /// Waits for one event of the reactor; polls without waiting while posted callbacks are pending.
  void handleReactorEvents() {
    ACE_Time_Value no_wait = ACE_Time_Value::zero;
    const int handled = anyPosted() ? reactor_.handle_events(no_wait) : reactor_.handle_events();
    if (handled < 0 && errno != EINTR) {
      throw Error(ResultCode::Internal, "the ACE reactor failed");
    }
  }

  void expireTimers() {
    alarm_.acknowledge();
    timer_queue_.expire();
    if (!timer_queue_.is_empty()) {
      alarm_.wakeAt(timer_queue_.earliest_time());
    }
  }

  void deliverSignals() {
    signals_.acknowledge();
    const std::map<int, Callback> callbacks = signal_callbacks_;
    for (const auto& [signal, callback] : callbacks) {
      if (signals_.take(signal)) {
        callback();
      }
    }
  }

  SystemTimeSource time_source_;
  OpenFileLimit open_file_limit_;  ///< saved before the reactor is opened
  MonotonicTimerQueue timer_queue_;
  ReactorHandler handler_;  ///< outlives the reactor, which releases pending notifications when it closes
  ACE_Dev_Poll_Reactor poll_reactor_;
  ACE_Reactor reactor_;
  DescriptorSet descriptors_;
  SignalInbox signals_;
  std::unique_ptr<FileWatch> signal_watch_;
  std::map<int, Callback> signal_callbacks_;

  Alarm alarm_;
  std::unique_ptr<FileWatch> alarm_watch_;
  std::uint64_t next_expiry_ = 1;
  std::unordered_map<std::uint64_t, AceTimer*> armed_;

  std::mutex posted_mutex_;
  std::deque<Callback> posted_;
  std::atomic<bool> exit_requested_ = false;
  std::atomic<std::thread::id> loop_thread_;
  std::exception_ptr fault_;
};

void AceTimer::enable(Duration delay) {
  disable();
  const AceDispatcher::Expiry expiry = dispatcher_.schedule(*this, delay);
  expiry_ = expiry.number;
  queue_id_ = expiry.queue_id;
}

void AceTimer::disable() {
  if (expiry_ != 0) {
    dispatcher_.cancel({std::exchange(expiry_, 0), queue_id_});
  }
}

void AceTimer::expire() {
  dispatcher_.releaseExpiry(std::exchange(expiry_, 0));
  const std::shared_ptr<Callback> callback = callback_;  // keeps the callback valid if it destroys the timer
  (*callback)();
}

int ReactorHandler::handle_input(ACE_HANDLE /*handle*/) {
  dispatcher_.guarded([this] { dispatcher_.descriptors().dispatchReady(); });
  return 0;
}

int ReactorHandler::handle_timeout(const ACE_Time_Value& /*now*/, const void* expiry) {
  dispatcher_.guarded([&] { dispatcher_.expire(reinterpret_cast<std::uint64_t>(expiry)); });
  return 0;
}

int ReactorHandler::handle_exception(ACE_HANDLE /*handle*/) {
  return 0;
}

int ReactorHandler::handle_signal(int signal, siginfo_t* /*info*/, ucontext_t* /*context*/) {
  dispatcher_.signals().put(signal);
  return 0;
}

}  // namespace

std::unique_ptr<Dispatcher> createAceDispatcher() {
  return std::make_unique<AceDispatcher>();
}

}  // namespace ferryrock::event
