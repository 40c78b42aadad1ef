#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::router {

/// The router's own number of a request; never used again in one process.
using RequestNumber = std::uint64_t;

/// Place in the waiting order: higher priority first, then the earlier deadline, then the earlier arrival.
struct QueueRank {
  std::int32_t priority = 0;
  TimePoint deadline{};
  RequestNumber number = 0;
  friend bool operator<(const QueueRank& left, const QueueRank& right) {
    if (left.priority != right.priority) {
      return left.priority > right.priority;
    }
    if (left.deadline != right.deadline) {
      return left.deadline < right.deadline;
    }
    return left.number < right.number;
  }
};

/// A request as the queue sees it.
struct QueueItem {
  ModelName service;  ///< the addressed name
  QueueRank rank;
  std::size_t bytes = 0;
  bool sheddable = true;  ///< false once an attempt was sent: its answer may have begun
};

/// Bounds by count and by bytes.
struct QueueLimits {
  std::size_t count = 0;
  std::size_t bytes = 0;
};

struct AdmissionResult {
  bool admitted = false;
  std::vector<RequestNumber> shed;  ///< requests of lower priority that were taken out to make room
};

/// Requests that wait, bounded per service and in total. When there is no room, requests of lower priority
/// give way, the lowest and latest first; else the new one is refused. Items that aren't ready (their claim
/// or backoff is not done) count, but aren't offered. Used by one thread.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const QueueLimits& total) : total_limits_(total) {}

  AdmissionResult admit(const QueueItem& item, const QueueLimits& service_limits);
  /// Puts back a request that was admitted before; never refused.
  void readmit(const QueueItem& item);
  void setReady(RequestNumber number, bool ready);
  void remove(RequestNumber number);
  bool contains(RequestNumber number) const { return items_.contains(number); }

  /// First ready request of a service.
  std::optional<QueueRank> head(const ModelName& service) const;
  /// Waiting requests of the service that would go before this rank.
  std::size_t countBefore(const ModelName& service, const QueueRank& rank, std::size_t at_most) const;
  /// All waiting requests of a service, in order.
  std::vector<RequestNumber> waitingOf(const ModelName& service) const;
  /// Services with waiting requests.
  std::vector<ModelName> services() const;
  std::size_t serviceCount() const { return services_.size(); }
  std::size_t count(const ModelName& service) const;
  /// Earliest deadline of a service's waiting requests.
  std::optional<TimePoint> earliestDeadline(const ModelName& service) const;
  std::size_t count() const { return items_.size(); }
  std::size_t bytes() const { return bytes_; }
  bool empty() const { return items_.empty(); }

 private:
  struct ServiceQueue {
    std::set<QueueRank> all;
    std::set<QueueRank> ready;
    std::multiset<TimePoint> deadlines;
    std::size_t bytes = 0;
  };
  struct HeldItem {
    QueueItem item;
    bool ready = false;
  };
  struct Room {
    std::size_t count = 0;
    std::size_t bytes = 0;
  };

  using Victims = std::set<RequestNumber>;

  /// Adds to the victims until the item fits beside the rest; false when it can't be made to fit.
  bool makeRoom(const QueueItem& item, const std::set<QueueRank>& candidates, Room used,
                const QueueLimits& limits, Victims& victims) const;
  void insert(const QueueItem& item);

  QueueLimits total_limits_;
  std::unordered_map<RequestNumber, HeldItem> items_;
  std::map<ModelName, ServiceQueue> services_;
  std::set<QueueRank> sheddable_;
  std::size_t bytes_ = 0;
};

}  // namespace ferryrock::router
