#include "control/rollout_handler.hpp"

#include "consensus/keyspace_names.hpp"
#include "control/call_input.hpp"
#include "rollouts/version_groups.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

namespace {
string const collectionPath = "/rollouts";
/// Decisions in a time of Bounds::inTouch.
constexpr int decisionsPerInTouch = 80;
/// Length of the window of recent evidence, in quarters of Bounds::inTouch.
constexpr int recentWindowQuarters = 2;
}  // namespace

RolloutHandler::RolloutHandler(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver,
                               UpdatePublisher& publisher, WorkerDirectory& workers, NodeDirectory& nodes)
    : io_(io),
      settings_(settings),
      driver_(driver),
      publisher_(publisher),
      workers_(workers),
      nodes_(nodes),
      keyspace_(settings, rpc, driver, rolloutsKeyspace),
      plan_(RolloutPlan::of(settings.bounds)),
      changes_(io, maxWaitingOrders) {}

void RolloutHandler::start() {
  // Otherwise the first order adds the keyspace.
  if (settings_.isRuleInForce("rollout")) driver_.consensus().addKeyspace(rolloutsKeyspace);
  spawnTask(io_, "rollouts", decideLoop());
}

Task<CallReply> RolloutHandler::handle(ForwardedCall call) {
  bool const isOrder = call.path == collectionPath;
  if (call.verb != (isOrder ? "POST" : "GET")) throw Error(ErrorCode::methodNotAllowed);
  RolloutOrder order;
  string service;
  if (isOrder)
    order = parseRolloutOrder(call.body);
  else
    service = idInPath(call.path, collectionPath + "/");
  bool const hasRollouts = co_await findRollouts(isOrder);
  if (!hasRollouts) throw Error(ErrorCode::unknownRollout, service);
  TimePoint const end = Clock::now() + Ms(call.budgetMs);
  std::optional<CallReply> const forwarded = co_await keyspace_.forward(call);
  if (forwarded) co_return *forwarded;
  co_await keyspace_.confirmOwnership(end);
  if (isOrder) co_return co_await acceptOrder(std::move(order), end);
  std::map<string, RolloutRecord> const present = records();
  auto const record = present.find(service);
  if (record == present.end()) throw Error(ErrorCode::unknownRollout, service);
  co_return CallReply{200, rolloutAsJson(record->second)};
}

/// A question creates no keyspace; neither does an order keep one that it adds nothing to.
Task<bool> RolloutHandler::findRollouts(bool isOrder) {
  if (!isOrder) co_return co_await driver_.findKeyspace(rolloutsKeyspace);
  driver_.consensus().useKeyspace(rolloutsKeyspace, Clock::now());
  co_return true;
}

Task<CallReply> RolloutHandler::acceptOrder(RolloutOrder order, TimePoint end) {
  std::optional<std::set<string>> const known = services();
  if (!known) throw Error(ErrorCode::notReady, "there is no configuration yet");
  if (!known->contains(order.service)) throw Error(ErrorCode::badRollout, order.service);
  AsyncMutex::Lock const turn = co_await changes_.lock(Ms(remainingMs(end)));
  std::map<string, RolloutRecord> const present = records();
  auto const found = present.find(order.service);
  std::optional<RolloutRecord> record;
  if (found != present.end()) record = found->second;
  Ms const elapsed = record ? elapsedSinceOrder(*record, Clock::now()) : Ms(0);
  OrderDecision decision = decideOrder(record, order, majorityVersion(workers_.versionsOf(order.service)), elapsed,
                                       2 * settings_.bounds.confirmWithin);
  if (decision.kind == OrderDecision::Kind::refuse) throw Error(decision.code, order.service);
  if (decision.kind == OrderDecision::Kind::acknowledge) co_return CallReply{200, "{}"};
  bool const isNewRollout = decision.record.isServing() || !record;
  if (isNewRollout) {
    decision.record.order = 0;
    decision.record.share = decision.record.isServing() ? plan_.shares.front() : decision.record.share;
    decision.record.orderedAtMs = wallClockMs();
  } else {
    decision.record.elapsedMs = elapsed.count();
  }
  co_await commit(std::move(decision.record));
  co_return CallReply{200, "{}"};
}

