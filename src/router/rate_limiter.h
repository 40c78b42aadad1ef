#pragma once

#include <map>
#include <optional>

#include "common/identifiers.h"
#include "common/time.h"

namespace ferryrock::router {

/// Token bucket: holds at most `capacity` tokens and gains `rate` a second. Used by one thread.
class TokenBucket {
 public:
  TokenBucket(double rate, double capacity, TimePoint now);
  /// Takes one token; false when there is none.
  bool take(TimePoint now);
  /// Adds tokens, up to the capacity.
  void put(double tokens);
  /// Time until one token is there.
  Duration untilNext(TimePoint now);
  /// Changes rate and capacity, keeping the tokens.
  void configure(double rate, double capacity, TimePoint now);

 private:
  void refill(TimePoint now);

  double rate_;
  double capacity_;
  double tokens_;
  TimePoint refilled_;
};

/// Requests per second of each service, as its settings limit them. Used by one thread.
class RateLimiter {
 public:
  /// nullopt: admitted. Else the time after which one would be. rate 0 is unlimited.
  std::optional<Duration> admit(const ModelName& service, double rate, TimePoint now);

 private:
  std::map<ModelName, TokenBucket> buckets_;
};

}  // namespace ferryrock::router
