#pragma once

#include <string_view>

#include "emulator/model/engine_faults.h"

namespace ferryrock::emulator {

/// All faults of one engine: those of its model and those that its HTTP shell plays.
struct HostFaults {
  EngineFaults model;
  bool cut_control = false;          ///< /control isn't answered
  bool cut_control_process = false;  ///< while cut, orders take effect all the same
  bool crash_now = false;
};

/// The faults after one request to /admin/faults. Throws Error MalformedBody or InvalidField.
HostFaults applyFaultRequest(HostFaults faults, std::string_view body);

}  // namespace ferryrock::emulator
