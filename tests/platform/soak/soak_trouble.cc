#include "platform/soak/soak_trouble.h"

#include <array>

namespace ferryrock::platform {
namespace {

/// Of the calls that reach replicas, those that are refused twice, and those with any other trouble.
constexpr double kRefusedTwice = 0.06;
constexpr double kOtherTrouble = 0.06;
constexpr std::array kOtherTroubles = {SoakTrouble::UnprovenPromise, SoakTrouble::LosesAnswer,
                                       SoakTrouble::ClosesUnrun,     SoakTrouble::HangsUnrun,
                                       SoakTrouble::HangsRun,        SoakTrouble::AnswersLate};
constexpr std::array kPromises = {408, 429, 503};

}  // namespace

SoakTrouble drawTrouble(Random& random) {
  if (random.chance(kRefusedTwice)) {
    return SoakTrouble::RefusesTwice;
  }
  return random.chance(kOtherTrouble) ? kOtherTroubles.at(random.below(kOtherTroubles.size()))
                                      : SoakTrouble::None;
}

int drawPromise(Random& random) {
  return kPromises.at(random.below(kPromises.size()));
}

}  // namespace ferryrock::platform
