#pragma once
#include "tools/soak/cluster.hpp"
#include "tools/soak/http_call.hpp"
#include "tools/soak/ledger.hpp"
#include "tools/soak/random.hpp"

namespace tealshelf::soak {

/// Clients of plain requests and streams: they call random edges and check each answer against what the workers sent.
class RequestClient {
 public:
  RequestClient(asio::io_context& io, Cluster& cluster, Ledger& ledger, Verdict& verdict, std::uint64_t seed);
  /// Sends requests at a rate until stop().
  Task<void> sendRequests(double perSecond);
  void stop() { stopping_ = true; }
  std::size_t callsInFlight() const { return callsInFlight_; }
  /// Sends one request to an edge and checks the answer; true if the request was served.
  Task<bool> requestAt(ClusterNode& edge, RequestKind kind);
  /// Sends one request of a random kind on an open connection and checks the answer; true if the connection may be
  /// reused.
  Task<bool> requestOn(ClusterNode& edge, PersistentConnection& connection);

 private:
  Task<void> oneRequest();
  TrackedRequest& draw(RequestKind kind);
  HttpRequest messageFor(TrackedRequest const& request) const;
  RequestKind drawKind();
  void check(ClusterNode const& edge, TrackedRequest& request, HttpAnswer const& answer);
  void checkUnanswered(ClusterNode const& edge, TrackedRequest const& request, HttpAnswer const& answer);
  void checkSuccess(TrackedRequest const& request, HttpAnswer const& answer);
  void checkEvents(TrackedRequest const& request, HttpAnswer const& answer);

  asio::io_context& io_;
  Cluster& cluster_;
  Ledger& ledger_;
  Verdict& verdict_;
  Random random_;
  std::size_t callsInFlight_ = 0;
  bool stopping_ = false;
};

/// Picks a random edge without an outage, as the platform does, and occasionally any edge.
ClusterNode& drawEdge(Cluster& cluster, Random& random);

}  // namespace tealshelf::soak
