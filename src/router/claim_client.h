#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "router/admission_queue.h"
#include "router/control_link.h"
#include "wire/messages.h"

namespace ferryrock::router {

/// The cell's answer to a claim of a request that still waits for it.
struct ClaimAnswer {
  RequestNumber request = 0;
  wire::ClaimCommand claim;
  wire::CommandResult result;
};

/// Takes claims and outcomes to the quorum log: batched, to the known leader first and then to every member,
/// with the same command identifier until a leader answers. A claim whose request has ended meanwhile is
/// still followed up: if it was granted, its outcome is recorded as not run, so that the key isn't lost. Used
/// by one thread.
class ClaimClient {
 public:
  ClaimClient(NodeName node, std::uint64_t incarnation);

  void claim(RequestNumber request, wire::ClaimCommand command, TimePoint now);
  /// The request ended before its claim was answered; it was not and will not be dispatched.
  void abandon(RequestNumber request);
  void record(wire::RecordOutcomeCommand command, TimePoint now);

  /// Answers to claims of living requests.
  std::vector<ClaimAnswer> onReplies(const wire::CommandReplies& replies, TimePoint now);

  /// Messages that are due: new commands in batches, unanswered ones again.
  std::vector<wire::SendEffect> tick(const ControlLink& link, TimePoint now);
  TimePoint nextDeadline() const;

  /// Commands without an answer, abandoned claims included.
  std::size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    wire::Command command;
    RequestNumber request = 0;  ///< 0: a record, or an abandoned claim
    std::uint32_t sends = 0;
    TimePoint next_send{};
  };

  std::uint64_t add(wire::Command command, RequestNumber request, TimePoint now);
  void dropOldestAbandoned();

  NodeName node_;
  std::uint64_t incarnation_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Pending> pending_;
  std::unordered_map<RequestNumber, std::uint64_t> claim_of_;
  std::size_t abandoned_ = 0;
  TimePoint next_batch_{};
  TimePoint earliest_send_ = TimePoint::max();
};

}  // namespace ferryrock::router
