#pragma once

#include <functional>
#include <vector>

#include "wire/messages.h"

namespace ferryrock::router_process {

/// Lets messages to control pass, but holds back statuses that report a tree version which a restart of this
/// router could still lose: control takes a reported version as being in force for good. Used by one thread.
class StatusGate {
 public:
  using SendCallback = std::function<void(const wire::SendEffect&)>;

  /// saved is the version that the router's file holds at the start.
  StatusGate(TreeVersion saved, SendCallback send);

  void send(const wire::SendEffect& effect);
  /// The version has been synced: what waited for it leaves.
  void onSaved(TreeVersion version);
  TreeVersion saved() const { return saved_; }

 private:
  TreeVersion saved_;
  SendCallback send_;
  std::vector<wire::SendEffect> held_;
};

}  // namespace ferryrock::router_process
