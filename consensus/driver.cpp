#include "consensus/driver.hpp"

#include "base/node_id.hpp"

#include "consensus/heartbeat_targets.hpp"

namespace tealshelf {

namespace {
NodeId ownIdentity(Settings const& b, bool& fresh) {
  if (!b.dataFolder.empty()) return waitForNodeId(b.dataFolder, Ms(b.bounds.inTouch / 3));
  fresh = true;
  return NodeId(randomId());
}
}  // namespace

Driver::Driver(asio::io_context& io, Settings const& settings, RpcClient& rpc)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      period_(settings.bounds.inTouch / 20),
      id_(ownIdentity(settings, fresh_)),
      consensus_(Member{id_, settings.nodeName, settings.ip, settings.zone, false, !settings.dataFolder.empty()},
                 Consensus::Times{Ms(settings.bounds.inTouch / 4), Ms(settings.bounds.inTouch / 30),
                                  Ms(settings.bounds.inTouch / 2), Ms(settings.bounds.confirmWithin / 6)},
                 randomId()) {
  if (!settings.dataFolder.empty()) {
    log_ = std::make_unique<DurableLog>(io, settings.dataFolder + "/registry", diskLimits(settings, 0.6),
                                        [this] { return consensus_.snapshot(); });
    for (string const& r : log_->recovered().records) consensus_.replay(r);
    if (log_->recovered().tornBytes)
      logWarning("consensus", "a torn tail of " + std::to_string(log_->recovered().tornBytes) + " bytes was cut");
    for (string const& c : log_->recovered().corruptions) logWarning("consensus", "synced records are lost: " + c);
    if (!log_->recovered().corruptions.empty()) consensus_.loseVote(randomId());
    log_->releaseRecovered();
  }
  consensus_.know("configuration");
  consensus_.know("members");
}

void Driver::start(RpcServer& server) {
  server.on<ConsensusMessages>([this](ConsensusMessages m) -> Task<Acknowledgement> {
    for (Message const& x : m.messages) consensus_.receive(x, Clock::now());
    pump();
    co_return Acknowledgement{};
  });
  server.on<HeartbeatMessage>([this](HeartbeatMessage m) -> Task<HeartbeatReply> {
    TimePoint const now = Clock::now();
    if (m.membership.no > consensus_.membership().no && m.membership.no.value) consensus_.install(m.membership, false);
    consensus_.heard(m.heartbeat, now);
    HeartbeatMessage& kept = others_[m.heartbeat.self.id].first;
    kept = HeartbeatMessage();
    kept.heartbeat = m.heartbeat;
    others_[m.heartbeat.self.id].second = now;
    if (onHeartbeat) {
      bool const differs = onHeartbeat(m);
      int& n = differ_[m.heartbeat.self.ip];
      n = differs ? n + 1 : 0;
    }
    consensus_.tick(now);
    pump();
    // One that doesn't hear this node yet gets a heartbeat at once, so that a start takes no whole period.
    bool const known = m.heartbeat.hears(id_);
    TimePoint& back = backAt_[m.heartbeat.self.ip];
    if (!known && now - back > period_ / 5) {
      back = now;
      rpc_.send(at(m.heartbeat.self.ip), heartbeatFor(m.heartbeat.membership, true));
    }
    if (onChange) onChange();
    co_return HeartbeatReply{id_, m.heartbeat.sent};
  });
  server.on<Hello>([this](Hello) -> Task<HelloReply> {
    co_return HelloReply{consensus_.self(), consensus_.membership(), settings_.firstBoot, !settings_.dataFolder.empty(),
                         consensus_.copied()};
  });
  server.on<CopyAll>([this](CopyAll q) -> Task<CopyReply> { co_return co_await copyFor(q); });
  server.on<JoinRequest>(
      [this](JoinRequest q) -> Task<Acknowledgement> { co_return Acknowledgement{co_await joined(q)}; });
  spawnTask(io_, "consensus tick", tickLoop());
  spawnTask(io_, "consensus heartbeat", heartbeatLoop());
  spawnTask(io_, "consensus join", joinLoop());
  spawnTask(io_, "consensus prune", pruneLoop());
}

void Driver::pump() {
  std::shared_ptr<Batch> const b = std::make_shared<Batch>(consensus_.take());
  bool updated = false;
  for (string const& s : {string("configuration"), string("members")}) {
    if (!consensus_.owns(s))
      owned_.erase(s);
    else
      updated = owned_.insert(s).second || updated;
  }
  if (updated) asio::post(io_, [this] { sendHeartbeats(); });
  if (b->records.empty() && b->messages.empty() && b->outcomes.empty()) return;
  if (log_)
    for (string const& r : b->records) log_->append(r);
  bool const refusing = log_ && !log_->healthy();
  // What a refusing disk can't back isn't said; those who wait for it ask again.
  if (b->sync && refusing) b->messages.clear();
  if (b->sync && log_ && !refusing)
    log_->whenSynced([this, b] { send(b); });
  else
    send(b);
}

void Driver::send(std::shared_ptr<Batch> b) {
  std::map<NodeId, ConsensusMessages> by;
  vector<Message> own;
  for (Message& m : b->messages) {
    if (m.to == id_)
      own.push_back(std::move(m));
    else
      by[m.to].messages.push_back(std::move(m));
  }
  for (std::pair<NodeId const, ConsensusMessages>& p : by) {
    Member const* const m = consensus_.membership().find(p.first);
    if (m) rpc_.send(at(m->ip), p.second);
  }
  for (Outcome const& o : b->outcomes) {
    std::map<std::uint64_t, std::shared_ptr<Wait>>::iterator const w = waits_.find(o.op);
    if (w == waits_.end()) continue;
    w->second->result = o.result;
    w->second->timer.cancel();
  }
  if (!b->outcomes.empty() && onChange) onChange();
  if (own.empty()) return;
  asio::post(io_, [this, own = std::move(own)] {
    for (Message const& m : own) consensus_.receive(m, Clock::now());
    pump();
  });
}

Task<std::optional<Result>> Driver::await(std::uint64_t op, Ms limit) {
  std::shared_ptr<Wait> const w = std::make_shared<Wait>(io_);
  w->timer.expires_after(limit);
  waits_[op] = w;
  pump();
  error_code e;
  if (!w->result) co_await w->timer.async_wait(asio::redirect_error(asio::use_awaitable, e));
  waits_.erase(op);
  co_return w->result;
}
Task<Result> Driver::propose(string keyspace, vector<Consensus::Change> changes) {
  Epoch const epoch = consensus_.epochOf(keyspace);
  std::uint64_t const op = consensus_.propose(keyspace, std::move(changes), Clock::now());
  std::optional<Result> const end = co_await await(op, Ms(settings_.bounds.confirmWithin / 5));
  Result const r = end.value_or(Result::unknown);
  // Where a stalled disk or a freeze kept the consensus from ending it, the keyspace is given up here.
  if (!end && consensus_.epochOf(keyspace) == epoch) consensus_.giveUp(keyspace);
  pump();
  if (r == Result::committed && (keyspace == "configuration" || keyspace == "members")) sendHeartbeats();
  co_return r;
}
Task<bool> Driver::confirm(string keyspace, Ms limit) {
  std::optional<Result> const r = co_await await(consensus_.confirm(keyspace, Clock::now()), limit);
  co_return r == Result::committed;
}

std::optional<Address> Driver::ownerOf(string const& keyspace) const {
  Member const* const m = consensus_.wanted(keyspace, Clock::now());
  if (!m) return std::nullopt;
  return at(m->ip);
}

HeartbeatMessage Driver::heartbeatFor(MembershipNumber theirs, bool full) {
  HeartbeatMessage m;
  m.heartbeat = consensus_.heartbeat(Clock::now());
  if (leaving_) m.heartbeat.copied = false;
  if (fillHeartbeat) fillHeartbeat(m, full);
  if (theirs < consensus_.membership().no) m.membership = consensus_.membership();
  return m;
}

void Driver::sendHeartbeats() {
  TimePoint const now = Clock::now();
  ++heartbeats_;
  HeartbeatMessage m = heartbeatFor(consensus_.membership().no, false);
  std::optional<HeartbeatMessage> whole;
  std::map<string, MembershipNumber> to;
  for (string const& ip : heartbeatTargets(consensus_.membership(), settings_.ip, settings_.seeds))
    to[ip] = MembershipNumber(0);
  for (std::pair<NodeId const, std::pair<HeartbeatMessage, TimePoint>> const& o : others_) {
    string const& ip = o.second.first.heartbeat.self.ip;
    if (now - o.second.second < Ms(settings_.bounds.inTouch) && ip != settings_.ip)
      to[ip] = o.second.first.heartbeat.membership;
  }
  for (std::pair<string const, MembershipNumber> const& p : to) {
    // The whole register goes to those that lately had another one, and to all after a start.
    bool const full = differ_[p.first] >= 2 || now - started_ < Ms(settings_.bounds.inTouch / 2);
    if (full) differ_[p.first] = 0;
    if (full && !whole) whole = heartbeatFor(consensus_.membership().no, true);
    HeartbeatMessage& x = full ? *whole : m;
    x.membership = p.second < consensus_.membership().no ? consensus_.membership() : Membership();
    sendHeartbeat(p.first, x);
  }
}

/// A heartbeat wants an answer, so that a connection on which nothing comes through is found and opened
/// anew, even where all else that goes over it is told without waiting.
void Driver::sendHeartbeat(string const& ip, HeartbeatMessage const& m) {
  if (!awaitingHeartbeat_.insert(ip).second) {
    rpc_.send(at(ip), m);
    return;
  }
  asio::co_spawn(io_, rpc_.call(at(ip), m, Ms(settings_.bounds.inTouch / 8)),
                 [this, ip](std::exception_ptr x, HeartbeatReply r) {
                   awaitingHeartbeat_.erase(ip);
                   if (!x) consensus_.echoed(r.from, r.sent, Clock::now());
                 });
}

Task<void> Driver::tickLoop() {
  for (;;) {
    co_await sleepFor(Ms(settings_.bounds.inTouch / 60));
    if (consensus_.abstain(log_ && !log_->healthy())) sendHeartbeats();
    consensus_.tick(Clock::now());
    pump();
  }
}
Task<void> Driver::heartbeatLoop() {
  for (;;) {
    sendHeartbeats();
    if (onChange) onChange();
    co_await sleepFor(period_);
  }
}

}  // namespace tealshelf
