#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "platform/soak/soak_oracle.h"
#include "services/limit_oracle.h"

namespace ferryrock::platform {

/// Judges whether all routers together keep the limits that replicas name (LIMIT). Logic only; broken rules
/// go to the verdict.
class SoakLimitJudge {
 public:
  explicit SoakLimitJudge(SoakOracle& verdict) : verdict_(verdict) {}

  /// True if a replica of the service may begin to name a limit: one of each at a time, so that a soak serves
  /// calls all the while.
  bool mayBegin(const std::string& service) const { return !limited_.contains(service); }
  /// From now on the replica names this limit; nullopt: none.
  void onNamed(const std::string& service, const std::string& replica, std::optional<double> per_second,
               TimePoint now);
  /// A call from this router reaches the replica.
  void onArrived(const std::string& replica, const std::string& router, TimePoint now);
  /// A client of the router got the head of an answer in which the replica names a limit.
  void onTold(const std::string& replica, const std::string& router, TimePoint at);
  /// The router was killed, stopped or frozen, or was just back.
  void excuse(const std::string& router, TimePoint from, TimePoint to);
  /// Once, at the end.
  void judge();
  std::size_t named() const { return named_; }

 private:
  struct Excuse {
    std::string router;
    TimePoint from{};
    TimePoint to{};
  };
  services::LimitOracle& of(const std::string& replica);

  SoakOracle& verdict_;
  std::map<std::string, std::string> limited_;  ///< by service, the replica that names a limit
  std::map<std::string, services::LimitOracle> replicas_;
  std::vector<Excuse> excuses_;
  std::size_t named_ = 0;
};

}  // namespace ferryrock::platform
