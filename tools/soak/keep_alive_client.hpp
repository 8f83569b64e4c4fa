#pragma once
#include "tools/soak/request_client.hpp"

namespace tealshelf::soak {

/// Clients with persistent connections: each sends requests on one connection, with short pauses, until the edge closes
/// it, and reconnects to the same edge as long as that accepts connections.
class KeepAliveClient {
 public:
  KeepAliveClient(asio::io_context& io, Cluster& cluster, RequestClient& requests, Verdict& verdict, std::uint64_t seed)
      : io_(io), cluster_(cluster), requests_(requests), verdict_(verdict), random_(seed, "kept clients") {}
  /// Runs one client until stop().
  Task<void> runClient();
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }

 private:
  /// Opens a connection and uses it until it ends; false if it couldn't be opened.
  Task<bool> useConnection(ClusterNode& edge);

  asio::io_context& io_;
  Cluster& cluster_;
  RequestClient& requests_;
  Verdict& verdict_;
  Random random_;
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
};

}  // namespace tealshelf::soak
