#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "platform/soak/soak_oracle.h"

namespace ferryrock::platform {

/// Judges streams over all tries of their callers: their events come from replicas of one software version,
/// and streams that callers take up again go on. Logic only.
class SoakStreamJudge {
 public:
  explicit SoakStreamJudge(SoakOracle& oracle) : oracle_(oracle) {}

  /// A replica of the version begins or ends to serve.
  void onReplica(const std::string& version, bool serves);
  /// A new stream was asked for, and delivered an event or not.
  void onNew(bool began);
  /// Returns true if two replicas of the version that began the stream serve, so that the try counts.
  bool mayGoOn(const std::string& stream) const;
  /// A stream was taken up while it counts, and delivered an event or not.
  void onTakenUp(bool went_on);
  /// The caller has an event of the stream from a replica of the version.
  void onEvent(const std::string& stream, const std::string& version);
  /// Breaks ORDER and LOST if their bounds don't hold.
  void judge();
  std::size_t takenUp() const { return taken_up_; }
  std::size_t wentOn() const { return went_on_; }
  std::size_t mixed() const { return mixed_; }

  static constexpr std::size_t kMaxMixed = 2;
  static constexpr std::size_t kMinTakenUp = 12;

 private:
  SoakOracle& oracle_;
  std::map<std::string, int> serving_;
  std::map<std::string, std::set<std::string>> versions_;
  std::size_t new_ = 0;
  std::size_t began_ = 0;
  std::size_t taken_up_ = 0;
  std::size_t went_on_ = 0;
  std::size_t mixed_ = 0;
};

}  // namespace ferryrock::platform
