#include "common/random.h"

#include <cmath>
#include <pcg_random.hpp>
#include <random>

namespace ferryrock {

struct Random::Generator {
  pcg64 engine;
};

Random::Random(std::uint64_t seed) : generator_(std::make_unique<Generator>(Generator{pcg64(seed)})) {}
Random::~Random() = default;
Random::Random(Random&&) noexcept = default;
Random& Random::operator=(Random&&) noexcept = default;

std::uint64_t Random::next() {
  return generator_->engine();
}

std::uint64_t Random::below(std::uint64_t bound) {
  return generator_->engine(bound);
}

double Random::unit() {
  constexpr int kDiscardedBits = 11;
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(next() >> kDiscardedBits) * kScale;
}

double Random::exponential(double mean) {
  return -mean * std::log1p(-unit());
}

bool Random::chance(double probability) {
  return unit() < probability;
}

std::uint64_t systemSeed() {
  std::random_device device;
  constexpr int kHalf = 32;
  return (static_cast<std::uint64_t>(device()) << kHalf) | device();
}

}  // namespace ferryrock
