#include "lots/lot_coordinator.hpp"

namespace tealshelf {

namespace {
/// Calls that wait for one lot at most: its client's and those that the nodes sent again.
constexpr std::size_t mostWaiting = 16;
}  // namespace

LotCoordinator::LotCoordinator(asio::io_context& io, Settings const& settings, RpcClient& rpc, ConsensusDriver& driver)
    : io_(io), settings_(settings), rpc_(rpc), driver_(driver) {}

void LotCoordinator::start(RpcServer& s) {
  s.on<LotOpen>([this](LotOpen q) { return open(std::move(q)); });
  s.on<LotAccept>([this](LotAccept q) { return accept(std::move(q)); });
  s.on<LotFind>([this](LotFind q) { return find(std::move(q)); });
  s.on<LotEnd>([this](LotEnd q) { return end(std::move(q)); });
  s.on<StoreBeat>([this](StoreBeat q) { return beat(std::move(q)); });
  s.on<StoreFence>([this](StoreFence q) { return fence(std::move(q)); });
  s.on<RelyCount>([this](RelyCount q) -> Task<RelyCountReply> {
    if (std::optional<RelyCountReply> r = co_await elsewhere(q.host, q)) co_return *r;
    std::uint64_t const lots = co_await relying(q.host, q.store);
    co_return RelyCountReply{lots};
  });
  spawnTask(io_, "lot upkeep", maintain());
}

/// Hands a call to the owner of the keyspace if that is another node.
template <class Q>
Task<std::optional<typename Q::Reply>> LotCoordinator::elsewhere(string const& host, Q q) {
  driver_.consensus().addKeyspace(keyspaceOf(host));
  Ms const half(settings_.bounds.inTouch / 2);
  return forwardToOwner(driver_, rpc_, settings_.ip, keyspaceOf(host), std::move(q),
                        ForwardLimits{half, half, 2 * half});
}

std::optional<LotRecord> LotCoordinator::load(string const& host, string const& id) const {
  std::map<string, string> const& v = driver_.consensus().committedValues(keyspaceOf(host));
  std::map<string, string>::const_iterator const i = v.find(id);
  if (i == v.end()) return std::nullopt;
  return deserialize<LotRecord>(i->second);
}
Task<bool> LotCoordinator::save(LotRecord const& r) {
  string const host = r.host, id = r.id, body = serialize(r);
  vector<KeyChange> cs(1, KeyChange{id, body, false});
  // An unknown end is reported like none: the callers answer with a status that promises nothing.
  OperationResult const end = co_await driver_.propose(keyspaceOf(host), std::move(cs));
  bool const ok = end == OperationResult::committed;
  if (ok) soft_[{host, id}].rev = ++rev_;
  co_return ok;
}
Task<AsyncMutex::Lock> LotCoordinator::lock(Key k) {
  Soft& soft = soft_[k];
  if (!soft.mutex) soft.mutex.emplace(io_, mostWaiting);
  return soft.mutex->lock(Ms(settings_.bounds.inTouch / 2));
}
GenerationStamp LotCoordinator::fresh(string const& host) {
  return GenerationStamp((driver_.consensus().epochOf(keyspaceOf(host)).number << 32) | (++counter_ & 0xffffffffu));
}

bool LotCoordinator::dead(NodeId id, TimePoint now) const {
  std::map<NodeId, Seen>::const_iterator const i = stores_.find(id);
  TimePoint const at = i == stores_.end() ? started_ + Ms(settings_.bounds.catchUp / 2) : i->second.at;
  return now > at && now - at > Ms(settings_.bounds.inTouch * 3 / 10);
}
/// True if a store said that its disk takes no writes.
bool LotCoordinator::refusing(NodeId id) const {
  std::map<NodeId, Seen>::const_iterator const i = stores_.find(id);
  return i != stores_.end() && i->second.refusing;
}
vector<StoreRef> LotCoordinator::liveStores(TimePoint now) const {
  vector<StoreRef> v;
  for (std::pair<NodeId const, Seen> const& p : stores_)
    if (!p.second.leaving && !p.second.refusing && now - p.second.at <= Ms(settings_.bounds.inTouch / 4))
      v.push_back(p.second.ref);
  return v;
}
bool LotCoordinator::knownStore(string const& name) const {
  for (std::pair<NodeId const, Seen> const& p : stores_)
    if (p.second.ref.name == name) return true;
  return false;
}

/// Adds stores to the ones a lot has, in other zones first, in rendezvous order.
vector<StoreRef> LotCoordinator::choose(string const& id, std::set<NodeId> const& bar, vector<StoreRef> have,
                                        std::size_t count, TimePoint now) const {
  std::set<string> const leaving = retiring ? retiring() : std::set<string>();
  vector<StoreRef> live = liveStores(now);
  std::sort(live.begin(), live.end(), [&](StoreRef const& a, StoreRef const& b) {
    return hash64(a.name, hash64(id)) > hash64(b.name, hash64(id));
  });
  for (int pass = 0; pass < 2; ++pass)
    for (StoreRef const& s : live) {
      bool used = bar.count(s.id) || leaving.count(s.name) || barred_.count(s.name), near = false;
      for (StoreRef const& h : have) {
        used = used || h.id == s.id || h.name == s.name;
        near = near || h.zone == s.zone;
      }
      if (!used && (pass || !near) && have.size() < count) have.push_back(s);
    }
  return have;
}

/// True while a lot that was opened here may still be accepted.
bool LotCoordinator::mayAccept(Key const& k, Ms within) const {
  std::map<Key, Soft>::const_iterator const s = soft_.find(k);
  return s != soft_.end() && Clock::now() - s->second.opened < within;
}

Task<LotOpenReply> LotCoordinator::open(LotOpen q) {
  if (std::optional<LotOpenReply> r = co_await elsewhere(q.lot.host, q)) co_return *r;
  Key const k(q.lot.host, q.lot.id);
  AsyncMutex::Lock const held = co_await lock(k);
  std::optional<LotRecord> const had = load(q.lot.host, q.lot.id);
  if (had && had->state != static_cast<int>(LotState::taking)) {
    if (!co_await driver_.confirmOwnership(keyspaceOf(q.lot.host), Ms(settings_.bounds.inTouch / 3)))
      throw Error(ErrorCode::noQuorum);
    co_return LotOpenReply{true, *had};
  }
  std::int64_t const wall = wallClockMs();
  LotRecord r = q.lot;
  r.sentAt = had ? had->sentAt : wall;
  if (q.most) {
    std::uint64_t waiting = 0;
    for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspaceOf(r.host))) {
      LotRecord const o = deserialize<LotRecord>(p.second);
      if (o.id == r.id || o.route != r.route || o.state == static_cast<int>(LotState::ended)) continue;
      // A lot that was never accepted stops counting only when it can't be accepted any more.
      if (o.state == static_cast<int>(LotState::taking) && !mayAccept({o.host, o.id}, Ms(settings_.bounds.inTouch)))
        continue;
      if (opening_.count({o.host, o.id})) continue;
      std::map<Key, Soft>::const_iterator const s = soft_.find({o.host, o.id});
      std::uint64_t const done = s == soft_.end() ? 0 : s->second.doneTokens;
      waiting += o.tokens > done ? o.tokens - done : 0;
    }
    for (std::pair<Key const, Opening> const& p : opening_)
      if (p.first != k && p.second.route == r.route) waiting += p.second.tokens;
    if (waiting + r.tokens > q.most) throw Error(ErrorCode::lotOverQuota, std::to_string(waiting));
  }
  r.holders = choose(r.id, std::set<NodeId>(q.bar.begin(), q.bar.end()), {}, needed() + 1, Clock::now());
  if (r.holders.size() < needed()) throw Error(ErrorCode::noStores);
  r.state = static_cast<int>(LotState::taking);
  r.stamp = fresh(r.host);
  soft_[k].opened = Clock::now();
  opening_[k] = {r.route, r.tokens, Clock::now()};
  bool const saved = co_await save(r);
  opening_.erase(k);
  if (!saved) throw Error(ErrorCode::noQuorum);
  co_return LotOpenReply{false, r};
}

