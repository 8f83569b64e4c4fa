#include "consensus/consensus_driver.hpp"

#include "base/node_id.hpp"
#include "consensus/heartbeat_targets.hpp"

namespace tealshelf {

namespace {
/// Share of the disk limits that the control log may use.
constexpr double logShare = 0.6;

NodeId ownNodeId(Settings const& settings) {
  if (settings.dataFolder.empty()) return NodeId(randomId());
  return waitForNodeId(settings.dataFolder, settings.bounds.inTouch / 3);
}

Consensus::Timeouts timeoutsFor(Bounds const& bounds) {
  return {bounds.inTouch / 4, bounds.inTouch / 30, bounds.inTouch / 2, bounds.confirmWithin / 6,
          2 * bounds.confirmWithin};
}
}  // namespace

ConsensusDriver::ConsensusDriver(asio::io_context& io, Settings const& settings, RpcClient& rpc)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      heartbeatPeriod_(settings.bounds.inTouch / 20),
      self_(ownNodeId(settings)),
      consensus_(Member{self_, settings.nodeName, settings.ip, settings.zone, false, !settings.dataFolder.empty()},
                 timeoutsFor(settings.bounds), randomId()),
      membership_(io, settings, rpc, *this),
      survey_(io, settings, rpc, consensus_) {
  if (!settings.dataFolder.empty()) replayLog();
  consensus_.addKeyspace(configurationKeyspace);
  consensus_.addKeyspace(membersKeyspace);
}

void ConsensusDriver::replayLog() {
  log_ = std::make_unique<DurableLog>(io_, settings_.dataFolder + "/registry", diskLimits(settings_, logShare),
                                      [this] { return consensus_.snapshot(); });
  RecoveredLog const& recovered = log_->recovered();
  for (string const& record : recovered.records) consensus_.replay(record);
  if (recovered.tornBytes)
    logWarning("consensus", "truncated an incomplete record of " + std::to_string(recovered.tornBytes) +
                                " bytes at the end of the control log");
  for (string const& place : recovered.corruptions)
    logWarning("consensus", "the control log has lost synced records: " + place);
  if (!recovered.corruptions.empty()) consensus_.giveUpVote(randomId());
  log_->releaseRecovered();
}

void ConsensusDriver::start(RpcServer& server) {
  server.on<ConsensusMessages>([this](ConsensusMessages batch) -> Task<Acknowledgement> {
    for (Message const& message : batch.messages) consensus_.receive(message, Clock::now());
    flush();
    co_return Acknowledgement{};
  });
  server.on<HeartbeatMessage>(
      [this](HeartbeatMessage message) -> Task<HeartbeatReply> { co_return receiveHeartbeat(message); });
  spawnTask(io_, "consensus tick", tickLoop());
  spawnTask(io_, "consensus heartbeat", heartbeatLoop());
  membership_.start(server);
  survey_.start(server);
}

HeartbeatReply ConsensusDriver::receiveHeartbeat(HeartbeatMessage const& message) {
  TimePoint const now = Clock::now();
  Heartbeat const& heartbeat = message.heartbeat;
  if (message.membership.number > consensus_.membership().number && message.membership.exists())
    consensus_.installMembership(message.membership, false);
  consensus_.receiveHeartbeat(heartbeat, now);
  peers_[heartbeat.sender.id] = PeerHeartbeat{heartbeat, now};
  if (onHeartbeat) onHeartbeat(message);
  consensus_.tick(now);
  flush();
  replyToNewPeer(heartbeat, now);
  if (onChange) onChange();
  return HeartbeatReply{self_, heartbeat.sentAt};
}

/// Sends a heartbeat at once to a peer that hasn't heard this node yet, so that a starting node needn't wait for the
/// next period.
void ConsensusDriver::replyToNewPeer(Heartbeat const& heartbeat, TimePoint now) {
  TimePoint& extraHeartbeatSentAt = links_[heartbeat.sender.ip].extraHeartbeatSentAt;
  if (heartbeat.hears(self_) || now - extraHeartbeatSentAt <= heartbeatPeriod_ / 5) return;
  extraHeartbeatSentAt = now;
  rpc_.send(settings_.controlAddress(heartbeat.sender.ip), makeHeartbeat(heartbeat.membership, true));
}

/// A new owner sends heartbeats at once, so that other nodes forward calls to it before the next period.
void ConsensusDriver::announceNewOwnerships() {
  bool isNew = false;
  for (string const& keyspace : {string(configurationKeyspace), string(membersKeyspace)}) {
    if (!consensus_.owns(keyspace))
      announcedOwnerships_.erase(keyspace);
    else
      isNew = announcedOwnerships_.insert(keyspace).second || isNew;
  }
  if (isNew) asio::post(io_, [this] { sendHeartbeats(); });
}

void ConsensusDriver::flush() {
  std::shared_ptr<Output> const output = std::make_shared<Output>(consensus_.takeOutput());
  announceNewOwnerships();
  if (output->records.empty() && output->messages.empty() && output->outcomes.empty()) return;
  if (log_)
    for (string const& record : output->records) log_->append(record);
  bool const failing = log_ && !log_->healthy();
  // Messages that depend on a sync aren't sent while the disk fails; the peers resend their requests.
  if (output->needsSync && failing) output->messages.clear();
  if (output->needsSync && log_ && !failing)
    log_->whenSynced([this, output] { deliver(output); });
  else
    deliver(output);
}

void ConsensusDriver::deliver(std::shared_ptr<Output> output) {
  std::map<NodeId, ConsensusMessages> batches;
  vector<Message> toSelf;
  for (Message& message : output->messages) {
    if (message.to == self_)
      toSelf.push_back(std::move(message));
    else
      batches[message.to].messages.push_back(std::move(message));
  }
  for (auto const& [to, batch] : batches) {
    Member const* const member = consensus_.membership().find(to);
    if (member) rpc_.send(settings_.controlAddress(member->ip), batch);
  }
  for (OperationOutcome const& outcome : output->outcomes) {
    auto const waiter = waiters_.find(outcome.operation);
    if (waiter == waiters_.end()) continue;
    waiter->second->result = outcome.result;
    waiter->second->timer.cancel();
  }
  if (!output->outcomes.empty() && onChange) onChange();
  if (toSelf.empty()) return;
  asio::post(io_, [this, toSelf = std::move(toSelf)] {
    for (Message const& message : toSelf) consensus_.receive(message, Clock::now());
    flush();
  });
}

Task<std::optional<OperationResult>> ConsensusDriver::await(OperationId operation, Ms limit) {
  std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(io_);
  waiter->timer.expires_after(limit);
  waiters_[operation] = waiter;
  flush();
  error_code ignored;
  if (!waiter->result) co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  waiters_.erase(operation);
  co_return waiter->result;
}

Task<OperationResult> ConsensusDriver::propose(string keyspace, vector<KeyChange> changes,
                                               std::optional<Epoch> expectedEpoch) {
  Epoch const epoch = consensus_.epochOf(keyspace);
  OperationId const operation = consensus_.propose(keyspace, std::move(changes), Clock::now(), expectedEpoch);
  std::optional<OperationResult> const outcome = co_await await(operation, settings_.bounds.confirmWithin / 5);
  OperationResult const result = outcome.value_or(OperationResult::unknown);
  // A stalled disk or a suspended process can delay the outcome past the limit; the ownership is given up then.
  if (!outcome && consensus_.epochOf(keyspace) == epoch) consensus_.relinquish(keyspace);
  flush();
  bool const announceAtOnce = keyspace == configurationKeyspace || keyspace == membersKeyspace;
  if (result == OperationResult::committed && announceAtOnce) sendHeartbeats();
  co_return result;
}

Task<bool> ConsensusDriver::confirmOwnership(string keyspace, Ms limit) {
  OperationId const operation = consensus_.confirmOwnership(keyspace, Clock::now());
  std::optional<OperationResult> const result = co_await await(operation, limit);
  co_return result == OperationResult::committed;
}

Task<bool> ConsensusDriver::findKeyspace(string keyspace) {
  if (consensus_.isActive(keyspace, Clock::now())) co_return true;
  bool const isHeld = co_await survey_.isHeld(keyspace);
  if (isHeld) consensus_.useKeyspace(keyspace, Clock::now());
  co_return isHeld;
}

Task<void> ConsensusDriver::waitSynced() {
  if (log_) co_await log_->waitSynced();
}

std::optional<Address> ConsensusDriver::ownerAddress(string const& keyspace) const {
  Member const* const owner = consensus_.preferredOwner(keyspace, Clock::now());
  if (!owner) return std::nullopt;
  return settings_.controlAddress(owner->ip);
}

void ConsensusDriver::leave() {
  leaving_ = true;
  sendHeartbeats();
}

HeartbeatMessage ConsensusDriver::makeHeartbeat(MembershipNumber known, bool isExtra) {
  HeartbeatMessage message;
  message.heartbeat = consensus_.heartbeat(Clock::now());
  if (leaving_) message.heartbeat.holdsAllKeys = false;
  if (fillHeartbeat) fillHeartbeat(message, isExtra);
  if (known < consensus_.membership().number) message.membership = consensus_.membership();
  return message;
}

std::map<string, MembershipNumber> ConsensusDriver::heartbeatReceivers(TimePoint now) const {
  std::map<string, MembershipNumber> receivers;
  for (string const& ip : heartbeatTargets(consensus_.membership(), settings_.ip, settings_.seeds))
    receivers[ip] = MembershipNumber(0);
  for (auto const& [node, peer] : peers_) {
    string const& ip = peer.heartbeat.sender.ip;
    bool const recent = now - peer.receivedAt < settings_.bounds.inTouch;
    if (recent && ip != settings_.ip) receivers[ip] = peer.heartbeat.membership;
  }
  return receivers;
}

void ConsensusDriver::sendHeartbeats() {
  TimePoint const now = Clock::now();
  MembershipNumber const current = consensus_.membership().number;
  HeartbeatMessage message = makeHeartbeat(current, false);
  for (auto const& [ip, known] : heartbeatReceivers(now)) {
    message.membership = known < current ? consensus_.membership() : Membership();
    sendHeartbeat(ip, message);
  }
}

/// Heartbeats are sent as calls with a time limit, so that a dead connection is detected and reopened: most other
/// traffic on it is one-way. While a call is outstanding, heartbeats are sent one-way too.
void ConsensusDriver::sendHeartbeat(string const& ip, HeartbeatMessage const& message) {
  Address const to = settings_.controlAddress(ip);
  if (std::exchange(links_[ip].awaitsReply, true)) {
    rpc_.send(to, message);
    return;
  }
  asio::co_spawn(io_, rpc_.call(to, message, settings_.bounds.inTouch / 8),
                 [this, ip](std::exception_ptr failure, HeartbeatReply reply) {
                   links_[ip].awaitsReply = false;
                   if (!failure) consensus_.receiveEcho(reply.from, reply.sentAt, Clock::now());
                 });
}

Task<void> ConsensusDriver::tickLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 60);
    if (consensus_.setIneligibleAsOwner(log_ && !log_->healthy())) sendHeartbeats();
    consensus_.tick(Clock::now());
    flush();
  }
}

Task<void> ConsensusDriver::heartbeatLoop() {
  for (;;) {
    sendHeartbeats();
    if (onChange) onChange();
    co_await sleepFor(heartbeatPeriod_);
  }
}

}  // namespace tealshelf
