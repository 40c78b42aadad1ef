#include "load/time_series.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

#include "common/error.h"
#include "load/summary.h"

namespace ferryrock::load {

namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr const char* kSeriesFile = "series.tsv";
constexpr const char* kScriptFile = "plot.gp";

struct Bucket {
  SeriesPoint point;
  std::vector<WallMilliseconds> first_token_ms;
  std::vector<WallMilliseconds> latency_ms;
};

WallMilliseconds firstSent(const std::vector<CallRecord>& records) {
  WallMilliseconds first = std::numeric_limits<WallMilliseconds>::max();
  for (const CallRecord& record : records) {
    first = std::min(first, record.sent_ms);
  }
  return first;
}

void add(const CallRecord& record, Bucket& bucket) {
  if (record.end == CallEnd::Left) {
    return;
  }
  if (record.end != CallEnd::Answered) {
    ++bucket.point.broken;
  } else if (record.outcome == "ran") {
    ++bucket.point.ran;
  } else {
    ++bucket.point.not_ran;
  }
  if (record.stream && record.first_token_ms) {
    bucket.first_token_ms.push_back(*record.first_token_ms - record.sent_ms);
  }
  if (record.whole) {
    bucket.latency_ms.push_back(record.end_ms - record.sent_ms);
  }
}

SeriesPoint finished(const Bucket& bucket) {
  SeriesPoint point = bucket.point;
  point.first_token_p50_ms = percentile(bucket.first_token_ms, 0.5);
  point.first_token_p99_ms = percentile(bucket.first_token_ms, 0.99);
  point.latency_p50_ms = percentile(bucket.latency_ms, 0.5);
  point.latency_p99_ms = percentile(bucket.latency_ms, 0.99);
  return point;
}

std::string seriesText(const std::vector<SeriesPoint>& points, double interval_seconds) {
  std::ostringstream out;
  out << "# "
         "second\tran_per_s\tnot_ran_per_s\tbroken_per_s\tfirst_token_p50_ms\tfirst_token_p99_ms\tlatency_"
         "p50_ms\t"
         "latency_p99_ms\n";
  for (const SeriesPoint& point : points) {
    out << point.second << "\t" << static_cast<double>(point.ran) / interval_seconds << "\t"
        << static_cast<double>(point.not_ran) / interval_seconds << "\t"
        << static_cast<double>(point.broken) / interval_seconds << "\t" << point.first_token_p50_ms << "\t"
        << point.first_token_p99_ms << "\t" << point.latency_p50_ms << "\t" << point.latency_p99_ms << "\n";
  }
  return out.str();
}

/// A line over the whole height of each plot, with the action and the name along it.
std::string faultMarks(const FaultHistory& faults, WallMilliseconds begin_ms, double end_second) {
  std::ostringstream out;
  for (const FaultRecord& fault : faults.records()) {
    const double second = static_cast<double>(fault.wall_ms - begin_ms) / kMillisecondsPerSecond;
    if (second < 0 || second > end_second) {
      continue;
    }
    out << "set arrow from " << second << ", graph 0 to " << second
        << ", graph 1 nohead dashtype 2 linecolor 'red'\n"
        << "set label '" << fault.action << " " << fault.name << "' at " << second
        << ", graph 0.98 rotate by 90 right font ',8' offset 0.6,0 noenhanced\n";
  }
  return out.str();
}

std::string scriptText(const std::string& marks) {
  return std::string("set terminal svg size 1100,900 background 'white'\nset output 'report.svg'\n") +
         "set datafile commentschars '#'\nset key outside right top\nset grid\n" + marks +
         "set multiplot layout 3,1\nset ylabel 'answers a second'\nplot '" + kSeriesFile +
         "' using 1:2 with lines title 'ran', '' using 1:3 with lines title 'not run or unknown', "
         "'' using 1:4 with lines title 'broken'\n"
         "set ylabel 'first token (ms)'\nset logscale y\nplot '" +
         kSeriesFile +
         "' using 1:($5 > 0 ? $5 : NaN) with lines title 'p50', '' using 1:($6 > 0 ? $6 : NaN) with lines "
         "title 'p99'\n"
         "set ylabel 'whole answer (ms)'\nset xlabel 'seconds'\nplot '" +
         kSeriesFile +
         "' using 1:($7 > 0 ? $7 : NaN) with lines title 'p50', '' using 1:($8 > 0 ? $8 : NaN) with lines "
         "title 'p99'\n"
         "unset multiplot\n";
}

void writeFile(const std::string& file, const std::string& text) {
  std::ofstream output(file, std::ios::trunc);
  output << text << std::flush;
  if (!output) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be written", file);
  }
}

}  // namespace

std::vector<SeriesPoint> timeSeries(const std::vector<CallRecord>& records, WallMilliseconds interval_ms) {
  if (records.empty()) {
    return {};
  }
  const WallMilliseconds begin_ms = firstSent(records);
  std::vector<Bucket> buckets;
  for (const CallRecord& record : records) {
    const auto index =
        static_cast<std::size_t>(std::max<WallMilliseconds>(record.end_ms - begin_ms, 0) / interval_ms);
    if (index >= buckets.size()) {
      buckets.resize(index + 1);
    }
    add(record, buckets[index]);
  }
  std::vector<SeriesPoint> points;
  for (std::size_t index = 0; index < buckets.size(); ++index) {
    points.push_back(finished(buckets[index]));
    points.back().second =
        static_cast<double>(index) * static_cast<double>(interval_ms) / kMillisecondsPerSecond;
  }
  return points;
}

void writePlot(const std::string& folder, const std::vector<CallRecord>& records, const FaultHistory& faults,
               WallMilliseconds interval_ms) {
  const std::vector<SeriesPoint> points = timeSeries(records, interval_ms);
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  writeFile(folder + "/" + kSeriesFile,
            seriesText(points, static_cast<double>(interval_ms) / kMillisecondsPerSecond));
  const double end_second = points.empty() ? 0 : points.back().second;
  const WallMilliseconds begin_ms = points.empty() ? 0 : firstSent(records);
  writeFile(folder + "/" + kScriptFile, scriptText(faultMarks(faults, begin_ms, end_second)));
}

}  // namespace ferryrock::load
