#include "calls/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ferryrock::calls {

std::string normalizedHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
  std::string name(has_port ? host.substr(0, colon) : host);
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

RouteTable::RouteTable(wire::ServiceCatalog catalog) : catalog_(std::move(catalog)), keys_(catalog_) {
  for (const wire::CallRoute& route : catalog_.routes) {
    routes_[normalizedHost(route.host)][route.path_prefix] = &route;
  }
  for (const wire::HostedService& service : catalog_.services) {
    services_[service.name] = &service;
  }
}

/// Looks up each prefix of the path that ends with a slash, starting with the longest.
const wire::CallRoute* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto of_host = routes_.find(normalizedHost(host));
  if (of_host == routes_.end()) {
    return nullptr;
  }
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found = of_host->second.find(path.substr(0, slash + 1));
    if (found != of_host->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const wire::HostedService* RouteTable::findService(const ServiceName& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace ferryrock::calls
