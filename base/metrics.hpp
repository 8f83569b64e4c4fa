#pragma once
#include "base/tealshelf.hpp"

/// The figures that a process tells about itself, in the text format of Prometheus.
namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace tealshelf {

/// Tell the series of one metric apart, for example {"state", "accepted"}.
using MetricLabels = std::map<string, string>;

/// A count that only grows. A handle: copies stand for the same series, which lasts as long as its Metrics.
class Counter {
 public:
  void increment(std::uint64_t by = 1);
  std::uint64_t value() const;

 private:
  friend class Metrics;
  explicit Counter(prometheus::Counter& series) : series_(&series) {}
  prometheus::Counter* series_;
};

/// A figure that goes up and down. A handle, as Counter is.
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
/// Names are those of Prometheus: `tealshelf_` and the component in front, the unit or `_total` at the end. Asking
/// again for a name and labels gives the same series. The first help text of a name stands. Throws
/// std::invalid_argument if a name is used for both kinds.
///
/// Used on the io thread; increments of series that are already there may come from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(Metrics const&) = delete;
  Metrics& operator=(Metrics const&) = delete;

  Counter counter(string const& name, string const& help, MetricLabels const& labels = {});
  Gauge gauge(string const& name, string const& help, MetricLabels const& labels = {});
  /// Calls a function before each rendering, to set gauges whose values stand elsewhere; what it reads must outlive the
  /// registration.
  [[nodiscard]] SamplerRegistration sample(std::function<void()> sampler);
  /// Calls the samplers and renders every series.
  string text();

 private:
  std::unique_ptr<prometheus::Registry> registry_;
  vector<std::weak_ptr<std::function<void()>>> samplers_;
};

/// The metrics of this process.
Metrics& metrics();

}  // namespace tealshelf
