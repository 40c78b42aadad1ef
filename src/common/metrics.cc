#include "common/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <utility>

namespace ferryrock {
namespace {

class PrometheusCounter : public Counter {
 public:
  explicit PrometheusCounter(prometheus::Counter& series) : series_(series) {}
  void increment(double amount) override { series_.Increment(amount); }
  double value() const override { return series_.Value(); }

 private:
  prometheus::Counter& series_;
};

class PrometheusGauge : public Gauge {
 public:
  explicit PrometheusGauge(prometheus::Gauge& series) : series_(series) {}
  void set(double value) override { series_.Set(value); }
  double value() const override { return series_.Value(); }

 private:
  prometheus::Gauge& series_;
};

class PrometheusHistogram : public HistogramMetric {
 public:
  explicit PrometheusHistogram(prometheus::Histogram& series) : series_(series) {}
  void observe(double value) override { series_.Observe(value); }

 private:
  prometheus::Histogram& series_;
};

using SeriesKey = std::pair<std::string, MetricLabels>;

}  // namespace

struct MetricsRegistry::State {
  prometheus::Registry registry;
  mutable std::mutex mutex;
  std::map<SeriesKey, std::unique_ptr<Counter>> counters;
  std::map<SeriesKey, std::unique_ptr<Gauge>> gauges;
  std::map<SeriesKey, std::unique_ptr<HistogramMetric>> histograms;
};

MetricsRegistry::MetricsRegistry() : state_(std::make_unique<State>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(const std::string& name, const std::string& help,
                                  const MetricLabels& labels) {
  const std::lock_guard lock(state_->mutex);
  auto& series = state_->counters[{name, labels}];
  if (!series) {
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(state_->registry);
    series = std::make_unique<PrometheusCounter>(family.Add(labels));
  }
  return *series;
}

Gauge& MetricsRegistry::gauge(const std::string& name, const std::string& help, const MetricLabels& labels) {
  const std::lock_guard lock(state_->mutex);
  auto& series = state_->gauges[{name, labels}];
  if (!series) {
    auto& family = prometheus::BuildGauge().Name(name).Help(help).Register(state_->registry);
    series = std::make_unique<PrometheusGauge>(family.Add(labels));
  }
  return *series;
}

HistogramMetric& MetricsRegistry::histogram(const std::string& name, const std::string& help,
                                            const std::vector<double>& bounds, const MetricLabels& labels) {
  const std::lock_guard lock(state_->mutex);
  auto& series = state_->histograms[{name, labels}];
  if (!series) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(state_->registry);
    series = std::make_unique<PrometheusHistogram>(family.Add(labels, bounds));
  }
  return *series;
}

std::string MetricsRegistry::serialize() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(state_->registry.Collect());
}

}  // namespace ferryrock
