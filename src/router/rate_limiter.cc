#include "router/rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace ferryrock::router {
namespace {

constexpr double kMinimumBurst = 1.0;

}  // namespace

TokenBucket::TokenBucket(double rate, double capacity, TimePoint now)
    : rate_(rate), capacity_(capacity), tokens_(capacity), refilled_(now) {}

void TokenBucket::refill(TimePoint now) {
  if (now <= refilled_) {
    return;
  }
  tokens_ = std::min(capacity_, tokens_ + rate_ * toSeconds(now - refilled_));
  refilled_ = now;
}

bool TokenBucket::take(TimePoint now) {
  refill(now);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

void TokenBucket::put(double tokens) {
  tokens_ = std::min(capacity_, tokens_ + tokens);
}

Duration TokenBucket::untilNext(TimePoint now) {
  refill(now);
  if (tokens_ >= 1.0 || rate_ <= 0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> wait((1.0 - tokens_) / rate_);
  return std::chrono::ceil<Duration>(wait);
}

void TokenBucket::configure(double rate, double capacity, TimePoint now) {
  refill(now);
  rate_ = rate;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity_);
}

std::optional<Duration> RateLimiter::admit(const ModelName& service, double rate, TimePoint now) {
  if (rate <= 0) {
    buckets_.erase(service);
    return std::nullopt;
  }
  const double burst = std::max(kMinimumBurst, rate);
  auto bucket = buckets_.find(service);
  if (bucket == buckets_.end()) {
    bucket = buckets_.emplace(service, TokenBucket(rate, burst, now)).first;
  }
  bucket->second.configure(rate, burst, now);
  if (bucket->second.take(now)) {
    return std::nullopt;
  }
  return bucket->second.untilNext(now);
}

}  // namespace ferryrock::router
