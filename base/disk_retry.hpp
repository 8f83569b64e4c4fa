#pragma once
#include "base/tealshelf.hpp"

#include <thread>

/// Retries of failed disk operations.
namespace tealshelf {

/// The delay that follows a given one: exponential backoff, up to about `maxDelay`.
inline Ms nextRetryDelay(Ms delay, Ms maxDelay) {
  return std::clamp(delay * 2, maxDelay / 16 + Ms(1), maxDelay + Ms(1));
}

/// Retries a disk operation that a process needs at its start until it no longer fails with diskFailed. Blocks the
/// thread.
template <class Attempt>
auto retryUntilDiskAvailable(string const& directory, Ms maxDelay, Attempt attempt) {
  for (Ms delay(0);;) {
    try {
      return attempt();
    } catch (Error const& error) {
      if (error.code() != ErrorCode::diskFailed) throw;
      if (delay == Ms(0)) logWarning("disk", directory + ": disk access failed at startup; retrying: " + error.what());
    }
    delay = nextRetryDelay(delay, maxDelay);
    std::this_thread::sleep_for(delay);
  }
}

}  // namespace tealshelf
