#include "lots/keeper.hpp"

namespace tealshelf {

LotKeeper::LotKeeper(asio::io_context& io, Boot const& boot, Rpc& rpc, Driver& driver)
    : io_(io), boot_(boot), rpc_(rpc), driver_(driver) {}

void LotKeeper::start(RpcServer& s) {
  s.on<LotOpen>([this](LotOpen q) { return open(std::move(q)); });
  s.on<LotAccept>([this](LotAccept q) { return accept(std::move(q)); });
  s.on<LotFind>([this](LotFind q) { return find(std::move(q)); });
  s.on<LotEnd>([this](LotEnd q) { return end(std::move(q)); });
  s.on<StoreBeat>([this](StoreBeat q) { return beat(std::move(q)); });
  s.on<StoreFence>([this](StoreFence q) { return fence(std::move(q)); });
  s.on<RelyCount>([this](RelyCount q) -> Task<RelyCountReply> {
    if (std::optional<RelyCountReply> r = co_await elsewhere(q.host, q)) co_return *r;
    if (!co_await driver_.confirm(shelfOf(q.host), Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
    RelyCountReply n;
    for (std::pair<string const, string> const& p : driver_.reg().view(shelfOf(q.host)))
      for (StoreRef const& h : unpacked<LotRecord>(p.second).holders)
        if (h.name == q.store) ++n.lots;
    co_return n;
  });
  spawn(io_, "lot upkeep", maintain());
}

/// Hands a call to the owner of the shelf if that is another node.
template <class Q>
Task<std::optional<typename Q::Reply>> LotKeeper::elsewhere(string const& host, Q q) {
  string const shelf = shelfOf(host);
  driver_.reg().know(shelf);
  Moment const until = Clock::now() + Ms(boot_.bounds.inTouch / 2);
  while (!driver_.reg().owns(shelf)) {
    std::optional<Addr> const o = driver_.ownerOf(shelf);
    if (o && o->ip != boot_.ip && q.hops < 2) {
      ++q.hops;
      co_return co_await rpc_.ask(*o, q, Ms(boot_.bounds.inTouch / 2));
    }
    if (Clock::now() > until) throw Error(Code::noOwner);
    co_await pause(Ms(boot_.bounds.inTouch / 100));
  }
  co_return std::nullopt;
}

std::optional<LotRecord> LotKeeper::load(string const& host, string const& id) const {
  std::map<string, string> const& v = driver_.reg().view(shelfOf(host));
  std::map<string, string>::const_iterator const i = v.find(id);
  if (i == v.end()) return std::nullopt;
  return unpacked<LotRecord>(i->second);
}
Task<bool> LotKeeper::save(LotRecord const& r) {
  string const host = r.host, id = r.id, body = packed(r);
  vector<Registry::Change> cs(1, Registry::Change{id, body, false});
  bool const ok = co_await driver_.propose(shelfOf(host), std::move(cs));
  if (ok) soft_[{host, id}].rev = ++rev_;
  co_return ok;
}
Task<void> LotKeeper::lock(Key k) {
  while (soft_[k].locked) co_await pause(Ms(3));
  soft_[k].locked = true;
}
Stamp LotKeeper::fresh(string const& host) {
  return Stamp((driver_.reg().epochOf(shelfOf(host)).n << 32) | (++counter_ & 0xffffffffu));
}

bool LotKeeper::dead(Identity id, Moment now) const {
  std::map<Identity, Seen>::const_iterator const i = stores_.find(id);
  Moment const at = i == stores_.end() ? started_ + Ms(boot_.bounds.catchUp / 2) : i->second.at;
  return now > at && now - at > Ms(boot_.bounds.inTouch * 3 / 10);
}
vector<StoreRef> LotKeeper::liveStores(Moment now) const {
  vector<StoreRef> v;
  for (std::pair<Identity const, Seen> const& p : stores_)
    if (!p.second.leaving && now - p.second.at <= Ms(boot_.bounds.inTouch / 4)) v.push_back(p.second.ref);
  return v;
}
bool LotKeeper::knownStore(string const& name) const {
  for (std::pair<Identity const, Seen> const& p : stores_)
    if (p.second.ref.name == name) return true;
  return false;
}

/// Adds stores to the ones a lot has, in other zones first, in rendezvous order.
vector<StoreRef> LotKeeper::choose(string const& id, std::set<Identity> const& bar, vector<StoreRef> have,
                                   std::size_t count, Moment now) const {
  std::set<string> const leaving = retiring ? retiring() : std::set<string>();
  vector<StoreRef> live = liveStores(now);
  std::sort(live.begin(), live.end(), [&](StoreRef const& a, StoreRef const& b) {
    return hashOf(a.name, hashOf(id)) > hashOf(b.name, hashOf(id));
  });
  for (int pass = 0; pass < 2; ++pass)
    for (StoreRef const& s : live) {
      bool used = bar.count(s.id) || leaving.count(s.name), near = false;
      for (StoreRef const& h : have) {
        used = used || h.id == s.id || h.name == s.name;
        near = near || h.zone == s.zone;
      }
      if (!used && (pass || !near) && have.size() < count) have.push_back(s);
    }
  return have;
}

/// True while a lot that was opened here may still be accepted.
bool LotKeeper::mayAccept(Key const& k, Ms within) const {
  std::map<Key, Soft>::const_iterator const s = soft_.find(k);
  return s != soft_.end() && Clock::now() - s->second.opened < within;
}

Task<LotOpenReply> LotKeeper::open(LotOpen q) {
  if (std::optional<LotOpenReply> r = co_await elsewhere(q.lot.host, q)) co_return *r;
  Key const k(q.lot.host, q.lot.id);
  co_await lock(k);
  struct Unlock {
    LotKeeper* k;
    Key key;
    ~Unlock() { k->unlock(key); }
  } const u{this, k};
  std::optional<LotRecord> const had = load(q.lot.host, q.lot.id);
  if (had && had->state != static_cast<int>(LotState::taking)) {
    if (!co_await driver_.confirm(shelfOf(q.lot.host), Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
    co_return LotOpenReply{true, *had};
  }
  std::int64_t const wall = wallMs();
  LotRecord r = q.lot;
  r.sentAt = had ? had->sentAt : wall;
  if (q.most) {
    std::uint64_t waiting = 0;
    for (std::pair<string const, string> const& p : driver_.reg().view(shelfOf(r.host))) {
      LotRecord const o = unpacked<LotRecord>(p.second);
      if (o.id == r.id || o.route != r.route || o.state == static_cast<int>(LotState::ended)) continue;
      // A lot that was never accepted stops counting only when it can't be accepted any more.
      if (o.state == static_cast<int>(LotState::taking) && !mayAccept({o.host, o.id}, Ms(boot_.bounds.inTouch)))
        continue;
      if (opening_.count({o.host, o.id})) continue;
      std::map<Key, Soft>::const_iterator const s = soft_.find({o.host, o.id});
      std::uint64_t const done = s == soft_.end() ? 0 : s->second.doneTokens;
      waiting += o.tokens > done ? o.tokens - done : 0;
    }
    for (std::pair<Key const, std::pair<string, std::uint64_t>> const& p : opening_)
      if (p.first != k && p.second.first == r.route) waiting += p.second.second;
    if (waiting + r.tokens > q.most) throw Error(Code::lotOverQuota, std::to_string(waiting));
  }
  r.holders = choose(r.id, std::set<Identity>(q.bar.begin(), q.bar.end()), {}, needed() + 1, Clock::now());
  if (r.holders.size() < needed()) throw Error(Code::noStores);
  r.state = static_cast<int>(LotState::taking);
  r.stamp = fresh(r.host);
  soft_[k].opened = Clock::now();
  opening_[k] = {r.route, r.tokens};
  bool const saved = co_await save(r);
  opening_.erase(k);
  if (!saved) throw Error(Code::noQuorum);
  co_return LotOpenReply{false, r};
}

Task<Done> LotKeeper::accept(LotAccept q) {
  if (std::optional<Done> r = co_await elsewhere(q.host, q)) co_return *r;
  Key const k(q.host, q.id);
  co_await lock(k);
  struct Unlock {
    LotKeeper* k;
    Key key;
    ~Unlock() { k->unlock(key); }
  } const u{this, k};
  std::optional<LotRecord> r = load(q.host, q.id);
  if (!r) throw Error(Code::lotUnknown);
  if (r->state != static_cast<int>(LotState::taking)) co_return Done{};
  if (r->stamp != q.stamp || !mayAccept(k, Ms(boot_.bounds.inTouch / 2))) throw Error(Code::staleStamp);
  r->state = static_cast<int>(LotState::accepted);
  if (!co_await save(*r)) throw Error(Code::noQuorum);
  co_return Done{};
}

Task<LotFindReply> LotKeeper::find(LotFind q) {
  if (std::optional<LotFindReply> r = co_await elsewhere(q.host, q)) co_return *r;
  if (!co_await driver_.confirm(shelfOf(q.host), Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
  std::optional<LotRecord> const r = load(q.host, q.id);
  if (!r || r->state == static_cast<int>(LotState::taking)) co_return LotFindReply{false, {}};
  co_return LotFindReply{true, *r};
}

Task<LotFindReply> LotKeeper::end(LotEnd q) {
  if (std::optional<LotFindReply> r = co_await elsewhere(q.host, q)) co_return *r;
  Key const k(q.host, q.id);
  co_await lock(k);
  struct Unlock {
    LotKeeper* k;
    Key key;
    ~Unlock() { k->unlock(key); }
  } const u{this, k};
  std::optional<LotRecord> r = load(q.host, q.id);
  if (!r || r->state == static_cast<int>(LotState::taking)) {
    if (!co_await driver_.confirm(shelfOf(q.host), Ms(boot_.bounds.inTouch / 3))) throw Error(Code::noQuorum);
    co_return LotFindReply{false, {}};
  }
  r->state = static_cast<int>(LotState::ended);
  if (!co_await save(*r)) throw Error(Code::noQuorum);
  if (!r->holders.empty()) rpc_.cast(r->holders[0].at, Method::lotStart, packed(*r));
  co_return LotFindReply{true, *r};
}

Task<StoreBeatReply> LotKeeper::beat(StoreBeat q) {
  Moment const now = Clock::now();
  Seen& s = stores_[q.self.id];
  s.ref = q.self;
  s.at = now;
  s.leaving = q.leaving;
  StoreBeatReply r;
  LeaseGrants::Word const w = grants_.beat(q.self.id, q.lease, driver_.healthy(), now);
  r.ok = w == LeaseGrants::Word::granted;
  r.fenced = w == LeaseGrants::Word::fenced;
  r.life = life_;
  r.rev = rev_;
  r.members = driver_.reg().group().members;
  for (LotProgress const& p : q.progress) {
    Soft& x = soft_[{p.host, p.id}];
    x.doneTokens = std::max(x.doneTokens, p.doneTokens);
    x.done = std::max(x.done, p.done);
  }
  for (Complaint const& c : q.complaints) {
    std::optional<LotRecord> const l = driver_.reg().owns(shelfOf(c.host)) ? load(c.host, c.id) : std::nullopt;
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
  for (string const& shelf : driver_.reg().shelves()) {
    if (shelf.rfind("lots/", 0) != 0 || !driver_.reg().owns(shelf)) continue;
    r.owned.push_back(shelf);
    if (ownedSince_[shelf] != driver_.reg().epochOf(shelf)) {
      ownedSince_[shelf] = driver_.reg().epochOf(shelf);
      ownedAt_[shelf] = now;
      ++rev_;
      for (std::pair<string const, string> const& p : driver_.reg().view(shelf))
        soft_[{shelf.substr(5), p.first}].rev = rev_;
      r.rev = rev_;
    }
    for (std::pair<string const, string> const& p : driver_.reg().view(shelf)) {
      Soft const& x = soft_[{shelf.substr(5), p.first}];
      if (x.rev <= since) continue;
      r.lots.push_back(unpacked<LotRecord>(p.second));
    }
    for (ReplicaMark const& m : q.marks) {
      if (m.host != shelf.substr(5)) continue;
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
    bool const sure = co_await driver_.confirm(shelfOf(m.host), Ms(boot_.bounds.inTouch / 15));
    if (!sure) std::erase_if(r.drops, [&](ReplicaMark const& d) { return d.host == m.host; });
  }
  co_return r;
}

Task<Done> LotKeeper::fence(StoreFence q) {
  co_return Done{grants_.fence(q.store, Clock::now())};
}

}  // namespace tealshelf
