#pragma once
#include "edge/client_connection.hpp"

namespace tealshelf {

/// Clients' connections that wait for their next request.
///
/// Ending one here only ends its wait. The connection goes on if a request has come in meanwhile, so that none is read
/// on a connection that can't bring its answer back. Runs on the io thread.
class IdleConnections {
 public:
  /// Waits until a request begins to come in, or the client ends the connection; false if the wait was ended before.
  /// The connection must outlive the wait.
  Task<bool> awaitRequest(ClientConnection& client);
  /// Ends the waits that have lasted for so long.
  void cancelOlderThan(Ms limit);
  /// Ends all waits.
  void cancelAll();

 private:
  std::map<ClientConnection*, TimePoint> idleSince_;
};

}  // namespace tealshelf
