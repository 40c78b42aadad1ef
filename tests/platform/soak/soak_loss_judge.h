#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges calls that end without any answer, whatever is done to the routers by plan: a router that stops,
/// reads its settings again or gets a configuration answers each call that it has read, within the call's
/// deadline. Crashes and freezes of a router are excused. Logic only.
class SoakLossJudge {
 public:
  explicit SoakLossJudge(SoakOracle& verdict) : verdict_(verdict) {}

  /// The router crashes or is frozen, or was just back.
  void excuse(const std::string& router, TimePoint from, TimePoint to);
  void onSent(const std::string& id, const std::string& router, TimePoint now);
  /// A replica begins work on the call.
  void onRun(const std::string& id);
  void onAnswered(const std::string& id);
  /// The call was sent, and its connection ended without a status line.
  void onCut(const std::string& id, TimePoint now);
  /// The client's own time ran out, after the call's deadline.
  void onHeld(const std::string& id, TimePoint now);

  /// A router may close a connection at the moment at which a request is sent on it; it answers one that it
  /// has read.
  static constexpr Duration kCrossing = std::chrono::milliseconds(200);

 private:
  struct Sent {
    std::string router;
    TimePoint at{};
    bool ran = false;
  };
  struct Excuse {
    std::string router;
    TimePoint from{};
    TimePoint to{};
  };
  bool isExcused(const Sent& sent, TimePoint now) const;

  SoakOracle& verdict_;
  std::map<std::string, Sent> open_;
  std::vector<Excuse> excuses_;
};

}  // namespace ferryrock::platform
