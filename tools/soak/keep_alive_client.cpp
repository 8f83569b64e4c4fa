#include "tools/soak/keep_alive_client.hpp"

namespace tealshelf::soak {

namespace {
constexpr Ms connectLimit{1000}, minRequestPause{5}, maxRequestPause{250};
}  // namespace

Task<void> KeepAliveClient::runClient() {
  ++callsInFlight_;
  while (!stopping_) {
    ClusterNode& edge = drawEdge(cluster_, random_);
    bool isReachable = true;
    while (isReachable && !stopping_) isReachable = co_await useConnection(edge);
    co_await sleepFor(maxRequestPause);
  }
  --callsInFlight_;
}

Task<bool> KeepAliveClient::useConnection(ClusterNode& edge) {
  PersistentConnection connection(io_);
  Address const to = edge.address(outsidePort);
  bool const connected = co_await connectTo(io_, connection, to, connectLimit);
  if (!connected) co_return false;
  verdict_.count("kept connections");
  bool isReusable = true;
  while (isReusable && !stopping_) {
    isReusable = co_await requests_.requestOn(edge, connection);
    co_await sleepFor(random_.duration(minRequestPause, maxRequestPause));
  }
  co_return true;
}

}  // namespace tealshelf::soak
