#include "control_process/operator_api.h"

#include <charconv>
#include <optional>
#include <vector>

#include "common/error.h"
#include "common/logging.h"
#include "control_process/operator_json.h"

namespace ferryrock::control_process {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr Duration kTimeLimitCheck = std::chrono::milliseconds(250);

const Logger& logger() {
  static const Logger instance("control");
  return instance;
}

std::optional<std::string> queryValue(const http::Request& request, const std::string& name) {
  for (const http::Header& parameter : request.query) {
    if (parameter.name == name) {
      return parameter.value;
    }
  }
  return std::nullopt;
}

std::string requiredQuery(const http::Request& request, const std::string& name) {
  const auto value = queryValue(request, name);
  if (!value || value->empty()) {
    throw Error(ResultCode::InvalidField, "the query parameter '" + name + "' is missing");
  }
  return *value;
}

std::uint64_t parseNumber(const std::string& text, const std::string& name) {
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || end != text.data() + text.size()) {
    throw Error(ResultCode::InvalidField, "'" + name + "' must be a whole number");
  }
  return number;
}

std::string plainResult(const wire::CommandResult& result) {
  return result.code == ResultCode::Ok ? std::string("{}") : errorJson(result.code, result.detail);
}

bool isApiPath(const std::string& path) {
  return path.starts_with("/api/");
}

}  // namespace

OperatorApi::OperatorApi(event::Dispatcher& dispatcher, control::ControlNode& node, NodeName self,
                         AccessControl access, Duration time_limit, EffectsCallback carry_out,
                         MetricsCallback metrics)
    : dispatcher_(dispatcher),
      node_(node),
      self_(std::move(self)),
      access_(std::move(access)),
      time_limit_(time_limit),
      carry_out_(std::move(carry_out)),
      metrics_(std::move(metrics)),
      timer_(dispatcher.createTimer([this] { giveUpOld(); })) {}

void OperatorApi::handle(const http::Request& request, const http::ResponseWriterPtr& response) {
  try {
    route(request, response);
  } catch (const Error& fault) {
    answerError(response, fault.code(), fault.detail(), fault.place());
  }
}

void OperatorApi::route(const http::Request& request, const http::ResponseWriterPtr& response) {
  if (request.path == "/healthz") {
    response->respond(kStatusOk, {{"Content-Type", "text/plain"}}, "ok\n");
  } else if (request.path == "/readyz") {
    const bool ready = !node_.log().leader().empty();
    response->respond(ready ? kStatusOk : kStatusUnavailable, {{"Content-Type", "text/plain"}},
                      ready ? "ready\n" : "the cell has no leader\n");
  } else if (request.path == "/metrics") {
    response->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_());
  } else if (!isApiPath(request.path)) {
    throw Error(ResultCode::UnknownPath, "there is nothing at " + request.path);
  } else if (request.method == "GET") {
    access_.check(request, OperatorRole::ReadOnly);
    routeRead(request, response);
  } else if (request.method == "POST") {
    access_.check(request, OperatorRole::Changing);
    routeChange(request, response);
  } else {
    throw Error(ResultCode::MethodNotAllowed, request.path + " takes GET or POST");
  }
}

void OperatorApi::routeRead(const http::Request& request, const http::ResponseWriterPtr& response) {
  // What each member may answer by itself is confirmed by a quorum on request.
  const bool confirm = queryValue(request, "confirmed") == "true";
  if (request.path == "/api/tree") {
    read(response, [this, request](bool) { return treeBody(request); });
  } else if (request.path == "/api/tree/resolved") {
    const std::string name = requiredQuery(request, "node");
    read(response, [this, name](bool) {
      return resolvedJson(node_.catalog().tree(), node_.catalog().version(), name);
    });
  } else if (request.path == "/api/history") {
    read(response, [this](bool) { return historyJson(node_.catalog()); });
  } else if (request.path == "/api/explain") {
    const ModelName model(requiredQuery(request, "model"));
    read(response, [this, model](bool) {
      return explanationJson(node_.explain(model, dispatcher_.timeSource().monotonicTime()));
    });
  } else if (request.path == "/api/members") {
    read(
        response, [this](bool confirmed) { return membersJson(node_.log(), confirmed); }, confirm);
  } else if (request.path == "/api/status") {
    const auto body = [this](bool confirmed) {
      return statusJson(node_, self_, confirmed, dispatcher_.timeSource().monotonicTime());
    };
    read(response, body, confirm);
  } else {
    throw Error(ResultCode::UnknownPath, "there is nothing at " + request.path);
  }
}

std::string OperatorApi::treeBody(const http::Request& request) const {
  const auto version = queryValue(request, "version");
  if (!version) {
    return treeJson(node_.catalog().tree(), node_.catalog().version());
  }
  const TreeVersion wanted(parseNumber(*version, "version"));
  return treeJson(node_.catalog().treeAt(wanted), wanted);
}

