#include "tools/soak/edge_probe.hpp"

#include "tools/soak/configurations.hpp"

namespace tealshelf::soak {

namespace {
constexpr Ms probePeriod{150}, probeLimit{4000};
constexpr std::size_t recentVersions = 3;
}  // namespace

EdgeProbe::EdgeProbe(asio::io_context& io, Cluster& cluster, OperatorClient& operators, Ledger& ledger,
                     Verdict& verdict, std::uint64_t seed)
    : io_(io), cluster_(cluster), operators_(operators), ledger_(ledger), verdict_(verdict), random_(seed, "probe") {}

Task<void> EdgeProbe::watch(ClusterNode& edge) {
  ++callsInFlight_;
  ObservedVersion observed;
  while (!stopping_) {
    co_await sleepFor(probePeriod);
    noteNewestVersion();
    std::uint64_t const version = drawVersion();
    if (version == 0) continue;
    int const incarnation = edge.incarnation;
    HttpAnswer const answer = co_await sendProbe(edge, version);
    if (incarnation != edge.incarnation) continue;
    if (observed.incarnation != incarnation) observed = ObservedVersion{incarnation, 0, {}};
    check(edge, observed, version, answer);
  }
  --callsInFlight_;
}

/// Picks one of the newest acknowledged versions; 0 if there is none.
std::uint64_t EdgeProbe::drawVersion() {
  vector<std::uint64_t> const versions = operators_.acknowledgedVersions();
  if (versions.empty()) return 0;
  std::size_t const back = random_.index(std::min(recentVersions, versions.size()));
  return versions[versions.size() - 1 - back];
}

Task<HttpAnswer> EdgeProbe::sendProbe(ClusterNode& edge, std::uint64_t version) {
  TrackedRequest request;
  request.id = random_.identifier();
  request.path = markerPathStart(version) + request.id;
  TrackedRequest& tracked = ledger_.add(std::move(request));
  HttpRequest message = makeRequest(http::verb::post, tracked.path, requestHost);
  message.set("Attempt-Id", tracked.id);
  message.set("Time-Left-Ms", "2000");
  Address const to = edge.address(outsidePort);
  co_return co_await callHttp(io_, to, std::move(message), probeLimit);
}

void EdgeProbe::check(ClusterNode const& edge, ObservedVersion& observed, std::uint64_t version,
                      HttpAnswer const& answer) {
  if (!answer.complete) return;
  verdict_.count("probes " + std::to_string(answer.status));
  bool const served = answer.status == 200;
  string const observation = edge.plan.name + " applies version " + std::to_string(version);
  bool const isPastSlack = answer.sentAt > observed.at + cluster_.bounds().revertSlack;
  if (served && version < observed.version && isPastSlack)
    verdict_.fail("CONFIG", observation + " again after it applied " + std::to_string(observed.version));
  if (served && version > observed.version) observed = ObservedVersion{observed.incarnation, version, answer.endedAt};
  bool const newest = version == operators_.newestAcknowledged();
  bool const isDue = operators_.newestAcknowledgedAt() + cluster_.bounds().applyWithin < answer.sentAt;
  bool const isCalm = cluster_.isFaultFreeFor(2 * cluster_.bounds().inTouch);
  if (!isCalm || !isDue) return;
  if (served && !newest && version < operators_.newestAcknowledged())
    verdict_.fail(
        "CONFIG",
        observation + " without active faults, although a newer one was acknowledged more than applyWithin ago");
  if (newest && answer.status == 404)
    verdict_.fail("CONFIG", edge.plan.name + " answers 404 for the route of version " + std::to_string(version) +
                                " without active faults" + describeWaits(edge));
}

void EdgeProbe::noteNewestVersion() {
  std::uint64_t const newest = operators_.newestAcknowledged();
  if (newest == std::exchange(newestVersion_, newest)) return;
  for (std::unique_ptr<ClusterNode> const& node : cluster_.nodes())
    waitsAtNewest_[node->plan.name] = node->process.runQueueWait();
}

string EdgeProbe::describeWaits(ClusterNode const& edge) const {
  Ms ownWait{0}, longest{0};
  string slowest = "none";
  for (std::unique_ptr<ClusterNode> const& node : cluster_.nodes()) {
    auto const before = waitsAtNewest_.find(node->plan.name);
    Ms const waited = node->process.runQueueWait() - (before == waitsAtNewest_.end() ? Ms(0) : before->second);
    if (node.get() == &edge) ownWait = waited;
    if (waited <= longest) continue;
    longest = waited;
    slowest = node->plan.name;
  }
  return "; since the acknowledgement it waited " + std::to_string(ownWait.count()) +
         " ms for a CPU; longest wait: " + slowest + " with " + std::to_string(longest.count()) + " ms";
}

Task<bool> EdgeProbe::serves(ClusterNode& edge, std::uint64_t version) {
  HttpAnswer const answer = co_await sendProbe(edge, version);
  co_return answer.complete&& answer.status == 200;
}

}  // namespace tealshelf::soak