Task<Acknowledgement> LotCoordinator::accept(LotAccept q) {
  if (std::optional<Acknowledgement> r = co_await elsewhere(q.host, q)) co_return *r;
  Key const k(q.host, q.id);
  AsyncMutex::Lock const held = co_await lock(k);
  std::optional<LotRecord> r = load(q.host, q.id);
  if (!r) throw Error(ErrorCode::lotUnknown);
  if (r->state != static_cast<int>(LotState::taking)) co_return Acknowledgement{};
  if (r->stamp != q.stamp || !mayAccept(k, Ms(settings_.bounds.inTouch / 2))) throw Error(ErrorCode::staleStamp);
  r->state = static_cast<int>(LotState::accepted);
  if (!co_await save(*r)) throw Error(ErrorCode::noQuorum);
  co_return Acknowledgement{};
}

Task<LotFindReply> LotCoordinator::find(LotFind q) {
  if (std::optional<LotFindReply> r = co_await elsewhere(q.host, q)) co_return *r;
  if (!co_await driver_.confirmOwnership(keyspaceOf(q.host), Ms(settings_.bounds.inTouch / 3)))
    throw Error(ErrorCode::noQuorum);
  std::optional<LotRecord> const r = load(q.host, q.id);
  if (!r || r->state == static_cast<int>(LotState::taking)) co_return LotFindReply{false, {}};
  co_return LotFindReply{true, *r};
}

