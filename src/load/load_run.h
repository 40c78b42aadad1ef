#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/time.h"
#include "event/dispatcher.h"
#include "http/http.h"
#include "load/call_record.h"
#include "load/caller.h"
#include "load/planned_operation.h"

namespace ferryrock::load {

/// Counts of a run so far, for progress lines.
struct LoadProgress {
  std::uint64_t planned = 0;
  std::uint64_t sent = 0;       ///< operations
  std::uint64_t in_flight = 0;  ///< calls
  std::uint64_t answered = 0;   ///< calls with a final answer
  std::uint64_t refused = 0;    ///< of these, other than "ran"
  std::uint64_t broken = 0;     ///< calls without a final answer
};

/// Sends the operations of a trace at their times, whatever the answers do (open loop). A call whose
/// connection breaks is made again at the next router while the operation's deadline allows.
class LoadRun {
 public:
  using RecordCallback = std::function<void(const CallRecord&)>;

  LoadRun(event::Dispatcher& dispatcher, http::Client& client, std::vector<std::string> routers,
          std::vector<PlannedOperation> operations, RecordCallback on_record, event::Callback on_finished);

  void start();
  /// Sends nothing new; what is in flight ends as it would.
  void stop();
  LoadProgress progress() const;

 private:
  /// One operation in its course. Copied into the callbacks of its calls.
  struct Course {
    const PlannedOperation* planned = nullptr;
    std::uint32_t router = 0;
    std::uint32_t call = 0;
    WallMilliseconds deadline_ms = 0;
  };

  void sendDue();
  void begin(const PlannedOperation& planned);
  void call(const Course& course);
  void onRecord(std::uint64_t number, const Course& course, const CallRecord& record);
  void count(const CallRecord& record);
  void later(Duration delay, event::Callback callback);
  void finishIfDone();

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  std::vector<std::string> routers_;
  std::vector<PlannedOperation> operations_;
  RecordCallback on_record_;
  event::Callback on_finished_;
  LoadProgress progress_;
  TimePoint started_;
  std::size_t next_ = 0;
  bool finished_ = false;
  std::unique_ptr<event::Timer> send_timer_;
  std::uint64_t next_number_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::map<std::uint64_t, std::unique_ptr<event::Timer>> delays_;
};

}  // namespace ferryrock::load
