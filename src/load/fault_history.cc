#include "load/fault_history.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "common/error.h"
#include "load/json_lines.h"

namespace ferryrock::load {

namespace {

bool beginsDisturbance(const std::string& action) {
  return action == "kill" || action == "pause" || action == "cut";
}

bool beginsLeaving(const std::string& action) {
  return action == "leave" || action == "drain";
}

bool endsLeaving(const std::string& action) {
  return action == "return" || action == "undrain" || action == "restart";
}

/// The action that ends a disturbance which another action began.
std::string endOf(const std::string& action) {
  if (action == "kill" || action == "stop") {
    return "restart";
  }
  return action == "pause" ? "resume" : "heal";
}

FaultRecord recordFromJson(const std::string& line, const std::string& place) {
  try {
    const nlohmann::json json = nlohmann::json::parse(line);
    FaultRecord record;
    json.at("wall_ms").get_to(record.wall_ms);
    json.at("action").get_to(record.action);
    json.at("name").get_to(record.name);
    record.url = json.value("url", "");
    return record;
  } catch (const nlohmann::json::exception& fault) {
    throw Error(ResultCode::MalformedBody, fault.what(), place);
  }
}

}  // namespace

FaultHistory::FaultHistory(std::vector<FaultRecord> records) : records_(std::move(records)) {
  std::stable_sort(records_.begin(), records_.end(), [](const FaultRecord& left, const FaultRecord& right) {
    return left.wall_ms < right.wall_ms;
  });
}

FaultHistory FaultHistory::fromFile(const std::string& file) {
  std::vector<FaultRecord> records;
  forEachLine(file, [&records](const std::string& line, const std::string& place) {
    records.push_back(recordFromJson(line, place));
  });
  return FaultHistory(std::move(records));
}

bool FaultHistory::disturbed(const std::string& url, WallMilliseconds from, WallMilliseconds to) const {
  return overlaps(url, from, to, beginsDisturbance);
}

bool FaultHistory::stopped(const std::string& url, WallMilliseconds from, WallMilliseconds to) const {
  return overlaps(url, from, to, [](const std::string& action) { return action == "stop"; });
}

bool FaultHistory::overlaps(const std::string& url, WallMilliseconds from, WallMilliseconds to,
                            const std::function<bool(const std::string& action)>& begins) const {
  for (auto begin = records_.begin(); begin != records_.end(); ++begin) {
    if (begin->url != url || begin->wall_ms > to || !begins(begin->action)) {
      continue;
    }
    const std::optional<WallMilliseconds> end = endOfDisturbance(begin);
    if (!end || *end >= from) {
      return true;
    }
  }
  return false;
}

WallMilliseconds FaultHistory::undisturbedSince(const std::string& url, WallMilliseconds from,
                                                WallMilliseconds to) const {
  WallMilliseconds since = from;
  for (auto begin = records_.begin(); begin != records_.end() && begin->wall_ms <= to; ++begin) {
    const bool interrupts = beginsDisturbance(begin->action) || begin->action == "stop";
    if (begin->url == url && interrupts) {
      since = std::max(since, std::min(endOfDisturbance(begin).value_or(to), to));
    }
  }
  return since;
}

std::optional<WallMilliseconds> FaultHistory::leavingSince(const std::string& name,
                                                           WallMilliseconds at) const {
  std::optional<WallMilliseconds> since;
  for (const FaultRecord& record : records_) {
    if (record.name != name || record.wall_ms > at) {
      continue;
    }
    if (beginsLeaving(record.action)) {
      since = since.value_or(record.wall_ms);
    } else if (endsLeaving(record.action)) {
      since.reset();
    }
  }
  return since;
}

std::uint64_t FaultHistory::leavingCount() const {
  return static_cast<std::uint64_t>(
      std::count_if(records_.begin(), records_.end(),
                    [](const FaultRecord& record) { return beginsLeaving(record.action); }));
}

std::optional<WallMilliseconds> FaultHistory::endOfDisturbance(
    std::vector<FaultRecord>::const_iterator begin) const {
  const auto end = std::find_if(begin, records_.end(), [begin](const FaultRecord& record) {
    return record.name == begin->name && record.action == endOf(begin->action);
  });
  return end == records_.end() ? std::nullopt : std::optional(end->wall_ms);
}

WallMilliseconds FaultHistory::lastKill(const std::string& name, WallMilliseconds from,
                                        WallMilliseconds to) const {
  WallMilliseconds last = 0;
  for (const FaultRecord& record : records_) {
    if (record.name == name && record.action == "kill" && record.wall_ms >= from && record.wall_ms <= to) {
      last = record.wall_ms;
    }
  }
  return last;
}

}  // namespace ferryrock::load
