#pragma once
#include "base/tealshelf.hpp"

#include <random>

namespace tealshelf::soak {

/// Random numbers of one actor. Each actor of a run has its own stream, so that the draws of one don't affect the
/// others.
class Random {
 public:
  Random(std::uint64_t seed, string_view actor) : engine_(hash64(actor, seed)) {}
  /// Between 0 and 1.
  double share() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  /// Between two numbers, inclusive.
  int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(engine_); }
  bool chance(double probability) { return share() < probability; }
  /// An index into a non-empty list.
  std::size_t index(std::size_t size) { return static_cast<std::size_t>(between(0, static_cast<int>(size) - 1)); }
  template <class T>
  T const& pick(vector<T> const& values) {
    return values[index(values.size())];
  }
  Ms duration(Ms least, Ms most) {
    return Ms(between(static_cast<int>(least.count()), static_cast<int>(most.count())));
  }
  /// Time until the next arrival of a Poisson process with this rate.
  Ms untilNext(double perSecond) {
    return Ms(static_cast<int>(std::exponential_distribution<double>(perSecond)(engine_) * 1000));
  }
  string identifier() { return hex(engine_()); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace tealshelf::soak
