#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "control/control_node.h"
#include "control_process/access_control.h"
#include "event/dispatcher.h"
#include "http/http.h"

namespace ferryrock::control_process {

/// The operators' HTTP interface of one member. Reads are confirmed by a quorum before they are answered,
/// changes are answered once they are committed; both are given up after a time limit. Used on the
/// dispatcher's thread.
class OperatorApi {
 public:
  /// Carries out what a step of the node returned.
  using EffectsCallback = std::function<void(control::Effects)>;
  /// Body of GET /metrics.
  using MetricsCallback = std::function<std::string()>;

  OperatorApi(event::Dispatcher& dispatcher, control::ControlNode& node, NodeName self, AccessControl access,
              Duration time_limit, EffectsCallback carry_out, MetricsCallback metrics);

  void handle(const http::Request& request, const http::ResponseWriterPtr& response);
  void onProposalDone(const control::ProposalDoneEffect& effect);
  void onReadDone(const control::ReadDoneEffect& effect);
  /// Requests whose answer hasn't been given.
  std::size_t unanswered() const { return proposals_.size() + reads_.size(); }

 private:
  using ResultToBody = std::function<std::string(const wire::CommandResult&)>;
  /// Body of a read; called with false when the read wasn't confirmed.
  using ReadToBody = std::function<std::string(bool confirmed)>;

  struct PendingProposal {
    http::ResponseWriterPtr response;
    ResultToBody body;
  };
  struct PendingRead {
    http::ResponseWriterPtr response;
    ReadToBody body;
    bool needs_confirmation = true;
  };

  void route(const http::Request& request, const http::ResponseWriterPtr& response);
  void routeRead(const http::Request& request, const http::ResponseWriterPtr& response);
  void routeChange(const http::Request& request, const http::ResponseWriterPtr& response);
  void read(const http::ResponseWriterPtr& response, ReadToBody body, bool needs_confirmation = true);
  void propose(const http::ResponseWriterPtr& response, wire::Command command, ResultToBody body);
  void changeMembership(const http::ResponseWriterPtr& response, const control::MembershipChange& change);
  std::uint64_t remember(const http::ResponseWriterPtr& response, ResultToBody body);
  void answerRead(PendingRead& pending, bool confirmed);
  void answerError(const http::ResponseWriterPtr& response, ResultCode code, const std::string& message,
                   const std::string& place = {});
  void answerJson(const http::ResponseWriterPtr& response, int status, std::string body);
  void giveUpOld();
  std::string leaderUrl() const;
  std::string treeBody(const http::Request& request) const;

  event::Dispatcher& dispatcher_;
  control::ControlNode& node_;
  NodeName self_;
  AccessControl access_;
  Duration time_limit_;
  EffectsCallback carry_out_;
  MetricsCallback metrics_;
  std::unique_ptr<event::Timer> timer_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingProposal> proposals_;
  std::map<std::uint64_t, PendingRead> reads_;
  std::set<std::pair<TimePoint, std::uint64_t>> time_limits_;
};

}  // namespace ferryrock::control_process
