#pragma once

#include <string>

#include "http/http.h"
#include "service_process/service_control_shell.h"

namespace ferryrock::service_process {

/// HTTP interface for operators to evacuate zones:
///
///   GET  /api/evacuations          {"zones": ["..."]}: the evacuated zones that this member knows of
///   POST /api/evacuations/start    {"zone": "..."}: the zone's replicas get no new calls and no models
///   POST /api/evacuations/stop     {"zone": "..."}: ends the evacuation
///
/// A change is answered with the updated list after it is committed, so that it survives the loss of as many
/// disks as the settings tolerate. A member that isn't the leader responds with an error and the leader's
/// URL. Returns false if the request is for another path or method. Throws Error if the body is malformed.
bool handleEvacuations(ServiceControlShell& shell, const http::Request& request,
                       const http::ResponseWriterPtr& response);

}  // namespace ferryrock::service_process
