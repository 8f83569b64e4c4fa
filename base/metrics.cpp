#include "base/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace tealshelf {

void Counter::increment(std::uint64_t by) {
  series_->Increment(static_cast<double>(by));
}

std::uint64_t Counter::value() const {
  return static_cast<std::uint64_t>(series_->Value());
}

void Gauge::set(double value) {
  series_->Set(value);
}

void Gauge::add(double change) {
  series_->Increment(change);
}

double Gauge::value() const {
  return series_->Value();
}

Metrics::Metrics() : registry_(std::make_unique<prometheus::Registry>()) {}

Metrics::~Metrics() = default;

Counter Metrics::counter(string const& name, string const& help, MetricLabels const& labels) {
  return Counter(prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels));
}

Gauge Metrics::gauge(string const& name, string const& help, MetricLabels const& labels) {
  return Gauge(prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels));
}

SamplerRegistration Metrics::sample(std::function<void()> sampler) {
  std::erase_if(samplers_, [](auto const& registered) { return registered.expired(); });
  auto const shared = std::make_shared<std::function<void()>>(std::move(sampler));
  samplers_.push_back(shared);
  return SamplerRegistration(shared);
}

string Metrics::text() {
  for (std::weak_ptr<std::function<void()>> const& registered : samplers_)
    if (auto const sampler = registered.lock()) (*sampler)();
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

Metrics& metrics() {
  static Metrics instance;
  return instance;
}

}  // namespace tealshelf
