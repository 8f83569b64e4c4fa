#pragma once
#include "base/tealshelf.hpp"

#include <thread>

/// Retries of what a disk refuses.
namespace tealshelf {

/// The pause after one of a given length; pauses double up to about a bound.
inline Ms nextRetryDelay(Ms pause, Ms maxPause) {
  return std::clamp(pause * 2, maxPause / 16 + Ms(1), maxPause + Ms(1));
}

/// Tries what a process needs at its start until the disk no longer refuses it. Blocks the thread.
template <class Attempt>
auto retryUntilDiskAvailable(string const& directory, Ms maxPause, Attempt attempt) {
  for (Ms pause(0);;) {
    try {
      return attempt();
    } catch (Error const& error) {
      if (error.code() != ErrorCode::diskFailed) throw;
      if (pause == Ms(0)) logWarning("disk", directory + ": the start waits for the disk: " + error.what());
    }
    pause = nextRetryDelay(pause, maxPause);
    std::this_thread::sleep_for(pause);
  }
}

}  // namespace tealshelf