Task<void> RolloutHandler::commit(RolloutRecord record) {
  std::uint64_t highest = 0;
  for (auto const& [service, known] : records()) highest = std::max(highest, known.revision);
  record.revision = highest + 1;
  if (!record.order) record.order = record.revision;
  logInfo("rollouts", "rollout of " + record.service + " to version " + record.target + ": " +
                          string(nameOf(record.state)) + ", stage " + std::to_string(record.stage) + ", share " +
                          std::to_string(record.share) + "/1000 after " + std::to_string(record.elapsedMs) +
                          " ms: " + record.reason);
  vector<KeyChange> changes(1, KeyChange{record.service, serialize(record), false});
  co_await keyspace_.commit(std::move(changes));
  driver_.onChange();
}

std::map<string, RolloutRecord> RolloutHandler::records() const {
  std::map<string, RolloutRecord> records;
  std::optional<Values> const values = driver_.consensus().lastKnownValues(rolloutsKeyspace);
  if (!values) return records;
  for (auto const& [service, value] : *values) records[service] = deserialize<RolloutRecord>(value);
  return records;
}

bool RolloutHandler::isUnderWay(string const& service) const {
  std::map<string, RolloutRecord> const present = records();
  auto const record = present.find(service);
  return record != present.end() && record->second.isServing();
}

/// Every control node notes when it first saw each revision, so that a new owner knows the time since the order. A
/// process that has just started uses the wall clock, which may have been stepped, but at least the record's time.
void RolloutHandler::recordObservations(TimePoint now) {
  bool const justStarted = now - startedAt_ < settings_.bounds.inTouch;
  for (auto const& [service, record] : records()) {
    Observation& observation = observations_[service];
    if (observation.revision == record.revision) continue;
    Ms elapsed(record.elapsedMs);
    if (justStarted && record.orderedAtMs) elapsed = std::max(elapsed, Ms(wallClockMs() - record.orderedAtMs));
    observation = Observation{record.revision, elapsed, now};
  }
}

Ms RolloutHandler::elapsedSinceOrder(RolloutRecord const& record, TimePoint now) const {
  auto const observation = observations_.find(record.service);
  if (observation == observations_.end() || observation->second.revision != record.revision)
    return Ms(record.elapsedMs);
  return observation->second.elapsed + std::chrono::duration_cast<Ms>(now - observation->second.at);
}

Ms RolloutHandler::timeInStage(RolloutRecord const& record, TimePoint now) const {
  return elapsedSinceOrder(record, now) - Ms(record.elapsedMs);
}

vector<VersionTally> RolloutHandler::evidence() const {
  vector<VersionTally> all = localEvidence_.all();
  for (auto const& [node, tallies] : peerEvidence_) all.insert(all.end(), tallies.begin(), tallies.end());
  return all;
}

RolloutInputs RolloutHandler::inputsFor(RolloutRecord const& record, TimePoint now) const {
  RolloutInputs inputs;
  inputs.elapsed = elapsedSinceOrder(record, now);
  inputs.timeInStage = timeInStage(record, now);
  std::map<string, DataNode> const nodes = nodes_.allNodes(now);
  inputs.confirmed = !nodes.empty() && std::all_of(nodes.begin(), nodes.end(), [&record](auto const& item) {
    return item.second.rolloutConfirmed >= record.revision;
  });
  inputs.drained = inputs.confirmed && std::all_of(nodes.begin(), nodes.end(), [&record](auto const& item) {
                     return item.second.rolloutDrained >= record.revision;
                   });
  inputs.targetExists = workers_.versionsOf(record.service).contains(record.target);
  inputs.judgement = judge(record, now);
  return inputs;
}

void RolloutHandler::snapshotEvidence(TimePoint now) {
  Ms const window = settings_.bounds.inTouch * recentWindowQuarters / 4;
  bool const isDue = evidenceSnapshots_.empty() || now - evidenceSnapshots_.back().at >= window / 8;
  if (isDue) evidenceSnapshots_.push_back({now, evidence()});
  // The first snapshot stays at about the window's age.
  while (evidenceSnapshots_.size() > 1 && now - evidenceSnapshots_[1].at >= window) evidenceSnapshots_.pop_front();
}

