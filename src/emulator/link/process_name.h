#pragma once

#include "common/identifiers.h"

namespace ferryrock::emulator {

/// A process of a local fleet, e.g. router-1; empty: one from outside.
using ProcessName = Name<struct ProcessNameTag>;

}  // namespace ferryrock::emulator
