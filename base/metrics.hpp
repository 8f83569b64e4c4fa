#pragma once
#include "base/tealshelf.hpp"

/// Metrics of a process, exported in the Prometheus text format.
namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace tealshelf {

/// Labels that distinguish the series of one metric, for example {"state", "accepted"}.
using MetricLabels = std::map<string, string>;

/// A counter that never decreases. A handle: copies refer to the same series, which lives as long as its Metrics.
class Counter {
 public:
  void increment(std::uint64_t by = 1);
  std::uint64_t value() const;

 private:
  friend class Metrics;
  explicit Counter(prometheus::Counter& series) : series_(&series) {}
  prometheus::Counter* series_;
};

/// A value that goes up and down. A handle, like Counter.
class Gauge {
 public:
  void set(double value);
  template <class Number>
  void setCount(Number count) {
    set(static_cast<double>(count));
  }
  void add(double change);
  double value() const;

 private:
  friend class Metrics;
  explicit Gauge(prometheus::Gauge& series) : series_(&series) {}
  prometheus::Gauge* series_;
};

/// Keeps a sampler (Metrics::sample) registered until it is destroyed. It may outlive its Metrics.
class SamplerRegistration {
 public:
  SamplerRegistration() = default;

 private:
  friend class Metrics;
  explicit SamplerRegistration(std::shared_ptr<std::function<void()>> sampler) : sampler_(std::move(sampler)) {}
  std::shared_ptr<std::function<void()>> sampler_;
};

/// All metrics of a process.
///
/// Names follow the Prometheus conventions: the prefix `tealshelf_` and the component, and the unit or `_total` as
/// suffix. The same name and labels give the same series. The first help text of a name is used. Throws
/// std::invalid_argument if a name is used for both a counter and a gauge.
///
/// Used on the io thread; existing series may be incremented from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(Metrics const&) = delete;
  Metrics& operator=(Metrics const&) = delete;

  Counter counter(string const& name, string const& help, MetricLabels const& labels = {});
  Gauge gauge(string const& name, string const& help, MetricLabels const& labels = {});
  /// Registers a function that is called before each rendering, to set gauges from values kept elsewhere; what it reads
  /// must outlive the registration.
  [[nodiscard]] SamplerRegistration sample(std::function<void()> sampler);
  /// Calls the samplers and renders all series.
  string text();

 private:
  std::unique_ptr<prometheus::Registry> registry_;
  vector<std::weak_ptr<std::function<void()>>> samplers_;
};

/// The metrics of this process.
Metrics& metrics();

}  // namespace tealshelf
