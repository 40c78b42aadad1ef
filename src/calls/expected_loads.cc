#include "calls/expected_loads.h"

namespace ferryrock::calls {
namespace {

/// Callers return slightly later than their retry time.
constexpr Duration kReturnDelay = std::chrono::milliseconds(700);

}  // namespace

void ExpectedLoads::accept(const std::vector<wire::ExpectedModelLoad>& coming, TimePoint now) {
  std::erase_if(ready_, [now](const auto& item) { return item.second <= now; });
  for (const wire::ExpectedModelLoad& model : coming) {
    ready_[{model.service, model.model}] = now + std::chrono::milliseconds(model.ready_in_ms);
  }
}

std::optional<TimePoint> ExpectedLoads::readyAt(const ServiceName& service, const ModelName& model,
                                                TimePoint now) const {
  const auto found = ready_.find({service, model});
  return found == ready_.end() || found->second <= now ? std::nullopt : std::optional(found->second);
}

void ExpectedLoads::addReturningCaller(const ServiceName& service, const ModelName& model, TimePoint at) {
  returning_callers_.push_back({{service, model}, at + kReturnDelay});
}

std::map<ExpectedLoads::Key, std::uint32_t> ExpectedLoads::returningCallers(TimePoint now) {
  std::erase_if(returning_callers_,
                [now](const ReturningCaller& caller) { return caller.expected_until <= now; });
  std::map<Key, std::uint32_t> expected;
  for (const ReturningCaller& caller : returning_callers_) {
    ++expected[caller.key];
  }
  return expected;
}

}  // namespace ferryrock::calls
