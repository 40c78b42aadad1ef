#pragma once

#include <string>

#include "control/engine_orders.h"

/// Parser of the platform's machine list; docs/ENGINE_PROTOCOL.md describes the format.
namespace ferryrock::process {

/// Throws Error MalformedMessage.
control::MachineList parseMachineList(const std::string& body);

}  // namespace ferryrock::process
