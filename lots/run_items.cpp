#include "lots/store_node.hpp"

namespace tealshelf {

bool StoreNode::current(RunPtr const& run) const {
  if (run->over || run->ended() || stopping_) return false;
  return true;
}

std::int64_t StoreNode::timeLeft(LotRecord const& lot, TimePoint now) const {
  Ms const due(lot.dueIn);
  return (due - ages_.likely({lot.host, lot.id}, now, Ms(wallClockMs() - lot.sentAt), due)).count();
}

Task<void> StoreNode::dispatchLoop() {
  for (;;) {
    while (dispatch()) {
    }
    work_.expires_after(Ms(settings_.bounds.step / 8));
    error_code e;
    co_await work_.async_wait(asio::redirect_error(asio::use_awaitable, e));
  }
}

/// Starts the most urgent queued item if a worker has room that others leave.
bool StoreNode::dispatch() {
  if (!view_.near() || stopping_ || !hasLease()) return false;
  RunPtr best;
  TimePoint const now = Clock::now();
  for (std::pair<Key const, RunPtr> const& p : runs_) {
    RunPtr const& r = p.second;
    if (!current(r) || r->stalled || now < r->retryAt) continue;
    while (r->next < r->states.size() && r->states[r->next] != LotRun::queued) ++r->next;
    if (r->next >= r->states.size()) continue;
    if (!best || timeLeft(r->lot, now) < timeLeft(best->lot, now)) best = r;
  }
  if (!best) return false;
  std::uint64_t slots = 0;
  Route const* const m = view_.configuration()->findByName(best->lot.route);
  if (m)
    for (Worker const* const w : view_.of(m->serviceFor(0))) slots += w->capacity;
  // So many items run at once that each lot would be done by two fifths of its time.
  double need = 1;
  for (std::pair<Key const, RunPtr> const& p : runs_) {
    LotRun const& r = *p.second;
    if (r.over || r.ended()) continue;
    std::size_t left = 0;
    for (LotRun::State const s : r.states) left += s != LotRun::done;
    double const spare = static_cast<double>(timeLeft(r.lot, now) - r.lot.dueIn * 3 / 5);
    need += static_cast<double>(left) * meanRun_ / std::max(spare, meanRun_ / 2);
  }
  if (static_cast<double>(live_) >= std::min(need, static_cast<double>(slots) / 2)) return false;
  std::size_t const n = best->next++;
  best->states[n] = LotRun::running;
  ++best->live;
  ++live_;
  spawnTask(io_, "item", runItem(best, n));
  return true;
}

Task<void> StoreNode::runItem(RunPtr run, std::size_t n) {
  EventReader ev;
  ev.data = "";
  bool over = false;
  Ms wait(2);
  while (!over && current(run) && run->states[n] == LotRun::running) {
    over = co_await tryItem(run, n, ev);
    if (over) break;
    co_await sleepFor(wait);
    wait = std::min(wait * 2, Ms(settings_.bounds.step));
  }
  --run->live;
  --live_;
  if (!over && run->states[n] == LotRun::running) run->states[n] = LotRun::queued;
  work_.cancel();
}

/// One try at one worker; true once the item has its result.
Task<bool> StoreNode::tryItem(RunPtr run, std::size_t n, EventReader& ev) {
  ItemRecord const& it = run->items[n];
  std::shared_ptr<Configuration const> const c = view_.configuration();
  Route const* const m = c->findByName(run->lot.route);
  if (!m || m->kind != RouteKind::bulk || m->host != run->lot.host) {
    finish(run, n, false, "");
    co_return true;
  }
  if (ages_.atLeast({run->lot.host, run->lot.id}, Clock::now()) > Ms(run->lot.keepFor)) {
    finish(run, n, false, "");
    co_return true;
  }
  Want want;
  want.service = m->serviceFor(hash64(it.id));
  want.behind = true;
  std::int64_t const spare = timeLeft(run->lot, Clock::now());
  want.leave = spare > run->lot.dueIn / 2 ? 0.25 : 0.1;
  Worker const* const w = balance_.pick(view_, want, {});
  if (!w) co_return false;
  Ask q(http::verb::post, it.path, 11);
  q.set(http::field::host, m->host);
  for (std::pair<string, string> const& h : it.heads) q.set(h.first, h.second);
  q.set("Attempt-Id", it.id);
  q.set("Wanted-Server", w->id);
  if (ev.any()) q.set("Last-Event-Id", std::to_string(ev.last()));
  q.body() = it.body;
  q.prepare_payload();
  string const id = w->id;
  Ms const silence(settings_.bounds.inTouch);
  TimePoint const began = Clock::now();
  Exchange x(pools_, *w, true);
  balance_.began(id, it.tokens / 2);
  Verdict const v = co_await x.start(q, it.id, Clock::now() + 2 * silence);
  balance_.first(id, it.tokens / 2);
  bool over = false;
  if (v == Verdict::notRun) {
    if (x.status() == 503 || x.status() == 429)
      balance_.full(id);
    else
      balance_.broke(id, true);
  } else if (v != Verdict::answered) {
    balance_.broke(id, v == Verdict::notSent);
    if (v == Verdict::notSent || x.fresh()) view_.tally(id, false);
  } else {
    if (std::optional<std::array<std::uint64_t, 3>> const b = x.load()) balance_.told(id, *b);
    int const status = x.status();
    if (status == 200 && !x.sealed()) x.cut();
    string body;
    Piece p = Piece::some;
    while (p == Piece::some) {
      if (!current(run)) {
        x.cut();
        break;
      }
      body.clear();
      p = co_await x.read(body, Clock::now() + silence);
      if (status == 200) ev.feed(body);
    }
    if (p == Piece::whole) {
      x.done();
      if (status == 200)
        meanRun_ += (static_cast<double>(std::chrono::duration_cast<Ms>(Clock::now() - began).count()) - meanRun_) / 16;
      balance_.well(id);
      view_.tally(id, status < 500);
      if (status == 200) {
        finish(run, n, true, *ev.data);
        over = true;
      }
      if (status == 422) {
        finish(run, n, false, "");
        over = true;
      }
      if (status == 500 && ++run->fails[n] >= std::max<std::uint64_t>(1, m->tries)) {
        finish(run, n, false, "");
        over = true;
      }
    } else if (p == Piece::broken) {
      balance_.broke(id, false);
      view_.tally(id, false);
      ev.restart();
    }
  }
  balance_.ended(id);
  co_return over;
}

void StoreNode::finish(RunPtr const& run, std::size_t n, bool finished, string text) {
  if (run->states[n] != LotRun::running) return;
  run->states[n] = LotRun::done;
  string().swap(run->items[n].body);
  run->doneTokens += run->items[n].tokens;
  run->pending.push_back({static_cast<std::uint32_t>(n), finished, std::move(text)});
  flushes_.cancel();
}

Task<void> StoreNode::flushLoop() {
  for (;;) {
    bool more = true;
    while (more) more = co_await flush();
    flushes_.expires_after(Ms(settings_.bounds.step));
    error_code e;
    co_await flushes_.async_wait(asio::redirect_error(asio::use_awaitable, e));
  }
}

/// Writes what is finished to every live holder; what all have synced is listed.
Task<bool> StoreNode::flush() {
  if (!log_.healthy()) co_return false;
  struct Row {
    RunPtr run;
    SegAppend::Part part;
    std::size_t count = 0;
    bool ok = true;
  };
  vector<Row> rows;
  std::map<NodeId, std::pair<StoreRef, vector<std::size_t>>> by;
  for (std::pair<Key const, RunPtr> const& p : runs_) {
    RunPtr const& r = p.second;
    if (r->stalled || r->pending.empty() ||
        r->lot.holders.size() < static_cast<std::size_t>(settings_.surviveMachines) + 1)
      continue;
    Replicas::Replica const* const x = replicas_.find(r->lot.host, r->lot.id);
    if (!x || x->lot.stamp != r->lot.stamp) {
      r->stalled = true;
      continue;
    }
    Row row{r, {r->lot.host, r->lot.id, r->lot.stamp, x->results.size(), {}}, 0, true};
    for (ResultRecord const& d : r->pending) row.part.records.push_back(serialize(d));
    row.count = r->pending.size();
    for (StoreRef const& h : r->lot.holders)
      if (h.id != id_) {
        by[h.id].first = h;
        by[h.id].second.push_back(rows.size());
      }
    rows.push_back(std::move(row));
  }
  if (rows.empty()) co_return false;
  std::shared_ptr<std::size_t> const left = std::make_shared<std::size_t>(by.size());
  asio::steady_timer t(io_, TimePoint::max());
  for (Row& r : rows) replicas_.append(r.part.host, r.part.id, r.part.stamp, r.part.from, r.part.records);
  persist();
  std::map<NodeId, std::optional<SegAppendReply>> got;
  for (std::pair<NodeId const, std::pair<StoreRef, vector<std::size_t>>> const& p : by) {
    SegAppend q;
    for (std::size_t const n : p.second.second) q.parts.push_back(rows[n].part);
    NodeId const who = p.first;
    asio::co_spawn(io_, rpc_.call(p.second.first.at, q, Ms(settings_.bounds.inTouch / 6)),
                   [&got, &t, left, who](std::exception_ptr x, SegAppendReply a) {
                     if (!x) got[who] = std::move(a);
                     if (!--*left) t.cancel();
                   });
  }
  bool own = true;
  try {
    co_await log_.waitSynced();
  } catch (Error const& x) {
    logDebug("segments", x.what());
    own = false;
  }
  error_code e;
  while (*left) co_await t.async_wait(asio::redirect_error(asio::use_awaitable, e));
  for (std::pair<NodeId const, std::pair<StoreRef, vector<std::size_t>>> const& p : by) {
    std::optional<SegAppendReply> const& a = got[p.first];
    for (std::size_t i = 0; i < p.second.second.size(); ++i) {
      if (a && i < a->ok.size() && a->ok[i]) continue;
      Row& r = rows[p.second.second[i]];
      r.ok = false;
      if (r.run->lot.stamp == r.part.stamp) r.run->bad.insert(p.first);
    }
  }
  for (Row& r : rows) {
    if (r.run->lot.stamp != r.part.stamp) continue;
    if (!r.ok || !own) {
      r.run->stalled = true;
      r.run->resettle = !own;
      continue;
    }
    r.run->listed = std::max(r.run->listed, r.part.from + r.count);
    if (r.run->listed == r.run->lot.total)
      logInfo("lots", r.run->lot.id + " is whole after " +
                          std::to_string(r.run->lot.dueIn - timeLeft(r.run->lot, Clock::now())) + " ms");
    r.run->pending.erase(r.run->pending.begin(), r.run->pending.begin() + static_cast<std::ptrdiff_t>(r.count));
    for (std::shared_ptr<asio::steady_timer> const& x : r.run->readers) x->cancel();
  }
  co_return true;
}

}  // namespace tealshelf
