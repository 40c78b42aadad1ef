#include "load/operator_session.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace ferryrock::load {

namespace {

constexpr int kStatusNotLeader = 421;
constexpr int kFirstServerError = 500;
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kPatience = std::chrono::seconds(30);

/// Address of the leader that a member named; empty if it named none.
std::string namedLeader(const CallAnswer& answer) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return answer.status == kStatusNotLeader && body.is_object() ? body.value("leader_url", "") : "";
}

bool definite(const CallAnswer& answer) {
  return answer.status != 0 && answer.status != kStatusNotLeader && answer.status < kFirstServerError;
}

}  // namespace

OperatorSession::OperatorSession(event::Dispatcher& dispatcher, http::Client& client,
                                 const OperatorAccess& access, std::size_t first_member, std::string method,
                                 std::string path, std::string body, DoneCallback on_done, TryCallback on_try)
    : dispatcher_(dispatcher),
      client_(client),
      access_(access),
      member_(first_member % access.controls.size()),
      method_(std::move(method)),
      path_(std::move(path)),
      body_(std::move(body)),
      on_done_(std::move(on_done)),
      on_try_(std::move(on_try)),
      url_(access.controls[member_]),
      give_up_at_(dispatcher.timeSource().monotonicTime() + kPatience),
      retry_timer_(dispatcher.createTimer([this] { send(); })) {
  send();
}

void OperatorSession::send() {
  http::ClientRequest request;
  request.method = method_;
  request.url = url_ + path_;
  request.headers = {{"Content-Type", "application/json"}};
  if (!access_.token.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + access_.token});
  }
  request.body = body_;
  request.total_timeout = kCallTimeout;
  sent_ms_ = dispatcher_.timeSource().wallTime();
  call_ = std::make_unique<HttpCall>(client_, std::move(request),
                                     [this](const CallAnswer& answer) { onAnswer(answer); });
}

void OperatorSession::onAnswer(const CallAnswer& answer) {
  const std::string leader = namedLeader(answer);
  if (!leader.empty() && leader != url_) {
    url_ = leader;
    retry_timer_->enable(Duration::zero());
    return;
  }
  if (on_try_ && answer.status != kStatusNotLeader) {
    on_try_(url_, sent_ms_, answer);
  }
  const bool over = dispatcher_.timeSource().monotonicTime() >= give_up_at_;
  if (!definite(answer) && !over) {
    tryAgain();
    return;
  }
  const DoneCallback on_done = std::move(on_done_);
  on_done(definite(answer) ? answer : CallAnswer{});
}

void OperatorSession::tryAgain() {
  member_ = (member_ + 1) % access_.controls.size();
  url_ = access_.controls[member_];
  retry_timer_->enable(kRetryDelay);
}

}  // namespace ferryrock::load
