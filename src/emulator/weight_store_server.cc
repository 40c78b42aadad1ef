#include "emulator/weight_store_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/error.h"
#include "emulator/http_answers.h"
#include "emulator/json_fields.h"

namespace ferryrock::emulator {

WeightStoreServer::WeightStoreServer(event::Dispatcher& dispatcher, const http::ServerSettings& listen,
                                     const WeightStoreSettings& settings)
    : dispatcher_(dispatcher), model_(settings) {
  timer_ = dispatcher_.createTimer([this] { settle(); });
  server_ = http::createServer(
      dispatcher_, listen,
      answeringErrors([this](const http::Request& request, const http::ResponseWriterPtr& writer) {
        handle(request, writer);
      }));
}

void WeightStoreServer::handle(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (request.path == "/transfers" && post) {
    startTransfer(request, writer);
  } else if (request.path == "/status" && get) {
    status(writer);
  } else if (request.path == "/admin/faults" && post) {
    setFault(request, writer);
  } else if ((request.path == "/healthz" || request.path == "/readyz") && get) {
    respondJson(writer, kStatusOk, R"({"status":"ok"})");
  } else if (request.path == "/metrics" && get) {
    metrics(writer);
  } else {
    respondError(writer, ResultCode::UnknownPath, request.method + " " + request.path);
  }
}

void WeightStoreServer::startTransfer(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  const std::uint64_t bytes = fields.number("bytes");
  last_transfer_ = last_transfer_.next();
  const StoreTransferId transfer = last_transfer_;
  writers_[transfer] = writer;
  writer->onClosed([this, transfer] {
    writers_.erase(transfer);
    model_.cancel(now(), transfer);
    settle();
  });
  metrics_.counter("ferryrock_weight_store_transfers_total", "Transfers that were asked for.").increment();
  model_.request(now(), transfer, bytes);
  settle();
}

void WeightStoreServer::settle() {
  model_.tick(now());
  for (const StoreTransferId transfer : model_.takeCompleted()) {
    const auto writer = writers_.find(transfer);
    if (writer != writers_.end()) {
      respondJson(writer->second, kStatusOk, "{}");
      writers_.erase(writer);
    }
  }
  if (const auto wakeup = model_.nextWakeup()) {
    timer_->enable(std::max(Duration::zero(), *wakeup - now()));
  }
}

void WeightStoreServer::setFault(const http::Request& request, const http::ResponseWriterPtr& writer) {
  const JsonFields fields(request.body);
  const std::string kind = fields.text("kind");
  if (kind == "none") {
    model_.setSlowFactor(now(), 1.0);
    model_.setStopped(now(), false);
  } else if (kind == "slow") {
    const double factor = fields.real("factor", 1.0);
    if (!(factor > 0)) {
      throw Error(ResultCode::InvalidField, "'factor' must be above 0", "factor");
    }
    model_.setSlowFactor(now(), factor);
  } else if (kind == "stop") {
    model_.setStopped(now(), true);
  } else {
    throw Error(ResultCode::InvalidField, "'kind' must be one of none, slow, stop", "kind");
  }
  settle();
  respondJson(writer, kStatusOk, "{}");
}

void WeightStoreServer::status(const http::ResponseWriterPtr& writer) const {
  respondJson(writer, kStatusOk,
              dumpJson(nlohmann::json{{"active", model_.active()}, {"queued", model_.queued()}}));
}

void WeightStoreServer::metrics(const http::ResponseWriterPtr& writer) {
  metrics_.gauge("ferryrock_weight_store_active", "Transfers under way.")
      .set(static_cast<double>(model_.active()));
  metrics_.gauge("ferryrock_weight_store_queued", "Transfers that wait for their start.")
      .set(static_cast<double>(model_.queued()));
  writer->respond(kStatusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize());
}

}  // namespace ferryrock::emulator
