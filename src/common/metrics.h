#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Registry;
}

namespace ferryrock {

/// Labels of one series. Labels must have low cardinality; a request identifier is never a label.
using MetricLabels = std::map<std::string, std::string>;

/// Monotonic counter; owned by the registry.
class Counter {
 public:
  virtual ~Counter() = default;
  virtual void increment(double amount = 1) = 0;
  virtual double value() const = 0;
};

/// Value that may increase and decrease; owned by the registry.
class Gauge {
 public:
  virtual ~Gauge() = default;
  virtual void set(double value) = 0;
  virtual double value() const = 0;
};

/// Histogram with fixed buckets; owned by the registry.
class HistogramMetric {
 public:
  virtual ~HistogramMetric() = default;
  virtual void observe(double value) = 0;
};

/// Metrics of the process, serialized in Prometheus text format. Thread-safe.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  /// Returns the series and creates it at the first call; the reference is valid as long as the registry
  /// exists.
  Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
  HistogramMetric& histogram(const std::string& name, const std::string& help,
                             const std::vector<double>& bounds, const MetricLabels& labels = {});
  /// Body of GET /metrics.
  std::string serialize() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ferryrock