Task<LotFindReply> LotCoordinator::end(LotEnd q) {
  if (std::optional<LotFindReply> r = co_await elsewhere(q.host, q)) co_return *r;
  Key const k(q.host, q.id);
  AsyncMutex::Lock const held = co_await lock(k);
  std::optional<LotRecord> r = load(q.host, q.id);
  if (!r || r->state == static_cast<int>(LotState::taking)) {
    if (!co_await driver_.confirmOwnership(keyspaceOf(q.host), Ms(settings_.bounds.inTouch / 3)))
      throw Error(ErrorCode::noQuorum);
    co_return LotFindReply{false, {}};
  }
  r->state = static_cast<int>(LotState::ended);
  if (!co_await save(*r)) throw Error(ErrorCode::noQuorum);
  if (!r->holders.empty()) rpc_.sendRaw(r->holders[0].at, RpcMethod::startLot, serialize(*r));
  co_return LotFindReply{true, *r};
}

Task<StoreBeatReply> LotCoordinator::beat(StoreBeat q) {
  TimePoint const now = Clock::now();
  Seen& s = stores_[q.self.id];
  s.ref = q.self;
  s.at = now;
  s.leaving = q.leaving;
  s.refusing = q.refusing;
  StoreBeatReply r;
  // A store with a refusing disk serves reads on, unless others can take its lots over.
  bool const replaced = s.refusing && liveStores(now).size() >= needed();
  LeaseGrants::Word const w = grants_.beat(q.self.id, q.lease, driver_.inContactWithMajority() && !replaced, now);
  r.ok = w == LeaseGrants::Word::granted;
  r.fenced = w == LeaseGrants::Word::fenced;
  r.fencedUpTo = grants_.fencedUpTo(q.self.id);
  r.life = life_;
  r.rev = rev_;
  r.members = driver_.consensus().membership().members;
  for (LotProgress const& p : q.progress) {
    Soft& x = soft_[{p.host, p.id}];
    x.doneTokens = std::max(x.doneTokens, p.doneTokens);
    x.done = std::max(x.done, p.done);
  }
  for (Complaint const& c : q.complaints) {
    std::optional<LotRecord> const l = driver_.consensus().owns(keyspaceOf(c.host)) ? load(c.host, c.id) : std::nullopt;
    if (!l || l->stamp != c.stamp) continue;
    Soft& x = soft_[{c.host, c.id}];
    if (c.about == q.self.id)
      x.resettle = true;
    else {
      x.bad.insert(c.about);
      x.badAt = now;
    }
  }
  std::uint64_t const since = q.life == life_ ? q.rev : 0;
  for (string const& keyspace : driver_.consensus().keyspaces()) {
    if (keyspace.rfind("lots/", 0) != 0 || !driver_.consensus().owns(keyspace)) continue;
    r.owned.push_back(keyspace);
    if (ownedSince_[keyspace] != driver_.consensus().epochOf(keyspace)) {
      ownedSince_[keyspace] = driver_.consensus().epochOf(keyspace);
      ownedAt_[keyspace] = now;
      ++rev_;
      for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspace))
        soft_[{keyspace.substr(5), p.first}].rev = rev_;
      r.rev = rev_;
    }
    for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspace)) {
      Soft const& x = soft_[{keyspace.substr(5), p.first}];
      if (x.rev <= since) continue;
      r.lots.push_back(deserialize<LotRecord>(p.second));
    }
    for (ReplicaMark const& m : q.marks) {
      if (m.host != keyspace.substr(5)) continue;
      std::optional<LotRecord> const l = load(m.host, m.id);
      bool holds = false;
      if (l)
        for (StoreRef const& h : l->holders) holds = holds || h.id == q.self.id;
      if (!l || (!holds && m.stamp < l->stamp)) r.drops.push_back({m.host, m.id, l ? l->stamp : m.stamp});
    }
  }
  // Nothing is deleted on the word of an owner that may have been overtaken.
  std::set<string> asked;
  for (ReplicaMark const& m : vector<ReplicaMark>(r.drops)) {
    if (!asked.insert(m.host).second) continue;
    bool const sure = co_await driver_.confirmOwnership(keyspaceOf(m.host), Ms(settings_.bounds.inTouch / 15));
    if (!sure) std::erase_if(r.drops, [&](ReplicaMark const& d) { return d.host == m.host; });
  }
  co_return r;
}

Task<Acknowledgement> LotCoordinator::fence(StoreFence q) {
  co_return Acknowledgement{grants_.fence(q.store, Clock::now())};
}

}  // namespace tealshelf
