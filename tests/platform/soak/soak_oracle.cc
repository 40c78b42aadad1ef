#include "platform/soak/soak_oracle.h"

#include <algorithm>
#include <array>

namespace ferryrock::platform {
namespace {

bool isSuccess(int status) {
  return status / 100 == 2;
}

/// Statuses that promise that the call hasn't run and won't.
bool promisesUnrun(int status) {
  constexpr std::array kPromises = {408, 421, 429, 503};
  return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

}  // namespace

void SoakOracle::breakRule(const std::string& rule, const std::string& what) {
  broken_.push_back(rule + ": " + what);
}

void SoakOracle::onSent(const std::string& id, SoakKind kind) {
  calls_[id].kind = kind;
}

void SoakOracle::onRun(const std::string& id, const std::string& replica, TimePoint now, bool held_up) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    breakRule("UNASKED", replica + " ran " + id + ", which no client sent");
    return;
  }
  Call& call = found->second;
  ++call.runs;
  const bool at_most_once = call.kind == SoakKind::AtMostOnce || call.kind == SoakKind::StreamOnce;
  if (at_most_once && call.runs > 1) {
    breakRule("TWICE", id + " ran again, at " + replica);
  }
  if (call.promised_unrun) {
    breakRule("REFUSED", id + " ran at " + replica + " after a promise that it never will");
  }
  const auto leaving = leaving_.find(replica);
  if (!held_up && leaving != leaving_.end() && now > leaving->second + kDrainTime) {
    breakRule("DRAIN", id + " reached " + replica + " after its notice was acknowledged");
  }
}

void SoakOracle::onOutcome(const std::string& id, const SoakOutcome& outcome, TimePoint) {
  Call& call = calls_.at(id);
  if (!outcome.whole) {
    ++unclear_;
    return;
  }
  if (promisesUnrun(outcome.status)) {
    ++refused_;
    call.promised_unrun = true;
    if (call.runs > 0) {
      breakRule("REFUSED", id + " got " + std::to_string(outcome.status) + " and had run");
    }
  } else if (!isSuccess(outcome.status)) {
    ++unclear_;
  } else if (isStream(call.kind)) {
    ++served_;
    if (!outcome.events_in_order || outcome.last_event != kStreamEvents) {
      breakRule("ORDER", id + " ended as complete at event " + std::to_string(outcome.last_event));
    }
  } else {
    ++served_;
    if (outcome.body != "answer to " + id) {
      breakRule("MIXED", id + " got '" + outcome.body + "'");
    }
  }
}

void SoakOracle::onLeaveAcknowledged(const std::string& replica, TimePoint now) {
  leaving_.emplace(replica, now);
}

void SoakOracle::onOverfilled(const std::string& replica) {
  breakRule("LIMIT", replica + " was ordered to hold more than it can");
}

void SoakOracle::onConfigurationAcknowledged(std::uint64_t version) {
  newest_acknowledged_ = std::max(newest_acknowledged_, version);
}

void SoakOracle::onConfigurationRead(std::uint64_t version, std::uint64_t acknowledged_before) {
  if (version < acknowledged_before) {
    breakRule("CONFIG", "version " + std::to_string(version) + " was read after " +
                            std::to_string(acknowledged_before) + " had been acknowledged");
  }
}

}  // namespace ferryrock::platform
