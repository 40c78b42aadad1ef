#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "common/random.h"
#include "common/time.h"
#include "simulation/event_queue.h"

namespace ferryrock::simulation {

struct NetworkSettings {
  Duration latency = std::chrono::milliseconds(1);
  Duration jitter_mean = std::chrono::microseconds(300);
  double slow_chance =
      0.002;  ///< share of messages that take slow_delay_mean more, so that they arrive out of order
  Duration slow_delay_mean = std::chrono::milliseconds(80);
  double drop_chance = 0.002;       ///< of datagrams
  double duplicate_chance = 0.002;  ///< of datagrams
};

/// Carries messages between named endpoints: delays, drops, doubles, reorders, and cuts each direction by
/// itself. A cut takes what is under way as well.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& events, Random random, const NetworkSettings& settings);

  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  void healAll() { cuts_.clear(); }
  bool isCut(const std::string& from, const std::string& to) const { return cuts_.contains({from, to}); }

  /// Number of a new connection for sendOrdered().
  std::uint64_t newConnection() { return ++connections_; }
  /// Internal messages: may be lost, doubled, late and out of order.
  void sendDatagram(const std::string& from, const std::string& to, Callback deliver);
  /// A piece of a connection: in order per connection and never lost on its own. lost is called instead of
  /// deliver if the link is cut when it would arrive.
  void sendOrdered(const std::string& from, const std::string& to, std::uint64_t connection, Callback deliver,
                   Callback lost);

  std::uint64_t dropped() const { return dropped_; }
  std::uint64_t doubled() const { return doubled_; }

 private:
  Duration delay();
  void deliverOnce(const std::string& from, const std::string& to, Callback deliver);

  EventQueue& events_;
  Random random_;
  const NetworkSettings settings_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::pair<std::uint64_t, std::string>, TimePoint> last_arrival_;  ///< by connection and receiver
  std::uint64_t connections_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t doubled_ = 0;
};

}  // namespace ferryrock::simulation
