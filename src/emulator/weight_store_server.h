#pragma once

#include <memory>
#include <unordered_map>

#include "common/metrics.h"
#include "emulator/model/weight_store_model.h"
#include "http/http.h"

namespace ferryrock::emulator {

/// HTTP interface of the stand-in weight store.
class WeightStoreServer {
 public:
  WeightStoreServer(event::Dispatcher& dispatcher, const http::ServerSettings& listen,
                    const WeightStoreSettings& settings);
  std::uint16_t port() const { return server_->port(); }
  void stopListening() { server_->stopListening(); }
  std::size_t openConnections() const { return server_->openConnections(); }

 private:
  void handle(const http::Request& request, const http::ResponseWriterPtr& writer);
  void startTransfer(const http::Request& request, const http::ResponseWriterPtr& writer);
  void setFault(const http::Request& request, const http::ResponseWriterPtr& writer);
  void status(const http::ResponseWriterPtr& writer) const;
  void metrics(const http::ResponseWriterPtr& writer);
  void settle();
  TimePoint now() const { return dispatcher_.timeSource().monotonicTime(); }

  event::Dispatcher& dispatcher_;
  WeightStoreModel model_;
  MetricsRegistry metrics_;
  StoreTransferId last_transfer_;
  std::unordered_map<StoreTransferId, http::ResponseWriterPtr> writers_;
  std::unique_ptr<event::Timer> timer_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace ferryrock::emulator
