#include "emulator/link_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "common/logging.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

using nlohmann::json;

const Logger kLog("link");

CutDirection parseDirection(const std::string& word) {
  if (word == "both") {
    return CutDirection::Both;
  }
  if (word == "to") {
    return CutDirection::To;
  }
  if (word == "from") {
    return CutDirection::From;
  }
  throw Error(ResultCode::InvalidField, "'direction' must be one of both, to, from", "direction");
}

const char* directionName(CutDirection direction) {
  switch (direction) {
    case CutDirection::To:
      return "to";
    case CutDirection::From:
      return "from";
    case CutDirection::Both:
      break;
  }
  return "both";
}

}  // namespace

LinkServer::LinkServer(event::Dispatcher& dispatcher, const http::ServerSettings& listen,
                       const LinkSettings& settings)
    : owners_(settings.process_folder) {
  for (const LinkRouteSettings& route : settings.routes) {
    routes_.emplace_back(dispatcher, cuts_, owners_, route);
  }
  server_ = http::createServer(
      dispatcher, listen,
      answeringErrors([this](const http::Request& request, const http::ResponseWriterPtr& writer) {
        handle(request, writer);
      }));
}

void LinkServer::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (request.path == "/admin/cut" && post) {
    cut(request, writer);
  } else if (request.path == "/admin/heal" && post) {
    heal(request, writer);
  } else if (request.path == "/admin/withdraw" && post) {
    withdraw(request, writer);
  } else if (request.path == "/status" && get) {
    status(writer);
  } else if ((request.path == "/healthz" || request.path == "/readyz") && get) {
    respondJson(writer, kStatusOk, R"({"status":"ok"})");
  } else if (request.path == "/metrics" && get) {
    metrics(writer);
  } else {
    respondError(writer, ResultCode::UnknownPath, request.method + " " + request.path);
  }
}

ProcessName LinkServer::knownName(const http::Request& request) const {
  ProcessName name(JsonFields(request.body).text("name"));
  const bool known = std::any_of(routes_.begin(), routes_.end(),
                                 [&](const RelayRoute& route) { return route.name() == name; });
  if (!known) {
    throw Error(ResultCode::InvalidField, "no route leads to '" + name.value + "'", "name");
  }
  return name;
}

void LinkServer::updateRoutes() {
  for (RelayRoute& route : routes_) {
    route.update();
  }
}

void LinkServer::cut(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const ProcessName name = knownName(request);
  const CutDirection direction = parseDirection(JsonFields(request.body).text("direction", "both"));
  cuts_.cut(name, direction);
  updateRoutes();
  kLog.info("Cut " + name.value + " (" + directionName(direction) + ").");
  respondJson(writer, kStatusOk, "{}");
}

void LinkServer::withdraw(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const ProcessName name = knownName(request);
  for (RelayRoute& route : routes_) {
    if (route.name() == name) {
      route.withdraw();
    }
  }
  kLog.info("Withdrew " + name.value + ".");
  respondJson(writer, kStatusOk, "{}");
}

void LinkServer::heal(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  const ProcessName name(fields.text("name", ""));
  if (name.empty()) {
    cuts_.healAll();
  } else {
    cuts_.heal(name);
  }
  updateRoutes();
  kLog.info("Healed " + (name.empty() ? "all" : name.value) + ".");
  respondJson(writer, kStatusOk, "{}");
}

void LinkServer::status(const http::ResponseWriterPtr& writer) const {
  json routes = json::array();
  for (const RelayRoute& route : routes_) {
    routes.push_back(
        {{"name", route.name().value}, {"port", route.port()}, {"connections", route.connections()}});
  }
  json cuts = json::object();
  for (const auto& [name, direction] : cuts_.all()) {
    cuts[name.value] = directionName(direction);
  }
  respondJson(writer, kStatusOk, dumpJson(json{{"routes", std::move(routes)}, {"cuts", std::move(cuts)}}));
}

void LinkServer::metrics(const http::ResponseWriterPtr& writer) {
  std::size_t connections = 0;
  for (const RelayRoute& route : routes_) {
    connections += route.connections();
  }
  metrics_.gauge("ferryrock_link_connections", "Connections that are relayed.")
      .set(static_cast<double>(connections));
  metrics_.gauge("ferryrock_link_cuts", "Processes that are cut off.")
      .set(static_cast<double>(cuts_.all().size()));
  writer->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize());
}

}  // namespace ferryrock::emulator
