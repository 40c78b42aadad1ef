#include "load/summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace ferryrock::load {

namespace {

constexpr int kModelWidth = 34;
constexpr int kNumberWidth = 9;
constexpr const char* kAllModels = "(all)";

struct ModelSummary {
  std::uint64_t calls = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t broken = 0;
  std::vector<WallMilliseconds> first_token_ms;
  std::vector<WallMilliseconds> whole_ms;
};

void add(const CallRecord& record, ModelSummary& summary) {
  ++summary.calls;
  if (record.end == CallEnd::Left) {
    return;
  }
  if (record.end != CallEnd::Answered) {
    ++summary.broken;
  } else if (record.outcome == "ran") {
    ++summary.ran;
  } else if (record.outcome == "not-run") {
    ++summary.not_run;
  } else {
    ++summary.unknown;
  }
  if (record.stream && record.first_token_ms) {
    summary.first_token_ms.push_back(*record.first_token_ms - record.sent_ms);
  }
  if (record.whole) {
    summary.whole_ms.push_back(record.end_ms - record.sent_ms);
  }
}

void writeRow(std::ostringstream& out, const std::string& model, const ModelSummary& summary) {
  out << std::left << std::setw(kModelWidth) << model << std::right;
  const std::vector<WallMilliseconds> numbers = {static_cast<WallMilliseconds>(summary.calls),
                                                 static_cast<WallMilliseconds>(summary.ran),
                                                 static_cast<WallMilliseconds>(summary.not_run),
                                                 static_cast<WallMilliseconds>(summary.unknown),
                                                 static_cast<WallMilliseconds>(summary.broken),
                                                 percentile(summary.first_token_ms, 0.5),
                                                 percentile(summary.first_token_ms, 0.95),
                                                 percentile(summary.first_token_ms, 0.99),
                                                 percentile(summary.whole_ms, 0.5),
                                                 percentile(summary.whole_ms, 0.99)};
  for (const WallMilliseconds number : numbers) {
    out << std::setw(kNumberWidth) << number;
  }
  out << "\n";
}

}  // namespace

WallMilliseconds percentile(std::vector<WallMilliseconds> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

std::string formatSummary(const std::vector<CallRecord>& records) {
  std::map<std::string, ModelSummary> models;
  for (const CallRecord& record : records) {
    add(record, models[record.model]);
    add(record, models[kAllModels]);
  }
  std::ostringstream out;
  out << std::left << std::setw(kModelWidth) << "model" << std::right;
  for (const char* title :
       {"calls", "ran", "not-run", "unknown", "broken", "ttft p50", "p95", "p99", "whole p50", "p99"}) {
    out << std::setw(kNumberWidth) << title;
  }
  out << "   (ms)\n";
  for (const auto& [model, summary] : models) {
    writeRow(out, model, summary);
  }
  return out.str();
}

}  // namespace ferryrock::load