VersionJudgement RolloutHandler::judge(RolloutRecord const& record, TimePoint now) const {
  vector<VersionTally> const all = evidence();
  VersionJudgement judgement = judgeVersion(record, all);
  if (judgement.verdict == VersionVerdict::bad || evidenceSnapshots_.empty()) return judgement;
  if (now - evidenceSnapshots_.front().at > settings_.bounds.inTouch) return judgement;
  VersionJudgement const recent = judgeVersion(record, talliesSince(evidenceSnapshots_.front().tallies, all));
  judgement.verdict = recent.verdict;
  judgement.reason = recent.reason;
  return judgement;
}

Task<void> RolloutHandler::decideLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / decisionsPerInTouch);
    if (changes_.locked()) continue;
    try {
      AsyncMutex::Lock const turn = co_await changes_.lock(Ms(0));
      co_await decide();
    } catch (Error const& error) {
      logInfo("rollouts", string("a change of a rollout failed and will be decided again: ") + error.what());
    }
  }
}

Task<void> RolloutHandler::decide() {
  TimePoint const now = Clock::now();
  localEvidence_.add(publisher_.takeVersionTallies());
  recordObservations(now);
  std::map<string, RolloutRecord> const present = records();
  std::set<std::uint64_t> orders;
  for (auto const& [service, record] : present)
    if (record.isServing()) orders.insert(record.order);
  localEvidence_.retain(orders);
  if (orders.empty()) {
    peerEvidence_.clear();
    evidenceSnapshots_.clear();
    co_return;
  }
  snapshotEvidence(now);
  if (!driver_.consensus().owns(rolloutsKeyspace)) co_return;
  for (auto const& [service, record] : present) {
    if (!record.isServing()) continue;
    std::optional<RolloutRecord> next = nextRecord(record, plan_, inputsFor(record, now));
    if (!next) continue;
    co_await keyspace_.confirmOwnership(Clock::now() + settings_.bounds.inTouch / 4);
    co_await commit(std::move(*next));
  }
}

bool RolloutHandler::publishCommitted() {
  bool changed = false;
  recordObservations(Clock::now());
  for (auto const& [service, record] : records()) {
    string const key = string(rolloutRowPrefix) + service;
    auto const published = publisher_.common.rows().find(key);
    bool const isNewer = published == publisher_.common.rows().end() ||
                         deserialize<RolloutRecord>(published->second).revision < record.revision;
    if (isNewer) changed = publisher_.common.put(key, serialize(record)) || changed;
  }
  return changed;
}

void RolloutHandler::receive(HeartbeatMessage const& message) {
  NodeId const from = message.heartbeat.sender.id;
  if (message.versionTallies.empty())
    peerEvidence_.erase(from);
  else
    peerEvidence_[from] = message.versionTallies;
}

void RolloutHandler::fillHeartbeat(HeartbeatMessage& message) {
  localEvidence_.add(publisher_.takeVersionTallies());
  message.versionTallies = localEvidence_.all();
}

string RolloutHandler::report() const {
  TimePoint const now = Clock::now();
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  auto const text = [&writer](char const* name, string_view value) {
    writer.Key(name);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  writer.StartArray();
  for (auto const& [service, record] : records()) {
    RolloutInputs const inputs = inputsFor(record, now);
    writer.StartObject();
    text("service", service);
    text("targetVersion", record.target);
    text("state", nameOf(record.state));
    writer.Key("stage");
    writer.Uint64(record.stage);
    writer.Key("shareInThousandths");
    writer.Uint64(record.share);
    writer.Key("elapsedMs");
    writer.Int64(inputs.elapsed.count());
    writer.Key("termMs");
    writer.Int64(record.durationMs);
    writer.Key("sentToTarget");
    writer.Double(inputs.judgement.sentToTarget);
    writer.Key("sentInAll");
    writer.Double(inputs.judgement.sentTotal);
    text("reason", record.reason);
    writer.Key("unconfirmed");
    writer.StartArray();
    for (auto const& [name, node] : nodes_.allNodes(now))
      if (node.rolloutConfirmed < record.revision)
        writer.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
