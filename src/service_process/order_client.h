#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/dispatcher.h"
#include "http/http.h"
#include "services/replica_orders.h"

namespace ferryrock::service_process {

/// Translates orders and inspections from and to the format of one HTTP interface. Stateless.
class OrderDialect {
 public:
  virtual ~OrderDialect() = default;
  virtual http::ClientRequest order(const services::OrderReplicaEffect& order) const = 0;
  virtual services::OrderOutcome outcome(int status) const = 0;
  virtual http::ClientRequest inspection(const services::InspectReplicaEffect& inspection) const = 0;
  /// Returns nullopt if the body is malformed.
  virtual std::optional<services::ReplicaState> state(int status, const std::string& body) const = 0;
};

struct OrderCallbacks {
  std::function<void(services::OrderNumber, services::OrderOutcome)> on_order_completed;
  std::function<void(services::OrderNumber, const std::optional<services::ReplicaState>&)> on_inspected;
};

/// Sends orders and inspections to replicas over HTTP. Each one results in exactly one callback, which is
/// never called from within send(). Used by one thread.
class OrderClient {
 public:
  OrderClient(event::Dispatcher& dispatcher, http::Client& client, const OrderDialect& dialect,
              OrderCallbacks callbacks);

  void send(const services::OrderReplicaEffect& order);
  void send(const services::InspectReplicaEffect& inspection);

 private:
  struct Call {
    bool inspection = false;
    int status = 0;
    std::string body;
    std::unique_ptr<http::ClientCall> request;
  };

  void start(services::OrderNumber number, bool inspection, http::ClientRequest request);
  void finish(services::OrderNumber number, bool answered, bool sent);

  event::Dispatcher& dispatcher_;
  http::Client& client_;
  const OrderDialect& dialect_;
  OrderCallbacks callbacks_;
  std::map<services::OrderNumber, std::shared_ptr<Call>> calls_;
};

}  // namespace ferryrock::service_process
