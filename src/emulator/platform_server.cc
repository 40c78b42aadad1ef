#include "emulator/platform_server.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "common/error.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {
namespace {

using control::MachineList;
using control::MachineRecord;
using control::MachineState;
using nlohmann::json;

const char* stateWord(MachineState state) {
  switch (state) {
    case MachineState::Live:
      return "live";
    case MachineState::Leaving:
      return "leaving";
    case MachineState::Gone:
      break;
  }
  return "gone";
}

MachineState parseState(const std::string& word) {
  for (const MachineState state : {MachineState::Live, MachineState::Leaving, MachineState::Gone}) {
    if (word == stateWord(state)) {
      return state;
    }
  }
  throw Error(ResultCode::InvalidField, "'state' must be one of live, leaving, gone", "state");
}

json machineJson(const MachineRecord& record) {
  json machine = {
      {"machine", record.machine.value}, {"engine", record.engine.value},    {"url", record.url},
      {"zone", record.zone.value},       {"state", stateWord(record.state)}, {"since_ms", record.since_ms}};
  if (record.leaves_in_ms) {
    machine["leaves_in_ms"] = *record.leaves_in_ms;
  }
  return machine;
}

std::optional<Duration> optionalMilliseconds(const JsonFields& fields, const char* key) {
  if (!fields.has(key)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(fields.number(key));
}

}  // namespace

PlatformServer::PlatformServer(event::Dispatcher& dispatcher, http::Client& client,
                               const http::ServerSettings& listen, const PlatformServerSettings& settings)
    : dispatcher_(dispatcher),
      client_(client),
      model_(settings.platform, dispatcher.timeSource().monotonicTime()),
      probe_interval_(settings.probe_interval) {
  probe_timer_ = dispatcher_.createTimer([this] { probeAll(); });
  if (probe_interval_ > Duration::zero()) {
    probe_timer_->enable(probe_interval_);
  }
  server_ = http::createServer(
      dispatcher_, listen,
      answeringErrors([this](const http::Request& request, const http::ResponseWriterPtr& writer) {
        handle(request, writer);
      }));
}

void PlatformServer::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (request.path == "/machines" && get) {
    listMachines(writer);
  } else if (request.path == "/admin/faults" && post) {
    setFault(request, writer);
  } else if (request.path == "/admin/machines" && post) {
    putMachine(request, writer);
  } else if ((request.path == "/healthz" || request.path == "/readyz") && get) {
    respondJson(writer, kStatusOk, R"({"status":"ok"})");
  } else if (request.path == "/metrics" && get) {
    metrics_.gauge("ferryrock_platform_machines", "Machines on the list.")
        .set(static_cast<double>(model_.machines().size()));
    writer->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize());
  } else {
    respondError(writer, ResultCode::UnknownPath, request.method + " " + request.path);
  }
}

void PlatformServer::listMachines(const http::ResponseWriterPtr& writer) {
  const MachineList list = model_.list(now());
  json machines = json::array();
  for (const MachineRecord& record : list.machines) {
    machines.push_back(machineJson(record));
  }
  metrics_.counter("ferryrock_platform_reads_total", "Reads of the list.").increment();
  respondJson(
      writer, kStatusOk,
      dumpJson(json{{"version", list.version}, {"lag_ms", list.lag_ms}, {"machines", std::move(machines)}}));
}

void PlatformServer::putMachine(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  model_.put(now(), PlatformMachine{MachineName(fields.text("machine")), EngineName(fields.text("engine")),
                                    fields.text("url"), ZoneName(fields.text("zone"))});
  respondJson(writer, kStatusOk, "{}");
}

void PlatformServer::setFault(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  const std::string kind = fields.text("kind");
  const MachineName machine(fields.text("machine", ""));
  bool known = true;
  if (kind == "none") {
    model_.clearWrong(now());
  } else if (kind == "leave") {
    known = model_.leave(now(), machine, optionalMilliseconds(fields, "in_ms"));
  } else if (kind == "gone") {
    known = model_.gone(now(), machine);
  } else if (kind == "return") {
    known = model_.comeBack(now(), machine);
  } else if (kind == "wrong") {
    known = model_.publishWrong(now(), machine, parseState(fields.text("state")));
  } else if (kind == "lag") {
    model_.setLag(now(), std::chrono::milliseconds(fields.number("ms")));
  } else {
    throw Error(ResultCode::InvalidField, "'kind' must be one of none, leave, gone, return, wrong, lag",
                "kind");
  }
  if (!known) {
    throw Error(ResultCode::UnknownEngine, "no machine is named '" + machine.value + "'", "machine");
  }
  respondJson(writer, kStatusOk, "{}");
}

void PlatformServer::probeAll() {
  probes_.remove_if([](const std::shared_ptr<Probe>& probe) { return probe->done; });
  for (const PlatformMachine& machine : model_.machines()) {
    probe(machine);
  }
  probe_timer_->enable(probe_interval_);
}

void PlatformServer::probe(const PlatformMachine& machine) {
  const auto probe = std::make_shared<Probe>();
  const auto finish = [this, weak = std::weak_ptr(probe), name = machine.machine](bool answered) {
    if (const auto held = weak.lock()) {
      held->done = true;
      model_.onProbe(now(), name, answered);
    }
  };
  http::ClientRequest request;
  request.url = machine.url + "/healthz";
  request.connect_timeout = probe_interval_;
  request.total_timeout = probe_interval_;
  http::ClientCallbacks callbacks;
  callbacks.on_complete = [finish] { finish(true); };
  callbacks.on_failure = [finish](http::SendProgress, const std::string&) { finish(false); };
  probes_.push_back(probe);
  probe->call = client_.send(std::move(request), std::move(callbacks));
}

}  // namespace ferryrock::emulator
