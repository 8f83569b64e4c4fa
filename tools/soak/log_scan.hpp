#pragma once
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// Scans the logs of all processes of a run: a line of level E with ` invariant` and each violation that the platform
/// detected fail the run; other significant lines are counted.
void scanLogs(string const& directory, Verdict& verdict);

}  // namespace tealshelf::soak
