#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "router/admission.h"
#include "router/attempt_handler.h"
#include "router/completion.h"
#include "router/dispatcher.h"
#include "router/request_timers.h"
#include "router/router_parts.h"

namespace ferryrock::router {

/// Composes the stages: each input runs through the stage it concerns, then what became possible is
/// dispatched, then messages that are due leave.
class RouterNodeImpl : public RouterNode {
 public:
  RouterNodeImpl(const RouterSettings& settings, const Defects& defects, TimePoint now);

  Effects onRequest(CallerRequest request, TimePoint now) override;
  Effects onCallerGone(const RequestId& request, TimePoint now) override;
  Effects onCallerBuffer(const RequestId& request, std::size_t bytes, TimePoint now) override;
  Effects onAdmitted(const AttemptId& attempt, TimePoint now) override;
  Effects onChunk(const AttemptId& attempt, const StreamChunk& chunk, TimePoint now) override;
  Effects onEnd(const AttemptId& attempt, const StreamEnd& end, TimePoint now) override;
  Effects onFailure(const AttemptId& attempt, AttemptFailure failure, const std::string& reason,
                    TimePoint now) override;
  void onReportedLoad(const EngineName& engine, std::uint32_t running, std::uint32_t waiting,
                      TimePoint now) override;
  Effects receive(const wire::Envelope& envelope, TimePoint now) override;
  Effects onLeavingEngines(const std::vector<LeavingEngine>& engines, TimePoint now) override;
  Effects tick(TimePoint now) override;
  TimePoint nextDeadline() const override;
  Effects beginDrain(TimePoint now) override;
  bool drained() const override;
  bool ready() const override { return parts_.table.ready(); }
  TreeVersion treeVersion() const override { return parts_.table.treeVersion(); }
  RouterCounts counts() const override;
  std::vector<ModelName> knownModels() const override { return parts_.table.names(); }
  std::string serializeTable() const override { return parts_.table.serialize(); }
  void restoreTable(std::string_view bytes) override;

 private:
  void onTableUpdate(const NodeName& from, const wire::TableUpdate& update, TimePoint now, Effects& effects);
  void onCommandReplies(const NodeName& from, const wire::CommandReplies& replies, TimePoint now,
                        Effects& effects);
  void wakeRequests(TimePoint now, Effects& effects);
  void watchControl(TimePoint now, Effects& effects);
  void moveFromLeaving(TimePoint now, Effects& effects);
  /// Gives up names that nobody has asked for in a long time, so that the table doesn't grow to all names.
  void forgetUnusedNames(TimePoint now);
  void scheduleDispatchRetry(TimePoint now);
  /// Dispatches and sends what the input made possible or due.
  void settle(TimePoint now, Effects& effects);

  RouterParts parts_;
  RequestTimers timers_;
  Completion completion_;
  Admission admission_;
  Dispatcher dispatcher_;
  AttemptHandler attempts_;
  std::map<EngineName, TimePoint> leaves_at_;  ///< engines that go soon and still have to be emptied
  TimePoint next_dispatch_retry_ = TimePoint::max();
  TimePoint next_unused_check_;
  bool control_was_available_ = true;
  bool draining_ = false;
  TimePoint last_input_;
};

}  // namespace ferryrock::router