void OperatorApi::routeChange(const http::Request& request, const http::ResponseWriterPtr& response) {
  if (request.path == "/api/changes") {
    wire::ChangeTreeCommand change = parseChange(request.body);
    logger().info("Change " + change.change_id.value + " of " + change.author + " was received.");
    propose(response, std::move(change), changeResultJson);
  } else if (request.path == "/api/drain") {
    propose(response, parseDrain(request.body), plainResult);
  } else if (request.path == "/api/members") {
    changeMembership(response, parseMembershipChange(request.body));
  } else {
    throw Error(ResultCode::UnknownPath, "there is nothing to change at " + request.path);
  }
}

void OperatorApi::read(const http::ResponseWriterPtr& response, ReadToBody body, bool needs_confirmation) {
  const std::uint64_t id = next_id_++;
  const TimePoint now = dispatcher_.timeSource().monotonicTime();
  reads_.emplace(id, PendingRead{response, std::move(body), needs_confirmation});
  time_limits_.insert({now + time_limit_, id});
  timer_->enable(kTimeLimitCheck);
  carry_out_(node_.confirmRead(id, now));
}

void OperatorApi::propose(const http::ResponseWriterPtr& response, wire::Command command, ResultToBody body) {
  const std::uint64_t id = remember(response, std::move(body));
  carry_out_(node_.propose(id, std::move(command), dispatcher_.timeSource().monotonicTime()));
}

void OperatorApi::changeMembership(const http::ResponseWriterPtr& response,
                                   const control::MembershipChange& change) {
  const std::uint64_t id = remember(response, plainResult);
  carry_out_(node_.changeMembership(id, change, dispatcher_.timeSource().monotonicTime()));
}

std::uint64_t OperatorApi::remember(const http::ResponseWriterPtr& response, ResultToBody body) {
  const std::uint64_t id = next_id_++;
  proposals_.emplace(id, PendingProposal{response, std::move(body)});
  time_limits_.insert({dispatcher_.timeSource().monotonicTime() + time_limit_, id});
  timer_->enable(kTimeLimitCheck);
  return id;
}

void OperatorApi::onProposalDone(const control::ProposalDoneEffect& effect) {
  const auto found = proposals_.find(effect.proposal_id);
  if (found == proposals_.end()) {
    return;
  }
  const PendingProposal pending = std::move(found->second);
  proposals_.erase(found);
  const ResultCode code = effect.result.code;
  if (code == ResultCode::NotLeader || code == ResultCode::NoQuorum) {
    answerError(pending.response, code, effect.result.detail);
    return;
  }
  const int status = code == ResultCode::Ok ? kStatusOk : resultCodeInfo(code).http_status;
  answerJson(pending.response, status, pending.body(effect.result));
}

void OperatorApi::onReadDone(const control::ReadDoneEffect& effect) {
  const auto found = reads_.find(effect.read_id);
  if (found == reads_.end()) {
    return;
  }
  PendingRead pending = std::move(found->second);
  reads_.erase(found);
  answerRead(pending, effect.confirmed);
}

void OperatorApi::answerRead(PendingRead& pending, bool confirmed) {
  if (!confirmed && pending.needs_confirmation) {
    const bool known = !node_.log().leader().empty() && node_.log().leader() != self_;
    answerError(pending.response, known ? ResultCode::NotLeader : ResultCode::NoQuorum, "");
    return;
  }
  try {
    answerJson(pending.response, kStatusOk, pending.body(confirmed));
  } catch (const Error& fault) {
    answerError(pending.response, fault.code(), fault.detail(), fault.place());
  }
}

void OperatorApi::answerError(const http::ResponseWriterPtr& response, ResultCode code,
                              const std::string& message, const std::string& place) {
  const int status = resultCodeInfo(code).http_status;
  if (code == ResultCode::NotLeader) {
    answerJson(response, status, notLeaderJson(code, message, leaderUrl()));
  } else {
    answerJson(response, status, errorJson(code, message, place));
  }
}

void OperatorApi::answerJson(const http::ResponseWriterPtr& response, int status, std::string body) {
  response->respond(status, {{"Content-Type", "application/json"}}, std::move(body));
}

void OperatorApi::giveUpOld() {
  const TimePoint now = dispatcher_.timeSource().monotonicTime();
  while (!time_limits_.empty() && time_limits_.begin()->first <= now) {
    const std::uint64_t id = time_limits_.begin()->second;
    time_limits_.erase(time_limits_.begin());
    onReadDone({id, false});
    const auto found = proposals_.find(id);
    if (found != proposals_.end()) {
      const http::ResponseWriterPtr response = found->second.response;
      proposals_.erase(found);
      answerError(response, ResultCode::NoQuorum,
                  "the outcome isn't known in time; send it again with the same identifier");
    }
  }
  if (!time_limits_.empty()) {
    timer_->enable(kTimeLimitCheck);
  }
}

std::string OperatorApi::leaderUrl() const {
  for (const wire::Member& member : node_.log().membership().members) {
    if (member.node == node_.log().leader()) {
      return member.http;
    }
  }
  return {};
}

}  // namespace ferryrock::control_process
