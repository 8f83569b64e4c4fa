#include "tallies/tally_store.hpp"

#include "base/json_fields.hpp"
#include "wire/tasks.hpp"

namespace tealshelf {

namespace {
/// The fraction of the disk space that the log of tallies may use.
constexpr double tallyLogShare = 0.2;

/// A tick is 1/80 of inTouch, so a peer counts as unreachable after 1/8 of inTouch, and a process that heard no
/// majority acts alone after inTouch.
constexpr int ticksUntilUnreachable = 10, ticksUntilIsolated = 80;

TallyTiming timingFor(Bounds const& bounds) {
  // As long as a caller may query the state of its lot, and longer than any caller retries a call.
  Ms const retention = 30 * bounds.statusEvery;
  return {ticksUntilUnreachable, ticksUntilIsolated,     bounds.inTouch / 16,
          bounds.inTouch / 8,    bounds.statusEvery / 2, retention};
}

TallyDurability durabilityFor(Settings const& settings) {
  return {static_cast<std::size_t>(settings.surviveMachines) + 1, static_cast<std::size_t>(settings.surviveZones) + 1};
}

/// All members converge within `merge`; a node that was removed may need `inTouch` more to reach one.
Ms lossTimeoutFor(Bounds const& bounds) {
  return bounds.merge + bounds.inTouch;
}
}  // namespace

TallyStore::TallyStore(asio::io_context& io, Settings const& settings, RpcClient& rpc, NodeId self)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      replica_(self, timingFor(settings.bounds), durabilityFor(settings)),
      session_(lossTimeoutFor(settings.bounds)) {
  if (!settings.dataFolder.empty()) replayLog();
  if (!replica_.hasOrigin()) replica_.beginOrigin(OriginId(randomId()));
  sampler_ = metrics().sample([this] { metrics_.sample(replica_); });
}

void TallyStore::replayLog() {
  log_ = std::make_unique<DurableLog>(io_, settings_.dataFolder + "/tallies", diskLimits(settings_, tallyLogShare),
                                      [this] { return replica_.snapshot(); });
  RecoveredLog const& recovered = log_->recovered();
  for (string const& record : recovered.records) replica_.replay(record);
  for (string const& place : recovered.corruptions)
    logWarning("tallies", "the log of tallies lost synced records: " + place +
                              "; a new log of this node's additions is begun and peers send what is missing");
  // The lost records may include sequence numbers that peers have seen.
  if (!recovered.corruptions.empty()) replica_.beginOrigin(OriginId(randomId()));
  log_->releaseRecovered();
}

void TallyStore::start(RpcServer& server) {
  server.on<TallyPush>([this](TallyPush push) -> Task<TallyPushReply> { return answerPush(std::move(push)); });
  flush();
  spawnTask(io_, "tallies", tickLoop());
}

Task<VersionVector> TallyStore::add(string tally, string callerId, std::int64_t change, TimePoint end) {
  if (!isServing()) throw Error(ErrorCode::notReady, "tallies");
  if (log_ && !log_->healthy()) throw Error(ErrorCode::diskUnavailable);
  if (log_ && replica_.table().storedSize() > log_->limits().maxStateSize()) {
    metrics_.refused.increment();
    throw Error(ErrorCode::talliesFull);
  }
  AddKey const key = addKeyOf(tally, callerId);
  TallyTable::AddOutcome const outcome = replica_.add(TallyAdd{std::move(tally), key, change, wallClockMs()});
  if (outcome.result == TallyTable::AddResult::conflicting) {
    metrics_.refused.increment();
    throw Error(ErrorCode::conflictingAddition, callerId);
  }
  (outcome.result == TallyTable::AddResult::added ? metrics_.added : metrics_.repeated).increment();
  flush();
  if (outcome.position) co_await waitUntilDurable(*outcome.position, end);
  VersionVector const including = replica_.including(outcome.position);
  session_.noteAcknowledged(including);
  co_return including;
}

Task<void> TallyStore::waitUntilDurable(AddPosition position, TimePoint end) {
  std::shared_ptr<Waiter> const waiter = std::make_shared<Waiter>(io_, position);
  waiter->isDurable = replica_.isDurable(position);
  if (!waiter->isDurable) {
    waiter->timer.expires_at(end);
    waiters_.push_back(waiter);
    sendPushes();
    error_code ignored;
    co_await waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(waiters_, waiter);
  }
  if (!waiter->isDurable) {
    metrics_.undecided.increment();
    throw Error(ErrorCode::additionUndecided);
  }
  if (!replica_.hasAllCopies(position)) metrics_.withFewerCopies.increment();
}

TallyTotal TallyStore::total(string const& tally) const {
  if (!isServing()) throw Error(ErrorCode::notReady, "tallies");
  return replica_.table().total(tally);
}

void TallyStore::noteSessionUnmet(TallySurvey const& survey) {
  metrics_.unmetReads.increment();
  std::size_t const lost = session_.noteUnmet(survey, Clock::now());
  if (!lost) return;
  metrics_.lostOrigins.increment(lost);
  logWarning("tallies", "all members lack additions of " + std::to_string(lost) +
                            " lost logs that this node acknowledged; reads no longer wait for them");
}

void TallyStore::setMembership(Membership const& membership) {
  if (installed_ == membership.number) return;
  installed_ = membership.number;
  replica_.setMembers(membership.members);
  sendPushes();
}

void TallyStore::noteHeartbeat(NodeId from, std::uint64_t digest) {
  replica_.noteHeartbeat(from, digest, Clock::now());
  sendPushes();
}

void TallyStore::flush() {
  vector<string> const records = replica_.takeRecords();
  VersionVector const known = replica_.known();
  if (!log_) {
    replica_.noteSynced(known);
    wakeWaiters();
    sendPushes();
    return;
  }
  for (string const& record : records) log_->append(record);
  // Records replayed from an earlier process count as synced only after another sync.
  if (records.empty() && replica_.hasSynced()) return;
  log_->whenSynced([this, known] {
    replica_.noteSynced(known);
    wakeWaiters();
    sendPushes();
  });
}

void TallyStore::sendPushes() {
  std::set<OriginId> awaited;
  for (std::shared_ptr<Waiter> const& waiter : waiters_) awaited.insert(waiter->position.origin);
  replica_.setAwaited(std::move(awaited));
  for (OutgoingPush& push : replica_.takePushes(Clock::now())) send(std::move(push));
}

void TallyStore::send(OutgoingPush push) {
  Address const to = settings_.controlAddress(push.to.ip);
  NodeId const peer = push.to.id;
  asio::co_spawn(io_, rpc_.call(to, push.push, settings_.bounds.inTouch / 8),
                 [this, peer](std::exception_ptr failure, TallyPushReply reply) {
                   if (failure) {
                     metrics_.failedPushes.increment();
                     replica_.noteFailure(peer, Clock::now());
                     return;
                   }
                   metrics_.pushes.increment();
                   replica_.receive(reply, Clock::now());
                   wakeWaiters();
                   sendPushes();
                 });
}

void TallyStore::wakeWaiters() {
  for (std::shared_ptr<Waiter> const& waiter : waiters_) {
    if (waiter->isDurable || !replica_.isDurable(waiter->position)) continue;
    waiter->isDurable = true;
    waiter->timer.cancel();
  }
}

Task<TallyPushReply> TallyStore::answerPush(TallyPush push) {
  replica_.receive(push);
  flush();
  if (log_) co_await log_->waitSynced();
  co_return replica_.replyTo(push);
}

Task<void> TallyStore::tickLoop() {
  for (;;) {
    co_await sleepFor(tickPeriod());
    replica_.tick(wallClockMs());
    wakeWaiters();
    sendPushes();
  }
}

string TallyStore::report() const {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writeField(writer, "node", settings_.nodeName);
  writer.Key("serving");
  writer.Bool(isServing());
  writeField(writer, "recent", replica_.table().recentCount());
  writeField(writer, "remembered", replica_.table().rememberedCount());
  writer.Key("tallies");
  writer.StartArray();
  for (auto const& [tally, total] : replica_.table().totals()) {
    writer.StartObject();
    writeField(writer, "tally", tally);
    writeField(writer, "total", textOf(total));
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("peers");
  writer.StartArray();
  for (auto const& [id, peer] : replica_.peers()) {
    writer.StartObject();
    writeField(writer, "node", peer.member.name);
    writer.Key("reachable");
    writer.Bool(replica_.isReachable(peer));
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}

}  // namespace tealshelf
