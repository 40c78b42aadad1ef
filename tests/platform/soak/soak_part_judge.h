#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges calls that share a prompt part which crashes each replica, and sound calls that share their first
/// part with these or don't. Judged at the end of a soak, where no process fails. Logic only.
class SoakPartJudge {
 public:
  explicit SoakPartJudge(SoakOracle& oracle) : oracle_(oracle) {}

  /// A call with the crashing part has reached a replica.
  void onArrived(TimePoint now) { arrivals_.push_back(now); }
  void onCrash(TimePoint now) { crashes_.push_back(now); }
  /// A sound call's first attempt has ended; began: it brought an event.
  void onSound(std::uint64_t first_part, bool began, TimePoint now);
  /// Breaks BUDGET if more than kMaxArrivals calls with the part reach replicas from `from` on, and LOST if
  /// sound calls with the first part of the crashing ones begin less than half as often as others.
  void judge(TimePoint from);
  std::size_t crashes() const { return crashes_.size(); }

  /// First part of the calls with the crashing part.
  static constexpr std::uint64_t kSharedFirstPart = 0;
  static constexpr std::size_t kMaxArrivals = 3;
  /// Number of crashes that are accepted.
  static constexpr std::size_t kAcceptedCrashes = 5;
  static constexpr Duration kContactTime = std::chrono::seconds(3);
  /// Minimum number of sound calls of each kind that are compared.
  static constexpr std::size_t kMinCalls = 20;

 private:
  struct Sound {
    std::size_t calls = 0;
    std::size_t began = 0;
    double share() const { return static_cast<double>(began) / static_cast<double>(calls); }
  };
  struct SoundCall {
    bool shared_first = false;
    bool began = false;
    TimePoint at{};
  };

  SoakOracle& oracle_;
  std::vector<TimePoint> arrivals_;
  std::vector<TimePoint> crashes_;
  std::vector<SoundCall> sound_;
};

}  // namespace ferryrock::platform
