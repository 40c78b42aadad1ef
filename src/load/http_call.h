#pragma once

#include <functional>
#include <memory>
#include <string>

#include "event/dispatcher.h"
#include "http/http.h"

namespace ferryrock::load {

/// Answer to a call; status 0 means that none came.
struct CallAnswer {
  int status = 0;
  std::string body;
};

/// One HTTP call in flight whose whole answer is wanted. Destroying it cancels.
class HttpCall {
 public:
  using DoneCallback = std::function<void(const CallAnswer&)>;

  /// on_done is called once, from the loop, and may destroy the call.
  HttpCall(http::Client& client, http::ClientRequest request, DoneCallback on_done);

 private:
  void finish();

  CallAnswer answer_;
  DoneCallback on_done_;
  std::unique_ptr<http::ClientCall> call_;
};

}  // namespace ferryrock::load
