// The calls on segments that a store answers: for coordinators, other stores and readers.
#include "lots/store_node.hpp"

namespace tealshelf {

Task<Acknowledgement> StoreNode::create(SegCreate q) {
  needRoom(q.lot);
  vector<StoreRef> const holders = q.lot.holders;
  bool const pass = q.pass;
  q.pass = false;
  string const body = pass ? serialize(q) : "";
  replicas_.create(q.lot, std::move(q.items), std::move(q.results));
  persist();
  std::size_t ok = 1;
  std::size_t const need = static_cast<std::size_t>(settings_.surviveMachines) + 1;
  if (pass) {
    std::shared_ptr<std::size_t> const left = std::make_shared<std::size_t>(0);
    std::shared_ptr<std::size_t> const good = std::make_shared<std::size_t>(0);
    std::shared_ptr<asio::steady_timer> const t = std::make_shared<asio::steady_timer>(io_, TimePoint::max());
    for (StoreRef const& h : holders) {
      if (h.id == id_) continue;
      ++*left;
      asio::co_spawn(io_, rpc_.callRaw(h.at, RpcMethod::createReplica, body, Ms(settings_.bounds.inTouch / 3)),
                     [left, good, t, need](std::exception_ptr p, string) {
                       if (!p) ++*good;
                       if (!--*left || *good + 1 >= need) t->cancel();
                     });
    }
    co_await log_.waitSynced();
    error_code e;
    // Once the copies suffice, a slower holder gets only a moment more; if it fails, the lot is settled anew.
    if (*left && *good + 1 < need) co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
    if (*left) {
      t->expires_after(Ms(settings_.bounds.step / 6));
      co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
    }
    ok += *good;
  } else {
    co_await log_.waitSynced();
  }
  if (ok < (pass ? need : 1)) throw Error(ErrorCode::noStores);
  co_return Acknowledgement{};
}

Task<SegAppendReply> StoreNode::append(SegAppend q) {
  SegAppendReply r;
  for (SegAppend::Part const& p : q.parts) {
    bool ok = true;
    try {
      needDisk();
      replicas_.append(p.host, p.id, p.stamp, p.from, p.records);
    } catch (Error const& x) {
      logDebug("segments", x.what());
      ok = false;
    }
    r.ok.push_back(ok);
  }
  co_await synced();
  co_return r;
}
Task<SegInspectReply> StoreNode::inspect(SegInspect q) {
  needDisk();
  SegInspectReply const r = replicas_.inspect(q.host, q.id);
  if (std::map<Key, RunPtr>::iterator const i = runs_.find({q.host, q.id}); i != runs_.end()) i->second->stalled = true;
  co_await synced();
  co_return r;
}
Task<Acknowledgement> StoreNode::settle(SegSettle q) {
  needDisk();
  replicas_.settle(q.host, q.id, q.old, q.stamp, q.cut);
  if (std::map<Key, RunPtr>::iterator const i = runs_.find({q.host, q.id}); i != runs_.end()) i->second->stalled = true;
  co_await synced();
  co_return Acknowledgement{};
}
Task<Acknowledgement> StoreNode::copy(SegCopy q) {
  needRoom(q.lot);
  SegFetch const ask{q.lot.host, q.lot.id, q.lot.stamp};
  SegCreate c = co_await rpc_.call(q.from, ask, Ms(settings_.bounds.inTouch / 3));
  replicas_.create(q.lot, std::move(c.items), std::move(c.results));
  co_await synced();
  co_return Acknowledgement{};
}
Task<SegCreate> StoreNode::fetch(SegFetch q) {
  Replicas::Replica const& r = replicas_.read(q.host, q.id, q.stamp);
  co_return SegCreate{r.lot, r.items, r.results, false};
}

Task<SegConfirmReply> StoreNode::confirm(SegConfirm q) {
  needDisk();
  co_await synced();
  SegConfirmReply r{id_, life_, {}};
  for (ReplicaMark const& m : q.replicas) r.held.push_back(replicas_.holds(m.host, m.id, m.stamp));
  co_return r;
}

Task<SegReadReply> StoreNode::read(SegRead q) {
  Key const k(q.host, q.id);
  TimePoint const until = Clock::now() + Ms(std::min<std::int64_t>(q.holdMs, settings_.bounds.inTouch.count()));
  for (;;) {
    std::map<Key, RunPtr>::iterator const i = runs_.find(k);
    if (i == runs_.end() || i->second->lot.stamp != q.stamp || !hasLease()) throw Error(ErrorCode::staleStamp, q.id);
    RunPtr const run = i->second;
    Replicas::Replica const& r = replicas_.read(q.host, q.id, q.stamp);
    if (!r.since) throw Error(ErrorCode::staleStamp, q.id);
    if (run->listed > q.from || Clock::now() >= until || run->ended()) {
      SegReadReply a;
      a.total = run->lot.total;
      std::size_t bytes = 0;
      for (std::uint64_t n = q.from; n < run->listed && n < r.results.size(); ++n) {
        ResultRecord x = deserialize<ResultRecord>(r.results[n]);
        bytes += x.text.size() + 128;
        if (bytes > q.most && !a.outputs.empty()) break;
        a.ids.push_back(run->ids.at(x.item));
        a.outputs.push_back(std::move(x));
      }
      co_return a;
    }
    std::shared_ptr<asio::steady_timer> const t = std::make_shared<asio::steady_timer>(io_, until);
    run->readers.insert(t);
    error_code e;
    co_await t->async_wait(asio::redirect_error(asio::use_awaitable, e));
    run->readers.erase(t);
  }
}

Task<SegItemReply> StoreNode::item(SegItem q) {
  std::map<Key, RunPtr>::iterator const i = runs_.find({q.host, q.id});
  if (i == runs_.end() || i->second->lot.stamp != q.stamp || !hasLease()) throw Error(ErrorCode::staleStamp, q.id);
  Replicas::Replica const& r = replicas_.read(q.host, q.id, q.stamp);
  for (ItemRecord& x : deserialize<vector<ItemRecord>>(r.items))
    if (x.id == q.item) co_return SegItemReply{true, false, std::move(x.body)};
  co_return SegItemReply{};
}

}  // namespace tealshelf
