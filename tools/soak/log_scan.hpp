#pragma once
#include "tools/soak/verdict.hpp"

namespace tealshelf::soak {

/// Looks through the logs of all processes of a run: a line ` invariant` of level E fails it; other lines that tell how
/// the run went are counted.
void scanLogs(string const& directory, Verdict& verdict);

}  // namespace tealshelf::soak
