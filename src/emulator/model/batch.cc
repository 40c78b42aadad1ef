#include "emulator/model/batch.h"

#include <algorithm>

namespace ferryrock::emulator {

bool Batch::HigherPriority::operator()(const AttemptPtr& left, const AttemptPtr& right) const {
  if (left->request->priority != right->request->priority) {
    return left->request->priority > right->request->priority;
  }
  return left->order < right->order;
}

void Batch::remove(const AttemptPtr& attempt) {
  waiting_.erase(attempt);
  std::erase(running_, attempt);
  if (running_.empty()) {
    step_ends_.reset();
  }
}

std::vector<AttemptPtr> Batch::admitWaiting() {
  std::vector<AttemptPtr> started;
  while (!waiting_.empty() && running_.size() < settings_.max_batch) {
    const AttemptPtr attempt = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    attempt->phase = AttemptPhase::Running;
    running_.push_back(attempt);
    started.push_back(attempt);
  }
  return started;
}

std::uint64_t Batch::planPrefill() {
  std::uint64_t budget = settings_.prefill_tokens_per_step;
  for (const AttemptPtr& attempt : running_) {
    const std::uint64_t part = std::min(budget, attempt->prefill_left);
    attempt->prefill_left -= part;
    budget -= part;
  }
  return settings_.prefill_tokens_per_step - budget;
}

void Batch::beginStep(TimePoint now, const StepSpeed& speed) {
  if (step_ends_ || running_.empty()) {
    return;
  }
  const std::uint64_t prefill_tokens = planPrefill();
  const Duration decode =
      settings_.step_base + settings_.step_per_sequence * static_cast<long>(running_.size());
  const Duration prefill = settings_.prefill_per_token * static_cast<long>(prefill_tokens);
  const double total = static_cast<double>(decode.count()) * speed.decode_factor +
                       static_cast<double>(prefill.count()) * speed.prefill_factor;
  step_ends_ = now + scaled(settings_, Duration(static_cast<Duration::rep>(total)));
}

std::vector<AttemptPtr> Batch::endStep() {
  step_ends_.reset();
  std::vector<AttemptPtr> ready;
  for (const AttemptPtr& attempt : running_) {
    if (attempt->prefill_left == 0) {
      ready.push_back(attempt);
    }
  }
  return ready;
}

std::vector<AttemptPtr> Batch::all() const {
  std::vector<AttemptPtr> list = running_;
  list.insert(list.end(), waiting_.begin(), waiting_.end());
  return list;
}

}  // namespace ferryrock::emulator
