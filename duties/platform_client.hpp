#pragma once
#include "duties/duty_lease.hpp"
#include "wire/http.hpp"

namespace tealshelf {

/// What came of a call to the platform.
enum class PlatformAnswer {
  accepted,    ///< 2xx
  superseded,  ///< 409: the platform has seen a higher fencing token
  busy,        ///< 429 or a 5xx: it may be sent again later
  rejected,    ///< any other status
  unanswered,  ///< it may have been taken or not
  notHolder    ///< nothing was sent, as this node doesn't hold the duties
};
string_view nameOf(PlatformAnswer answer);

/// One call of a duty.
struct PlatformCall {
  string path, body;
};

/// Makes the calls of the duties at the platform, each over a connection of its own.
///
/// Runs on the io thread. Everything passed in must outlive it.
class PlatformClient {
 public:
  PlatformClient(asio::io_context& io, Settings const& settings, DutyLease const& lease);
  /// Sends a call under the fencing token of the lease and waits for the answer, as long as the lease lasts and no
  /// longer than a few of its lengths. Calls keep a distance, so that their rate stays under half of what the platform
  /// takes: a holder before this one may have made some.
  Task<PlatformAnswer> call(PlatformCall call);
  /// The lease was extended: calls under way may go on as long.
  void extendCallDeadlines();

 private:
  /// A call that waits for its answer.
  struct Pending {
    SocketDeadline* deadline;
    TimePoint latestEnd;  ///< until when it waits at the most
  };
  Task<void> waitForRateLimit();
  Task<PlatformAnswer> exchange(http::request<http::string_body> const& request);

  asio::io_context& io_;
  Settings const& settings_;
  DutyLease const& lease_;
  Ms callInterval_;  ///< between two calls
  TimePoint nextCallAt_;
  std::set<Pending*> pending_;
};

}  // namespace tealshelf
