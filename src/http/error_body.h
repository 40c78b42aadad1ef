#pragma once

#include <string>
#include <string_view>

#include "common/result_code.h"

namespace ferryrock::http {

/// Returns the OpenAI-style error object of a result code:
/// {"error":{"message","type","param":null,"code":<number>,"name"}}. The message consists of the code's
/// meaning, the detail if it isn't empty, and the remedy.
std::string errorBody(ResultCode code, std::string_view detail);

}  // namespace ferryrock::http
