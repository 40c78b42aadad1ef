#pragma once

#include <string>

#include "control/engine_orders.h"

/// The JSON of docs/ENGINE_PROTOCOL.md, as control writes and reads it.
namespace ferryrock::control_process {

std::string fenceJson(const wire::Fence& fence);
std::string orderJson(const control::EngineOrder& order);
/// Throws Error MalformedMessage.
control::EngineState parseEngineState(const std::string& body);
/// The answer to a fence or an order with this HTTP status and body. A body without a state leaves it empty.
control::EngineAnswer parseOrderAnswer(int status, const std::string& body);

}  // namespace ferryrock::control_process
