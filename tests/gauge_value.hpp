#pragma once
#include "base/metrics.hpp"

namespace tealshelf {

/// The value of a gauge without labels, sampled now; -1 if there is none.
inline double gaugeValue(string const& name) {
  for (string const& line : split(metrics().text(), '\n'))
    if (line.starts_with(name + " ")) return std::stod(line.substr(name.size() + 1));
  return -1;
}

}  // namespace tealshelf
