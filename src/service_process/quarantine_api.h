#pragma once

#include "http/http.h"
#include "service_process/service_control_shell.h"

namespace ferryrock::service_process {

/// HTTP interface for operators to calls that are suspected of crashing replicas or are quarantined:
///
///   GET  /api/quarantine           lists the calls:
///                                  {"calls": [{"fingerprint", "state", "ends": [{"replica", "refuted"}],
///                                  "last_end_ms_ago"}]}
///   POST /api/quarantine/release   {"fingerprint": "..."}: recorded crashes no longer count;
///                                  answered with the same list
///
/// Any member answers from its own state; a release reaches the other members within one second. Returns
/// false if the request is for another path or method. Throws Error if the body is malformed.
bool handleQuarantine(ServiceControlShell& shell, const http::Request& request,
                      const http::ResponseWriterPtr& response);

}  // namespace ferryrock::service_process
