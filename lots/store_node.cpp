#include "lots/store_node.hpp"

#include "base/node_id.hpp"

namespace tealshelf {

StoreNode::StoreNode(asio::io_context& io, Settings const& settings)
    : io_(io),
      settings_(settings),
      rpc_(io, Ms(settings.bounds.inTouch / 2)),
      server_(io, settings.storeAddress(settings.ip), Ms(settings.bounds.inTouch / 2)),
      view_(io, settings, rpc_, "store", settings.storeAddress(settings.ip)),
      pools_(io, settings),
      balance_(settings),
      id_(waitForNodeId(settings.dataFolder, Ms(settings.bounds.inTouch / 3))),
      self_{id_, settings.nodeName, settings.zone, settings.storeAddress(settings.ip)},
      log_(io, settings.dataFolder + "/segments", diskLimits(settings, 0.9), [this] { return replicas_.snapshot(); }),
      lease_(static_cast<std::uint64_t>(wallClockMs())),
      work_(io),
      flushes_(io) {
  meanRun_ = static_cast<double>(8 * settings.bounds.step.count());
  for (string const& r : log_.recovered().records) replicas_.replay(r);
  if (log_.recovered().tornBytes)
    logWarning("segments", "a torn tail of " + std::to_string(log_.recovered().tornBytes) + " bytes was cut");
  for (string const& c : log_.recovered().corruptions) logWarning("segments", "synced records are lost: " + c);
  if (!log_.recovered().corruptions.empty()) replicas_.doubtAll();
  log_.releaseRecovered();
}

void StoreNode::start() {
  server_.on<SegCreate>([this](SegCreate q) { return create(std::move(q)); });
  server_.on<SegAppend>([this](SegAppend q) { return append(std::move(q)); });
  server_.on<SegInspect>([this](SegInspect q) { return inspect(std::move(q)); });
  server_.on<SegSettle>([this](SegSettle q) { return settle(std::move(q)); });
  server_.on<SegCopy>([this](SegCopy q) { return copy(std::move(q)); });
  server_.on<SegFetch>([this](SegFetch q) { return fetch(std::move(q)); });
  server_.on<SegConfirm>([this](SegConfirm q) { return confirm(std::move(q)); });
  server_.on<SegRead>([this](SegRead q) { return read(std::move(q)); });
  server_.on<SegItem>([this](SegItem q) { return item(std::move(q)); });
  server_.onRaw(RpcMethod::startLot, [this](string b) -> Task<string> {
    want(deserialize<LotRecord>(b));
    reconcile();
    co_return "";
  });
  view_.onUpdate = [this] { work_.cancel(); };
  view_.start(server_);
  server_.start();
  spawnTask(io_, "store beat", beatLoop());
  spawnTask(io_, "dispatch", dispatchLoop());
  spawnTask(io_, "flush", flushLoop());
  spawnTask(io_, "sweep", sweepLoop());
  logInfo("store", settings_.nodeName + " holds " + std::to_string(replicas_.all().size()) + " replicas");
}
void StoreNode::stop() {
  stopping_ = true;
}

void StoreNode::persist() {
  for (string& r : replicas_.take()) log_.append(std::move(r));
}
Task<void> StoreNode::synced() {
  persist();
  co_await log_.waitSynced();
}

void StoreNode::needDisk() const {
  if (!log_.healthy()) throw Error(ErrorCode::diskUnavailable, std::strerror(log_.lastError()));
}
void StoreNode::needRoom(LotRecord const& lot) const {
  needDisk();
  if (log_.overBudget() && !replicas_.find(lot.host, lot.id))
    throw Error(ErrorCode::diskUnavailable, "the replicas fill its part");
}

/// True while a majority of the control nodes granted this store its lease.
bool StoreNode::hasLease() const {
  std::size_t n = 0;
  TimePoint const now = Clock::now();
  for (Member const& m : members_) {
    std::map<Address, Control>::const_iterator const c = controls_.find(settings_.controlAddress(m.ip));
    if (c != controls_.end() && now - c->second.held < Ms(settings_.bounds.inTouch / 5)) ++n;
  }
  return !members_.empty() && n >= members_.size() / 2 + 1;
}

Task<void> StoreNode::beatLoop() {
  std::uint64_t turn = 0;
  for (;;) {
    for (Address const& a : view_.controls()) {
      Control& c = controls_[a];
      if (!c.asking) spawnTask(io_, "beat", beat(a, turn % 6 == 0));
    }
    reconcile();
    ++turn;
    co_await sleepFor(Ms(settings_.bounds.inTouch / 18));
  }
}

Task<void> StoreNode::beat(Address at, bool marks) {
  Control& c = controls_[at];
  c.asking = true;
  StoreBeat q;
  q.self = self_;
  q.lease = lease_;
  q.life = c.life;
  q.rev = c.rev;
  q.counts = settings_.countsAsLoss;
  q.leaving = stopping_;
  q.refusing = !log_.healthy();
  if (marks) q.marks = replicas_.marks();
  TimePoint const now = Clock::now();
  for (std::pair<Key const, RunPtr> const& p : runs_) {
    LotRun const& r = *p.second;
    if (!r.over) q.progress.push_back({r.lot.host, r.lot.id, r.lot.stamp, r.doneTokens, r.listed});
    for (NodeId const& b : r.bad) q.complaints.push_back({r.lot.host, r.lot.id, r.lot.stamp, b});
    if (r.resettle) q.complaints.push_back({r.lot.host, r.lot.id, r.lot.stamp, id_});
  }
  for (std::pair<Key const, std::pair<GenerationStamp, TimePoint>> const& p : odd_)
    if (now - p.second.second > Ms(settings_.bounds.inTouch / 12))
      q.complaints.push_back({p.first.first, p.first.second, p.second.first, id_});
  try {
    StoreBeatReply const r = co_await rpc_.call(at, q, Ms(settings_.bounds.inTouch / 5));
    members_ = r.members;
    if (r.ok && q.lease == lease_) c.held = now;
    if (r.fenced && q.lease == lease_) renewLease(r.fencedUpTo);
    if (c.life != r.life) {
      c.life = r.life;
      c.rev = 0;
      if (q.life != 0) {
        c.asking = false;
        co_return;
      }
    }
    for (LotRecord const& l : r.lots) want(l);
    c.rev = std::max(c.rev, r.rev);
    for (ReplicaMark const& m : r.drops) {
      if (!replicas_.drop(m.host, m.id, m.stamp)) continue;
      drop({m.host, m.id});
      logInfo("segments", "the replica of " + m.id + " is stale and deleted");
    }
    persist();
    log_.flush();
    reconcile();
  } catch (Error const& x) {
    logDebug("store", x.what());
  }
  c.asking = false;
}

/// The lease was fenced: a new one is asked for, and every lot run here must be settled anew first.
void StoreNode::renewLease(std::uint64_t fencedUpTo) {
  // The time of day may have been set back since the former lease.
  lease_ = std::max(lease_, fencedUpTo) + 1;
  for (std::pair<Address const, Control>& p : controls_) p.second.held = TimePoint();
  for (std::pair<Key const, RunPtr>& p : runs_) {
    p.second->stalled = true;
    replicas_.doubt(p.first.first, p.first.second);
  }
  logInfo("store", "the lease was fenced; a new one is asked for");
}

void StoreNode::want(LotRecord const& l) {
  ages_.learn({l.host, l.id}, Clock::now());
  LotRecord& w = wanted_[{l.host, l.id}];
  if (w.stamp.value && (l.stamp < w.stamp || (l.stamp == w.stamp && l.state < w.state))) return;
  w = l;
}

void StoreNode::drop(Key const& k) {
  if (std::map<Key, RunPtr>::iterator const i = runs_.find(k); i != runs_.end()) {
    i->second->over = true;
    for (std::shared_ptr<asio::steady_timer> const& t : i->second->readers) t->cancel();
    runs_.erase(i);
  }
  wanted_.erase(k);
  ages_.forget(k);
  odd_.erase(k);
}

/// Brings what runs here to what the coordinators want.
void StoreNode::reconcile() {
  TimePoint const now = Clock::now();
  for (std::pair<Key const, LotRecord> const& p : wanted_) {
    LotRecord const& l = p.second;
    if (l.state == static_cast<int>(LotState::taking)) continue;
    std::map<Key, RunPtr>::iterator const i = runs_.find(p.first);
    if (l.holders.empty() || l.holders[0].id != id_) {
      bool holder = false;
      for (StoreRef const& h : l.holders) holder = holder || h.id == id_;
      // A copy may still be on its way here; then nothing is amiss.
      std::pair<GenerationStamp, TimePoint>& o = odd_[p.first];
      if (!holder || replicas_.holds(l.host, l.id, l.stamp))
        odd_.erase(p.first);
      else if (o.first != l.stamp)
        o = {l.stamp, now + Ms(settings_.bounds.inTouch / 4)};
      if (i != runs_.end()) {
        i->second->over = true;
        for (std::shared_ptr<asio::steady_timer> const& t : i->second->readers) t->cancel();
        runs_.erase(i);
      }
      continue;
    }
    Replicas::Replica const* const r = replicas_.find(l.host, l.id);
    if (!r || r->lot.stamp != l.stamp || !r->since || r->frozen || !r->whole) {
      std::pair<GenerationStamp, TimePoint>& o = odd_[p.first];
      if (o.first != l.stamp) o = {l.stamp, now};
      continue;
    }
    odd_.erase(p.first);
    if (i == runs_.end() || i->second->lot.stamp != l.stamp)
      adopt(l);
    else if (i->second->lot.state != l.state) {
      i->second->lot.state = l.state;
      for (std::shared_ptr<asio::steady_timer> const& t : i->second->readers) t->cancel();
    }
  }
}

/// Starts or goes on with a lot under the stamp that its replicas were settled to.
void StoreNode::adopt(LotRecord const& l) {
  Key const k(l.host, l.id);
  Replicas::Replica const& r = replicas_.read(l.host, l.id, l.stamp);
  RunPtr& run = runs_[k];
  vector<ResultRecord> kept;
  if (!run) {
    run = std::make_shared<LotRun>();
    run->items = deserialize<vector<ItemRecord>>(r.items);
    run->states.assign(run->items.size(), LotRun::queued);
    run->fails.assign(run->items.size(), 0);
    for (ItemRecord const& x : run->items) run->ids.push_back(x.id);
  }
  std::set<std::uint32_t> on;
  for (string const& s : r.results) {
    ResultRecord x = deserialize<ResultRecord>(s);
    on.insert(x.item);
  }
  std::deque<ResultRecord> again;
  for (ResultRecord& x : run->pending)
    if (!on.count(x.item)) again.push_back(std::move(x));
  run->pending = std::move(again);
  std::set<std::uint32_t> ready;
  for (ResultRecord const& x : run->pending) ready.insert(x.item);
  run->doneTokens = 0;
  bool cutBack = false;
  for (std::uint32_t n = 0; n < run->states.size(); ++n) {
    bool const d = on.count(n) || ready.count(n);
    if (d) {
      run->states[n] = LotRun::done;
      run->doneTokens += run->items[n].tokens;
    } else if (run->states[n] == LotRun::done) {
      run->states[n] = LotRun::queued;
      cutBack = true;
    }
  }
  // An item whose result was cut runs once more; its body was let go and is read again.
  if (cutBack) run->items = deserialize<vector<ItemRecord>>(r.items);
  run->next = 0;
  run->lot = l;
  run->listed = r.results.size();
  run->stalled = false;
  run->resettle = false;
  run->bad.clear();
  for (std::shared_ptr<asio::steady_timer> const& t : run->readers) t->cancel();
  work_.cancel();
  flushes_.cancel();
}

Task<void> StoreNode::sweepLoop() {
  for (;;) {
    co_await sleepFor(Ms(settings_.bounds.inTouch / 2));
    pools_.sweep(view_);
    balance_.sweep(view_);
    std::size_t queued = 0, pending = 0, stalled = 0, open = 0;
    for (std::pair<Key const, RunPtr> const& p : runs_) {
      for (LotRun::State const s : p.second->states) queued += s == LotRun::queued;
      pending += p.second->pending.size();
      stalled += p.second->stalled;
      open += p.second->listed < p.second->states.size();
    }
    string loads;
    for (std::pair<string const, Worker> const& w : view_.workers())
      if (w.second.capacity > 10)
        loads += " " + std::to_string(static_cast<int>(100 * balance_.load(w.second, Clock::now())));
    if (open)
      logDebug("store", std::to_string(open) + " lots open, " + std::to_string(stalled) + " stalled; items queued " +
                            std::to_string(queued) + ", live " + std::to_string(live_) + ", unlisted " +
                            std::to_string(pending) + ", mean run " + std::to_string(static_cast<int>(meanRun_)) +
                            " ms; lease " + std::to_string(hasLease()) + "; loads" + loads);
  }
}

}  // namespace tealshelf
