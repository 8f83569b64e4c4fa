#include "lots/lot_coordinator.hpp"
#include "lots/replica_rules.hpp"

namespace tealshelf {

Task<bool> LotCoordinator::fenceAt(NodeId store) {
  std::size_t ok = 0;
  for (Member const& m : vector<Member>(driver_.consensus().membership().members)) {
    try {
      StoreFence const ask{store};
      Acknowledgement d{false};
      if (m.id == driver_.consensus().self().id)
        d = co_await fence(ask);
      else
        d = co_await rpc_.call(settings_.controlAddress(m.ip), ask, Ms(settings_.bounds.inTouch / 6));
      if (d.ok) ++ok;
    } catch (Error const&) {
    }
  }
  co_return ok >= driver_.consensus().membership().quorum();
}

/// True if a lot's holders are not what they should be.
bool LotCoordinator::unfit(LotRecord const& r, Soft const& s, TimePoint now) const {
  if (r.state == static_cast<int>(LotState::taking) || s.busy) return false;
  if (now - s.tried < Ms(settings_.bounds.inTouch / 10)) return false;
  if (s.resettle || !s.bad.empty()) return true;
  std::set<string> const leaving = retiring ? retiring() : std::set<string>();
  for (StoreRef const& h : r.holders)
    if (dead(h.id, now) || refusing(h.id) || leaving.count(h.name)) return true;
  return r.holders.size() < needed() + 1 &&
         choose(r.id, s.bad, r.holders, needed() + 1, now).size() > r.holders.size() &&
         now - s.tried > Ms(settings_.bounds.inTouch / 3);
}

Task<void> LotCoordinator::maintain() {
  for (;;) {
    co_await sleepFor(Ms(settings_.bounds.inTouch / 30));
    TimePoint const now = Clock::now();
    for (string const& keyspace : driver_.consensus().keyspaces()) {
      if (keyspace.rfind("lots/", 0) != 0 || !driver_.consensus().owns(keyspace)) continue;
      vector<KeyChange> old;
      vector<LotRecord> todo;
      for (std::pair<string const, string> const& p : driver_.consensus().committedValues(keyspace)) {
        LotRecord l = deserialize<LotRecord>(p.second);
        Soft& s = soft_[{l.host, l.id}];
        ages_.learn({l.host, l.id}, now);
        std::int64_t const age = ages_.atLeast({l.host, l.id}, now).count();
        bool const over = l.state == static_cast<int>(LotState::taking)
                              ? age > 4 * settings_.bounds.confirmWithin.count()
                              : age > 2 * settings_.bounds.statusEvery.count() + l.keepFor &&
                                    (l.state == static_cast<int>(LotState::ended) || s.done >= l.total);
        if (over && !s.busy && !(s.mutex && s.mutex->locked()))
          old.push_back({l.id, "", true});
        else if (unfit(l, s, now))
          todo.push_back(std::move(l));
      }
      if (!old.empty()) co_await driver_.propose(keyspace, old);
      std::sort(todo.begin(), todo.end(), [this](LotRecord const& a, LotRecord const& b) {
        bool const x = soft_[{a.host, a.id}].done >= a.total, y = soft_[{b.host, b.id}].done >= b.total;
        return std::tie(x, a.sentAt) < std::tie(y, b.sentAt);
      });
      for (LotRecord& l : todo) {
        if (busy_ >= 12) break;
        Soft& s = soft_[{l.host, l.id}];
        if (s.busy) continue;
        s.busy = true;
        s.began = Clock::now();
        ++busy_;
        spawnTask(io_, "reshape", reshape(std::move(l)));
      }
    }
  }
}

Task<void> LotCoordinator::reshape(LotRecord r) {
  Key const k(r.host, r.id);
  try {
    AsyncMutex::Lock const held = co_await lock(k);
    std::optional<LotRecord> const now = load(r.host, r.id);
    if (now && driver_.consensus().owns(keyspaceOf(r.host))) co_await reshapeNow(*now);
  } catch (std::exception const& x) {
    logDebug("stamps", r.id + ": " + x.what());
  }
  Soft& s = soft_[k];
  s.busy = false;
  s.tried = Clock::now();
  --busy_;
}

/// The paper's recovery: stamps are collected, those at or above the recorded one kept, the
/// shortest length settled under a fresh stamp, and only then the record is written.
Task<void> LotCoordinator::reshapeNow(LotRecord r) {
  TimePoint const now = Clock::now();
  Ms const limit(settings_.bounds.inTouch / 4);
  Epoch const epoch = driver_.consensus().epochOf(keyspaceOf(r.host));
  Soft& soft = soft_[{r.host, r.id}];
  std::set<string> const leaving = retiring ? retiring() : std::set<string>();
  std::set<NodeId> const bad = soft.bad;
  vector<StoreRef> live;
  for (StoreRef const& h : r.holders)
    if (!dead(h.id, now) && !refusing(h.id) && !bad.count(h.id)) live.push_back(h);
  if (live.empty()) {
    soft.bad.clear();
    co_return;
  }
  if (live[0].id != r.holders[0].id) {
    bool const fenced = co_await fenceAt(r.holders[0].id);
    if (!fenced) co_return;
  }
  std::uint64_t cut = ~0ull;
  vector<StoreRef> good;
  for (StoreRef const& h : live) {
    try {
      SegInspect const ask{r.host, r.id};
      SegInspectReply const i = co_await rpc_.call(h.at, ask, limit);
      if (!i.known || i.stamp < r.stamp) continue;
      good.push_back(h);
      cut = std::min(cut, i.results);
    } catch (Error const&) {
    }
  }
  std::size_t const least = std::min(needed(), r.holders.size());
  auto const chosen = [&](vector<StoreRef> const& have, std::size_t count) {
    auto const without = [&](std::set<NodeId> const& barred) {
      return choose(r.id, barred, have, count, Clock::now());
    };
    return storesForRecovery(without, bad, least);
  };
  if (good.empty() || chosen(good, needed()).size() < least) co_return;
  // Only a node that still owns the keyspace, under the epoch it began with, may give a stamp.
  if (!driver_.consensus().owns(keyspaceOf(r.host)) || driver_.consensus().epochOf(keyspaceOf(r.host)) != epoch)
    co_return;
  GenerationStamp const stamp = fresh(r.host);
  vector<StoreRef> kept;
  for (StoreRef const& h : good) {
    try {
      SegSettle const ask{r.host, r.id, r.stamp, stamp, cut};
      co_await rpc_.call(h.at, ask, limit);
      kept.push_back(h);
    } catch (Error const&) {
    }
  }
  if (kept.empty()) co_return;
  LotRecord n = r;
  n.stamp = stamp;
  std::stable_partition(kept.begin(), kept.end(), [&](StoreRef const& h) { return !leaving.count(h.name); });
  vector<StoreRef> stay;
  for (StoreRef const& h : kept)
    if (!leaving.count(h.name)) stay.push_back(h);
  vector<StoreRef> const more = chosen(stay, needed() + 1);
  for (std::size_t i = stay.size(); i < more.size(); ++i) {
    n.holders = {more[i]};
    try {
      SegCopy const ask{n, kept[0].at};
      co_await rpc_.call(more[i].at, ask, 2 * limit);
      stay.push_back(more[i]);
    } catch (Error const&) {
    }
  }
  n.holders = holdersAfter(kept, stay, needed());
  // The record never names fewer than survive a loss, unless it did: the stores that are away may
  // come back with the other copies, and nothing could be listed with one copy anyway.
  if (n.holders.size() < std::min(needed(), r.holders.size())) co_return;
  if (!co_await save(n)) co_return;
  soft.bad.clear();
  soft.resettle = false;
  string text = r.id + " has stamp " + hex(stamp.value) + ", " + std::to_string(cut) + " results, at";
  for (StoreRef const& h : n.holders) text += " " + h.name;
  logInfo("stamps", text);
}

}  // namespace tealshelf
