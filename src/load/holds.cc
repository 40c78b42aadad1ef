#include "load/holds.h"

#include <limits>
#include <map>

namespace ferryrock::load {

namespace {

/// Follows one journal and turns its events into holds.
class HoldCollector {
 public:
  HoldCollector(const std::string& engine, const FaultHistory& faults) : engine_(engine), faults_(faults) {}

  void add(const JournalEvent& event) {
    switch (event.kind) {
      case JournalEventKind::Start:
        endAll(event.wall_ms);
        incarnation_ = event.incarnation;
        break;
      case JournalEventKind::HoldBegin:
        open_[event.slot] = {engine_, incarnation_, event.slot, event.model, event.wall_ms, 0, event.place};
        break;
      case JournalEventKind::HoldEnd:
        end(event.slot, event.wall_ms);
        break;
      default:
        break;
    }
    last_event_ms_ = event.wall_ms;
  }

  std::vector<Hold> take() {
    endAll(std::numeric_limits<WallMilliseconds>::max());
    return std::move(holds_);
  }

 private:
  void end(std::uint64_t slot, WallMilliseconds end_ms) {
    const auto hold = open_.find(slot);
    if (hold != open_.end()) {
      hold->second.end_ms = end_ms;
      holds_.push_back(std::move(hold->second));
      open_.erase(hold);
    }
  }

  void endAll(WallMilliseconds latest_ms) {
    const WallMilliseconds kill_ms = faults_.lastKill(engine_, last_event_ms_, latest_ms);
    while (!open_.empty()) {
      end(open_.begin()->first, kill_ms == 0 ? latest_ms : kill_ms);
    }
  }

  std::string engine_;
  const FaultHistory& faults_;
  std::uint64_t incarnation_ = 0;
  WallMilliseconds last_event_ms_ = 0;
  std::map<std::uint64_t, Hold> open_;
  std::vector<Hold> holds_;
};

}  // namespace

std::vector<Hold> holdsOf(const EngineJournal& journal, const FaultHistory& faults) {
  HoldCollector collector(journal.engine, faults);
  for (const JournalEvent& event : journal.events) {
    collector.add(event);
  }
  return collector.take();
}

}  // namespace ferryrock::load
