#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"

namespace ferryrock::platform {

/// How often one call may run.
enum class SoakKind : std::uint8_t { Repeatable, AtMostOnce, Stream, StreamOnce };

inline bool isStream(SoakKind kind) {
  return kind == SoakKind::Stream || kind == SoakKind::StreamOnce;
}

/// What a client was told in the end.
struct SoakOutcome {
  int status = 0;                ///< 0: no answer, or one that was cut
  bool whole = false;            ///< the answer was read to its end
  std::string body;              ///< of an answer that isn't a stream
  std::uint64_t last_event = 0;  ///< of a stream
  bool events_in_order = true;
};

/// Judges what clients, replicas and the operator saw by the users' rules. Logic only. A rule that is broken
/// is kept as a line that begins with its name.
class SoakOracle {
 public:
  void onSent(const std::string& id, SoakKind kind);
  /// A replica begins work on the call.
  /// held_up: the call's way to the replica was cut of late, so that its arrival may be late.
  void onRun(const std::string& id, const std::string& replica, TimePoint now, bool held_up = false);
  void onOutcome(const std::string& id, const SoakOutcome& outcome, TimePoint now);

  /// The replica's notice of leaving was acknowledged.
  void onLeaveAcknowledged(const std::string& replica, TimePoint now);
  /// A replica was ordered to hold more than it can.
  void onOverfilled(const std::string& replica);

  void onConfigurationAcknowledged(std::uint64_t version);
  /// acknowledged_before: newest version that was acknowledged when the read was sent.
  void onConfigurationRead(std::uint64_t version, std::uint64_t acknowledged_before);

  std::uint64_t newestAcknowledged() const { return newest_acknowledged_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t unclear() const { return unclear_; }
  const std::vector<std::string>& broken() const { return broken_; }
  void breakRule(const std::string& rule, const std::string& what);

  /// Calls of a leaving replica that were sent before its notice bound may still reach it for so long.
  static constexpr Duration kDrainTime = std::chrono::milliseconds(2000);
  static constexpr std::uint64_t kStreamEvents = 20;

 private:
  struct Call {
    SoakKind kind = SoakKind::Repeatable;
    std::uint64_t runs = 0;
    bool promised_unrun = false;
  };
  std::map<std::string, Call> calls_;
  std::map<std::string, TimePoint> leaving_;
  std::uint64_t newest_acknowledged_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t unclear_ = 0;
  std::vector<std::string> broken_;
};

}  // namespace ferryrock::platform
