#pragma once

#include <cstdint>
#include <memory>

namespace ferryrock {

/// Seeded pseudo-random generator, injected into logic classes so that a run can be replayed. Not
/// thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed);
  ~Random();
  Random(Random&&) noexcept;
  Random& operator=(Random&&) noexcept;

  /// Uniform over all 64-bit numbers.
  std::uint64_t next();
  /// Uniform over [0, bound); bound must be positive.
  std::uint64_t below(std::uint64_t bound);
  /// Uniform over [0, 1).
  double unit();
  /// Exponentially distributed with the given mean.
  double exponential(double mean);
  /// True with the given probability.
  bool chance(double probability);

 private:
  struct Generator;
  std::unique_ptr<Generator> generator_;
};

/// Returns a seed from the operating system, for processes whose runs aren't replayed.
std::uint64_t systemSeed();

}  // namespace ferryrock
