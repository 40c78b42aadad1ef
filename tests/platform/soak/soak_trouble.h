#pragma once

#include <cstdint>

#include "common/random.h"

namespace ferryrock::platform {

/// What a replica of a soak does with a call instead of answering it properly.
enum class SoakTrouble : std::uint8_t {
  None,
  RefusesTwice,     ///< refuses it unrun, and sends a copy of the refusal later
  UnprovenPromise,  ///< runs it and answers a status that promises the opposite
  LosesAnswer,      ///< runs it and closes the connection
  ClosesUnrun,      ///< reads it and closes the connection
  HangsUnrun,       ///< reads it and does nothing until the connection is closed
  HangsRun,         ///< runs it and sends nothing until the connection is closed
  AnswersLate,      ///< runs it and answers after a pause
};

SoakTrouble drawTrouble(Random& random);

/// Draws one of the statuses that promise that a call hasn't run.
int drawPromise(Random& random);

}  // namespace ferryrock::platform
