#pragma once

#include <map>
#include <string>

#include "http/http.h"

namespace ferryrock::service_process {

/// How long connections to replicas may be idle, from the Keep-Alive headers of their responses. Used by one
/// thread.
class KeepAliveLimits {
 public:
  void record(const std::string& address, const http::Headers& headers);
  /// Sets the request's limits on the connection that it may reuse.
  void apply(const std::string& address, http::ClientRequest& request) const;

 private:
  std::map<std::string, Duration> limits_;  ///< by the replica's address
};

}  // namespace ferryrock::service_process
