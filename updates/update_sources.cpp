#include "updates/update_sources.hpp"

namespace tealshelf {

namespace {
constexpr int maxSourceBackoffFailures = 5;
}

void UpdateSources::set(vector<Address> parents, vector<Address> controls) {
  parents_ = std::move(parents);
  controls_ = std::move(controls);
}

bool UpdateSources::isParent(Address const& source) const {
  return std::find(parents_.begin(), parents_.end(), source) != parents_.end();
}

bool UpdateSources::isBackingOff(Address const& source, TimePoint now) const {
  auto const failure = failures_.find(source);
  return failure != failures_.end() && now < failure->second.backoffUntil;
}

Address UpdateSources::next(TimePoint now) const {
  Address soonestAvailable;
  TimePoint earliest = TimePoint::max();
  for (vector<Address> const* const sources : {&parents_, &controls_})
    for (Address const& source : *sources) {
      if (!isBackingOff(source, now)) return source;
      TimePoint const backoffUntil = failures_.at(source).backoffUntil;
      if (backoffUntil >= earliest) continue;
      earliest = backoffUntil;
      soonestAvailable = source;
    }
  return soonestAvailable;
}

bool UpdateSources::allBackingOff(TimePoint now) const {
  for (vector<Address> const* const sources : {&parents_, &controls_})
    for (Address const& source : *sources)
      if (!isBackingOff(source, now)) return false;
  return true;
}

void UpdateSources::noteFailed(Address const& source, TimePoint now) {
  Failure& failure = failures_[source];
  failure.count = std::min(failure.count + 1, maxSourceBackoffFailures);
  randomState_ = randomState_ * 6364136223846793005ull + 1442695040888963407ull;
  Ms const backoff = initialBackoff_ * (1 << (failure.count - 1));
  std::int64_t const maxJitter = std::max<std::int64_t>(1, backoff.count() / 2);
  std::uint64_t const jitter = (randomState_ >> 33) % static_cast<std::uint64_t>(maxJitter);
  failure.backoffUntil = now + backoff + Ms(static_cast<std::int64_t>(jitter));
}

vector<Address> UpdateSources::inOrder(TimePoint now) const {
  vector<Address> sources = parents_;
  sources.insert(sources.end(), controls_.begin(), controls_.end());
  std::stable_partition(sources.begin(), sources.end(),
                        [&](Address const& source) { return !isBackingOff(source, now); });
  return sources;
}

vector<Address> UpdateSources::controlAddresses(TimePoint now) const {
  vector<Address> controls = controls_;
  std::stable_partition(controls.begin(), controls.end(),
                        [&](Address const& control) { return !isBackingOff(control, now); });
  return controls;
}

}  // namespace tealshelf
