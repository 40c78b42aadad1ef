#include "router_process/status_gate.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace ferryrock::router_process {
namespace {

/// Statuses are sent again all the time; while a disk hangs only so many wait.
constexpr std::size_t kMostHeld = 1000;

}  // namespace

StatusGate::StatusGate(TreeVersion saved, SendCallback send) : saved_(saved), send_(std::move(send)) {}

void StatusGate::send(const wire::SendEffect& effect) {
  const auto* status = std::get_if<wire::RouterStatus>(&effect.message);
  if (status == nullptr || status->tree_version <= saved_) {
    send_(effect);
  } else if (held_.size() < kMostHeld) {
    held_.push_back(effect);
  }
}

void StatusGate::onSaved(TreeVersion version) {
  saved_ = std::max(saved_, version);
  for (const wire::SendEffect& effect : std::exchange(held_, {})) {
    send(effect);
  }
}

}  // namespace ferryrock::router_process
