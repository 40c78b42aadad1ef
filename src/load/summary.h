#pragma once

#include <string>
#include <vector>

#include "load/call_record.h"

namespace ferryrock::load {

/// Smallest value that at least `share` of the values don't exceed; 0 for no values.
WallMilliseconds percentile(std::vector<WallMilliseconds> values, double share);

/// A table of what callers met: for each model, and for all together, calls by outcome, the time to the first
/// token of streams and the time to the end of whole answers.
std::string formatSummary(const std::vector<CallRecord>& records);

}  // namespace ferryrock::load
