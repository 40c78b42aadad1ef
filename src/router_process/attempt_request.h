#pragma once

#include <optional>
#include <string>

#include "http/http.h"
#include "router/router_node.h"

/// The HTTP requests that attempts consist of, see docs/ENGINE_PROTOCOL.md.
namespace ferryrock::router_process {

/// Throws Error MalformedBody if the caller's body isn't a JSON object.
http::ClientRequest attemptRequest(const router::DispatchEffect& effect);
http::ClientRequest resumeRequest(const router::ResumeEffect& effect);
http::ClientRequest cancelRequest(const router::CancelEffect& effect);

/// What a status other than 200 proves. admitted is X-Engine-Admitted, if the answer has it.
router::AttemptFailure failureOfStatus(int status, const std::optional<std::string>& admitted);
/// The engine's words in a refusal's body, for logs and answers.
std::string refusalReason(int status, const std::string& body);

}  // namespace ferryrock::router_process
