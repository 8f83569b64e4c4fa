#pragma once
#include "edge/client_connection.hpp"

namespace tealshelf {

/// Client connections that wait for their next request.
///
/// Cancelling a wait doesn't close the connection: if a request has begun to arrive meanwhile, it is still served. Runs
/// on the io thread.
class IdleConnections {
 public:
  /// Waits until a request begins to arrive or the client closes the connection; false if the wait was cancelled
  /// before. The connection must outlive the wait.
  Task<bool> awaitRequest(ClientConnection& client);
  /// Cancels the waits that have lasted for at least `limit`.
  void cancelOlderThan(Ms limit);
  /// Cancels all waits.
  void cancelAll();

 private:
  std::map<ClientConnection*, TimePoint> idleSince_;
};

}  // namespace tealshelf
