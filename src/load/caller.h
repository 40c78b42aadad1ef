#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/dispatcher.h"
#include "http/http.h"
#include "load/answer_reader.h"
#include "load/call_record.h"
#include "load/planned_operation.h"

namespace ferryrock::load {

/// One HTTP call of a caller, from sending to its record. Destroying it hangs up without a record.
class Caller {
 public:
  using DoneCallback = std::function<void(CallRecord)>;

  /// Sends at once. deadline is the operation's, on the wall clock. on_done is called once, from the loop,
  /// and may destroy the caller.
  Caller(event::Dispatcher& dispatcher, http::Client& client, const PlannedOperation& planned,
         const std::string& router, std::uint32_t call, WallMilliseconds deadline_ms, DoneCallback on_done);

 private:
  http::ClientRequest buildRequest(const PlannedOperation& planned) const;
  http::ClientCallbacks callbacks();
  void onHeaders(int status, const http::Headers& headers);
  void onData(std::string_view bytes);
  void onComplete();
  void onFailure(http::SendProgress progress, const std::string& reason);
  void end(CallEnd end);

  event::Dispatcher& dispatcher_;
  CallRecord record_;
  AnswerReader reader_;
  DoneCallback on_done_;
  bool done_ = false;
  std::unique_ptr<event::Timer> patience_timer_;
  std::unique_ptr<event::Timer> leave_timer_;
  std::unique_ptr<event::Timer> slow_timer_;
  std::unique_ptr<http::ClientCall> call_;
};

}  // namespace ferryrock::load
