#include "load/load_run.h"

#include <algorithm>
#include <utility>

namespace ferryrock::load {

namespace {

/// Wait before a broken call is made again.
constexpr Duration kRepeatDelay = std::chrono::milliseconds(100);
/// A call isn't made again with less time than that.
constexpr WallMilliseconds kLeastTimeLeftMs = 100;
/// Numbers of the calls that resend a key, apart from those of the first call and its repetitions.
constexpr std::uint32_t kFirstResentCall = 1000;

bool broken(const CallRecord& record) {
  return record.end == CallEnd::Cut || record.end == CallEnd::TimedOut;
}

}  // namespace

LoadRun::LoadRun(event::Dispatcher& dispatcher, http::Client& client, std::vector<std::string> routers,
                 std::vector<PlannedOperation> operations, RecordCallback on_record,
                 event::Callback on_finished)
    : dispatcher_(dispatcher),
      client_(client),
      routers_(std::move(routers)),
      operations_(std::move(operations)),
      on_record_(std::move(on_record)),
      on_finished_(std::move(on_finished)) {
  progress_.planned = operations_.size();
  send_timer_ = dispatcher_.createTimer([this] { sendDue(); });
}

void LoadRun::start() {
  started_ = dispatcher_.timeSource().monotonicTime();
  sendDue();
}

void LoadRun::stop() {
  operations_.resize(next_);
  send_timer_->disable();
  finishIfDone();
}

LoadProgress LoadRun::progress() const {
  LoadProgress progress = progress_;
  progress.in_flight = callers_.size();
  return progress;
}

void LoadRun::sendDue() {
  const Duration elapsed = dispatcher_.timeSource().monotonicTime() - started_;
  while (next_ < operations_.size() && operations_[next_].at <= elapsed) {
    begin(operations_[next_++]);
  }
  if (next_ < operations_.size()) {
    send_timer_->enable(operations_[next_].at - elapsed);
  } else {
    finishIfDone();
  }
}

void LoadRun::begin(const PlannedOperation& planned) {
  ++progress_.sent;
  Course course;
  course.planned = &planned;
  course.router = planned.router % static_cast<std::uint32_t>(routers_.size());
  course.deadline_ms = dispatcher_.timeSource().wallTime() + toMilliseconds(planned.timeout);
  call(course);
  if (planned.resend_after) {
    Course resent = course;
    resent.router = (course.router + 1) % static_cast<std::uint32_t>(routers_.size());
    resent.call = kFirstResentCall;
    later(*planned.resend_after, [this, resent] { call(resent); });
  }
}

void LoadRun::call(const Course& course) {
  if (dispatcher_.timeSource().wallTime() + kLeastTimeLeftMs > course.deadline_ms) {
    return;
  }
  const std::uint64_t number = next_number_++;
  callers_[number] = std::make_unique<Caller>(
      dispatcher_, client_, *course.planned, routers_[course.router], course.call, course.deadline_ms,
      [this, number, course](const CallRecord& record) { onRecord(number, course, record); });
}

void LoadRun::onRecord(std::uint64_t number, const Course& course, const CallRecord& record) {
  callers_.erase(number);
  count(record);
  on_record_(record);
  if (broken(record)) {
    Course again = course;
    again.router = (course.router + 1) % static_cast<std::uint32_t>(routers_.size());
    again.call = course.call + 1;
    later(kRepeatDelay, [this, again] { call(again); });
  }
  finishIfDone();
}

void LoadRun::count(const CallRecord& record) {
  if (broken(record)) {
    ++progress_.broken;
  } else if (record.end == CallEnd::Answered) {
    ++progress_.answered;
    progress_.refused += record.outcome == "ran" ? 0 : 1;
  }
}

void LoadRun::later(Duration delay, event::Callback callback) {
  const std::uint64_t number = next_number_++;
  delays_[number] = dispatcher_.createTimer([this, number, callback = std::move(callback)] {
    dispatcher_.post([this, number] {
      delays_.erase(number);
      finishIfDone();
    });
    callback();
  });
  delays_[number]->enable(delay);
}

void LoadRun::finishIfDone() {
  if (!finished_ && next_ == operations_.size() && callers_.empty() && delays_.empty()) {
    finished_ = true;
    on_finished_();
  }
}

}  // namespace ferryrock::load
