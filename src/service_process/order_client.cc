#include "service_process/order_client.h"

#include <utility>

namespace ferryrock::service_process {
namespace {

constexpr Duration kTotalTimeout = std::chrono::milliseconds(800);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

}  // namespace

OrderClient::OrderClient(event::Dispatcher& dispatcher, http::Client& client, const OrderDialect& dialect,
                         OrderCallbacks callbacks)
    : dispatcher_(dispatcher), client_(client), dialect_(dialect), callbacks_(std::move(callbacks)) {}

void OrderClient::send(const services::OrderReplicaEffect& order) {
  constexpr bool kInspection = false;
  start(order.number, kInspection, dialect_.order(order));
}

void OrderClient::send(const services::InspectReplicaEffect& inspection) {
  constexpr bool kInspection = true;
  start(inspection.number, kInspection, dialect_.inspection(inspection));
}

void OrderClient::start(services::OrderNumber number, bool inspection, http::ClientRequest request) {
  request.total_timeout = kTotalTimeout;
  request.connect_timeout = kConnectTimeout;
  const auto call = std::make_shared<Call>();
  call->inspection = inspection;
  calls_[number] = call;
  http::ClientCallbacks callbacks;
  callbacks.on_headers = [call](int status, const http::Headers&) { call->status = status; };
  callbacks.on_data = [call](std::string_view bytes) { call->body.append(bytes); };
  callbacks.on_complete = [this, number] { finish(number, true, true); };
  callbacks.on_failure = [this, number](http::SendProgress progress, const std::string&) {
    finish(number, false, progress != http::SendProgress::NotSent);
  };
  call->request = client_.send(std::move(request), std::move(callbacks));
}

void OrderClient::finish(services::OrderNumber number, bool answered, bool sent) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  const std::shared_ptr<Call> call = found->second;
  calls_.erase(found);
  dispatcher_.post([call] { call->request.reset(); });
  if (call->inspection) {
    callbacks_.on_inspected(number, answered ? dialect_.state(call->status, call->body) : std::nullopt);
  } else if (answered) {
    callbacks_.on_order_completed(number, dialect_.outcome(call->status));
  } else {
    callbacks_.on_order_completed(
        number, sent ? services::OrderOutcome::Unanswered : services::OrderOutcome::Refused);
  }
}

}  // namespace ferryrock::service_process
