#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/dispatcher.h"
#include "http/http.h"
#include "load/change_record.h"
#include "load/http_call.h"

namespace ferryrock::load {

/// How a stand-in operator reaches the cell.
struct OperatorAccess {
  std::vector<std::string> controls;  ///< base URLs of the members
  std::string token;                  ///< empty: none is sent
};

/// One wish of a stand-in operator, sent to the cell until the answer is definite or the time is over: goes
/// on to the leader that a member names, and to the next member after a failure.
class OperatorSession {
 public:
  /// A definite answer, or status 0.
  using DoneCallback = std::function<void(const CallAnswer&)>;
  /// Told of each try that reached a member or failed, but not of members that only name the leader.
  using TryCallback =
      std::function<void(const std::string& control, WallMilliseconds sent_ms, const CallAnswer& answer)>;

  /// Sends at once, first to the member with this index. on_done is called once and may destroy the session.
  OperatorSession(event::Dispatcher& dispatcher, http::Client& client, const OperatorAccess& access,
                  std::size_t first_member, std::string method, std::string path, std::string body,
                  DoneCallback on_done, TryCallback on_try = {});

 private:
  void send();
  void onAnswer(const CallAnswer& answer);
  void tryAgain();

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const OperatorAccess& access_;
  std::size_t member_;
  std::string method_;
  std::string path_;
  std::string body_;
  DoneCallback on_done_;
  TryCallback on_try_;
  std::string url_;
  WallMilliseconds sent_ms_ = 0;
  TimePoint give_up_at_;
  std::unique_ptr<event::Timer> retry_timer_;
  std::unique_ptr<HttpCall> call_;
};

}  // namespace ferryrock::load
