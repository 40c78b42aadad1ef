#pragma once

#include <string>

#include "http/http.h"
#include "service_process/service_control_shell.h"

namespace ferryrock::service_process {

/// Operators' interface to zones that are taken out of use:
///
///   GET  /api/evacuations          {"zones": ["..."]}, as far as the member that is asked knows
///   POST /api/evacuations/start    {"zone": "..."}: its replicas get no new calls and no models
///   POST /api/evacuations/stop     {"zone": "..."}: given back
///
/// A change is answered with the same list once it outlives the loss of as many disks as are borne. A member
/// that doesn't lead names the leader. False if the request is for something else. Throws Error for a body
/// that can't be read.
bool answerEvacuations(ServiceControlShell& shell, const http::Request& request,
                       const http::ResponseWriterPtr& response);

}  // namespace ferryrock::service_process
