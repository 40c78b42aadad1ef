#pragma once

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "router/request.h"

namespace ferryrock::router {

/// Owns the living requests; finds them by number, caller's identifier and attempt; wakes them in time.
/// Used by one thread.
class RequestStore {
 public:
  /// Throws Error Internal when the identifier is in use.
  Request& add(CallerRequest caller, TimePoint now);
  Request* find(RequestNumber number);
  Request* find(const RequestId& id);
  /// The request whose living attempt this is; nullptr for an attempt that has ended.
  Request* findByAttempt(const AttemptId& attempt);
  void startAttempt(Request& request, Attempt attempt);
  /// forget false: later events of the attempt are still taken for the request's; only for a deliberate
  /// defect.
  void endAttempt(Request& request, bool forget = true);
  void remove(RequestNumber number);

  /// Sets the one instant at which the request is looked at again.
  void wakeAt(RequestNumber number, TimePoint time);
  /// Requests whose instant has come; each is returned once until it is set again.
  std::vector<RequestNumber> due(TimePoint now);
  TimePoint nextWake() const;

  std::vector<RequestNumber> numbers() const;
  std::size_t size() const { return requests_.size(); }
  std::size_t running() const { return attempts_.size(); }

 private:
  struct Held {
    std::unique_ptr<Request> request;
    TimePoint wake_at = TimePoint::max();
  };

  RequestNumber next_number_ = 1;
  std::unordered_map<RequestNumber, Held> requests_;
  std::unordered_map<RequestId, RequestNumber> by_id_;
  std::unordered_map<AttemptId, RequestNumber> attempts_;
  std::set<std::pair<TimePoint, RequestNumber>> wakes_;
};

}  // namespace ferryrock::router
