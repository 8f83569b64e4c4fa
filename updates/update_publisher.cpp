#include "updates/update_publisher.hpp"

#include "updates/relay_topology.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t maxTallies = 4096;
constexpr std::size_t maxSerializedDeltas = 16;
/// Estimated size of a reply without its content.
constexpr std::uint64_t replyOverheadBytes = 64;
/// Upper bound of the reported age; a node without any proof reports it.
constexpr std::int64_t maxProofAgeMs = 1000 * 1000 * 1000;
}  // namespace

void UpdatePublisher::notifyAfter(Ms delay) {
  if (notifying_) return;
  notifying_ = true;
  std::shared_ptr<asio::steady_timer> const timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer](error_code) {
    notifying_ = false;
    for (std::shared_ptr<asio::steady_timer> const& request : held_) request->cancel();
  });
}

void UpdatePublisher::noteSubscriber(UpdateRequest const& request, TimePoint now) {
  if (request.self.name.empty()) return;
  Subscriber& subscriber = subscribers_[request.self.name];
  subscriber.self = request.self;
  subscriber.heardAt = now;
  addTallies(request.tallies);
  addVersionTallies(request.versionTallies);
  if (request.nodesDigest == 0) {
    subscriber.nodes.clear();
    subscriber.nodesDigest = 0;
  } else if (request.carriesNodes) {
    subscriber.nodes = request.nodes;
    subscriber.nodesDigest = request.nodesDigest;
  }
  bool const many = subscribers_.size() > 4 * RelayTopology::fanOut && subscribers_.size() > 2 * held_.size();
  if (!many) return;
  std::erase_if(subscribers_,
                [&](auto const& item) { return now - item.second.heardAt > 2 * settings_.bounds.inTouch; });
}

void UpdatePublisher::addTallies(vector<WorkerTally> const& tallies) {
  for (WorkerTally const& tally : tallies) {
    if (tallies_.size() >= maxTallies && !tallies_.contains(tally.worker)) continue;
    WorkerTally& sum = tallies_[tally.worker];
    sum.worker = tally.worker;
    sum.succeeded += tally.succeeded;
    sum.failed += tally.failed;
  }
}

vector<WorkerTally> UpdatePublisher::takeTallies() {
  vector<WorkerTally> tallies;
  for (auto const& [worker, tally] : tallies_) tallies.push_back(tally);
  tallies_.clear();
  return tallies;
}

bool UpdatePublisher::isRecent(Subscriber const& subscriber, TimePoint now) const {
  return now - subscriber.heardAt <= settings_.bounds.inTouch / 2;
}

vector<DataNode> UpdatePublisher::recentNodes(TimePoint now) const {
  vector<DataNode> nodes;
  std::set<string> names;
  for (auto const& [name, subscriber] : subscribers_)
    if (isRecent(subscriber, now) && names.insert(name).second) nodes.push_back(subscriber.self);
  for (auto const& [name, subscriber] : subscribers_) {
    if (!isRecent(subscriber, now)) continue;
    for (DataNode const& node : subscriber.nodes)
      if (names.insert(node.name).second) nodes.push_back(node);
  }
  return nodes;
}

string const& UpdatePublisher::serializedDelta(VersionedTable const& table, std::uint64_t fromDigest) {
  DeltaKey const key{fromDigest, table.digest()};
  auto const known = serializedDeltas_.find(key);
  if (known != serializedDeltas_.end()) return known->second;
  if (serializedDeltas_.size() >= maxSerializedDeltas) serializedDeltas_.clear();
  return serializedDeltas_[key] = serialize(table.deltaSince(fromDigest));
}

Ms UpdatePublisher::holdOf(UpdateRequest const& request) const {
  return std::min(Ms(request.holdMs), settings_.bounds.inTouch);
}

std::optional<UpdateReply> UpdatePublisher::answerIfDue(UpdateRequest const& request, TimePoint receivedAt,
                                                        TimePoint now, bool crowded) {
  Proof const present = proof();
  VersionedTable const& zone = zones[request.self.zone];
  UpdateReply reply;
  reply.healthy = present.healthy && !crowded;
  reply.depth = present.depth;
  reply.wantsNodes = request.nodesDigest && !request.carriesNodes &&
                     subscribers_[request.self.name].nodesDigest != request.nodesDigest;
  bool const newConfiguration = configurationVersion_ > request.configurationVersion;
  bool const hasUpdates = newConfiguration || common.digest() != request.commonDigest ||
                          zone.digest() != request.zoneDigest || reply.wantsNodes;
  bool const timeIsUp = now >= receivedAt + holdOf(request);
  // An unhealthy node answers at once, so that the subscriber tries another source, unless it has no state yet.
  bool const due = timeIsUp || (reply.healthy ? hasUpdates || request.isIntroduction : !request.isFirst);
  if (!due) return std::nullopt;
  std::int64_t const proofAgeMs = std::chrono::duration_cast<Ms>(now - present.provenAt).count();
  reply.proofAgeMs = std::clamp<std::int64_t>(proofAgeMs, 0, maxProofAgeMs);
  reply.heldMs = std::chrono::duration_cast<Ms>(now - receivedAt).count();
  reply.configurationVersion = configurationVersion_;
  reply.commonDigest = common.digest();
  reply.zoneDigest = zone.digest();
  if (reply.healthy && request.isIntroduction) {
    fillIntroduction(request, reply);
  } else if (reply.healthy) {
    if (newConfiguration) reply.configuration = configuration_;
    if (reply.commonDigest != request.commonDigest) reply.common = serializedDelta(common, request.commonDigest);
    if (reply.zoneDigest != request.zoneDigest) reply.zone = serializedDelta(zone, request.zoneDigest);
  }
  ++repliesSent_;
  for (TableRow const& member : reply.members) bytesSent_ += member.key.size() + member.value.size();
  bytesSent_ += reply.configuration.size() + reply.common.size() + reply.zone.size() + replyOverheadBytes;
  return reply;
}

void UpdatePublisher::fillIntroduction(UpdateRequest const& request, UpdateReply& reply) {
  if (reply.zoneDigest != request.zoneDigest)
    reply.zone = serializedDelta(zones[request.self.zone], request.zoneDigest);
  string const prefix(memberRowPrefix);
  for (auto row = common.rows().lower_bound(prefix); row != common.rows().end(); ++row) {
    if (!row->first.starts_with(prefix)) break;
    reply.members.push_back({row->first, row->second, false});
  }
}

Task<UpdateReply> UpdatePublisher::serve(UpdateRequest request) {
  if (request.format != updateFormat)
    throw Error(ErrorCode::badMessage, "the format of updates is " + std::to_string(request.format) + ", expected " +
                                           std::to_string(updateFormat));
  TimePoint const receivedAt = Clock::now();
  noteSubscriber(request, receivedAt);
  bool const crowded = maxHeld_ && held_.size() >= maxHeld_;
  for (;;) {
    std::optional<UpdateReply> reply = answerIfDue(request, receivedAt, Clock::now(), crowded);
    if (reply) co_return std::move(*reply);
    std::shared_ptr<asio::steady_timer> const timer =
        std::make_shared<asio::steady_timer>(io_, receivedAt + holdOf(request));
    held_.insert(timer);
    error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    held_.erase(timer);
  }
}

}  // namespace tealshelf
