#pragma once
#include "duties/duty_lease.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// The outcome of a call to the platform.
enum class PlatformAnswer {
  accepted,    ///< 2xx
  superseded,  ///< 409: the platform has seen a higher fencing token
  busy,        ///< 429 or 5xx: the call may be retried later
  rejected,    ///< any other status
  unanswered,  ///< no answer: the platform may have accepted the call or not
  notHolder    ///< nothing was sent, because this node doesn't hold the duties
};
string_view nameOf(PlatformAnswer answer);

/// A call to the platform on behalf of a duty.
struct PlatformCall {
  string path, body;
};

/// Makes the calls of the duties to the platform, each over its own connection.
///
/// Runs on the io thread. Everything passed in must outlive it.
class PlatformClient {
 public:
  PlatformClient(asio::io_context& io, Settings const& settings, DutyLease const& lease);
  /// Sends a call with the fencing token of the lease and waits for the answer until the lease ends, but for a few
  /// lease lengths at most. Calls are limited to half of the platform's rate, because a previous holder may have used
  /// some of it.
  Task<PlatformAnswer> call(PlatformCall call);
  /// Extends the deadlines of pending calls after the lease was extended.
  void extendCallDeadlines();

 private:
  /// A call that awaits its answer.
  struct Pending {
    SocketDeadline* deadline;
    TimePoint latestEnd;  ///< the deadline however often the lease is extended
  };
  Task<void> waitForRateLimit();
  Task<PlatformAnswer> exchange(http::request<http::string_body> const& request);

  asio::io_context& io_;
  Settings const& settings_;
  DutyLease const& lease_;
  Ms callInterval_;  ///< minimum time between two calls
  TimePoint nextCallAt_;
  std::set<Pending*> pending_;
};

}  // namespace tealshelf
