#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges whether routers heed what replicas say of themselves in answers: that they want no calls for a time
/// (BUDGET), and that they leave (DRAIN). Logic only; broken rules go to the verdict.
class SoakNoticeOracle {
 public:
  explicit SoakNoticeOracle(SoakOracle& verdict) : verdict_(verdict) {}

  /// A client sends the call to the router.
  void onSent(const std::string& id, const std::string& router, TimePoint now);
  /// Empty: not known.
  std::string routerOf(const std::string& id) const;
  /// A sending of the call reaches the replica, whatever becomes of it.
  void onArrived(const std::string& id, const std::string& replica, TimePoint now);
  /// The replica refuses the call, and wants nothing from its router for so long.
  void onAsked(const std::string& id, const std::string& replica, Duration duration, TimePoint now);
  /// The call's client got an answer of the replica that says that it leaves.
  void onLeavingHeard(const std::string& id, const std::string& replica, TimePoint now);
  /// The router was killed, stopped or frozen, or was just back; it may have forgotten, or be late.
  void excuse(const std::string& router, TimePoint from, TimePoint to);

  /// Sendings that were under way when the replica asked may still arrive for so long.
  static constexpr Duration kOnTheWay = std::chrono::milliseconds(500);
  /// Further arrivals within a time that was asked for.
  static constexpr int kTolerated = 2;

 private:
  struct Sent {
    std::string router;
    TimePoint at{};
  };
  struct Ask {
    TimePoint from{};
    TimePoint to{};
    int arrivals = 0;
  };
  struct Excuse {
    std::string router;
    TimePoint from{};
    TimePoint to{};
  };
  using Pair = std::pair<std::string, std::string>;  ///< router and replica

  bool isExcused(const std::string& router, TimePoint from, TimePoint to) const;

  SoakOracle& verdict_;
  std::map<std::string, Sent> sent_;
  std::map<Pair, std::vector<Ask>> asks_;
  std::map<Pair, TimePoint> leaving_;
  std::vector<Excuse> excuses_;
};

}  // namespace ferryrock::platform
