#include "traffic/scene.hpp"

namespace tealshelf {

Scene::Scene(asio::io_context& io, Boot const& boot, Rpc& rpc, string role) : io_(io), boot_(boot), rpc_(rpc), role_(std::move(role)) {}

void Scene::start() { spawn(io_, "news", loop()); }

vector<Addr> Scene::controls() const {
  vector<Addr> near, far;
  for (Member const& m : members_) (m.area == boot_.area ? near : far).push_back(boot_.controlAt(m.ip));
  std::sort(far.begin(), far.end(), [this](Addr const& a, Addr const& b) { return hashOf(boot_.nodeName, hashOf(a.ip)) < hashOf(boot_.nodeName, hashOf(b.ip)); });
  near.insert(near.end(), far.begin(), far.end());
  for (Addr const& s : boot_.seeds) {
    Addr const a = boot_.controlAt(s.ip);
    if (std::find(near.begin(), near.end(), a) == near.end()) near.push_back(a);
  }
  if (std::vector<Addr>::iterator const g = std::find(near.begin(), near.end(), good_); g != near.end()) std::rotate(near.begin(), g, g + 1);
  return near;
}

Task<void> Scene::askOne(Addr at) {
  asking_.insert(at);
  try {
    News const ask{boot_.nodeName, role_, 0, 0, 0, 0};
    NewsReply const r = co_await rpc_.ask(at, ask, Ms(boot_.bounds.inTouch / 8));
    if (r.sound && !charter_) { good_ = at; take(r); }
  } catch (Error const& x) {
    say(Level::debug, "news", x.what());
  }
  asking_.erase(at);
}

Task<void> Scene::first() {
  while (!charter_) {
    for (Addr const& a : controls())
      if (!asking_.count(a)) spawn(io_, "first news", askOne(a));
    co_await pause(Ms(boot_.bounds.inTouch / 100));
  }
}

Task<void> Scene::loop() {
  co_await first();
  std::size_t turn = 0;
  std::uint64_t news = 0;
  std::int64_t const hold = boot_.bounds.inTouch / 8;
  for (;;) {
    vector<Addr> const c = controls();
    Addr const at = c[turn % c.size()];
    bool good = false;
    try {
      News const ask{boot_.nodeName, role_, life_, rev_, charter_ ? charter_->version : 0, hold};
      NewsReply const r = co_await rpc_.ask(at, ask, Ms(hold + boot_.bounds.inTouch / 10));
      good = r.sound;
      if (good) { good_ = at; take(r); }
    } catch (Error const& x) {
      say(Level::debug, "news", x.what());
    }
    if (good) {
      // Now and then the nearest one is tried again.
      turn = 0;
      if (++news % 32 == 0) good_ = Addr();
      continue;
    }
    ++turn;
    if (turn % c.size() == 0) co_await pause(Ms(boot_.bounds.inTouch / 60));
    else co_await pause(Ms(5));
  }
}

void Scene::take(NewsReply const& r) {
  heard_ = Clock::now();
  members_ = r.members;
  if (r.full) {
    std::map<string, Worker> old;
    old.swap(workers_);
    for (Worker const& w : r.workers) {
      std::map<string, Worker>::const_iterator const o = old.find(w.id);
      if (!w.gone) workers_[w.id] = o != old.end() && o->second.callCount > w.callCount ? o->second : w;
    }
  } else {
    for (Worker const& w : r.workers) {
      if (w.gone) workers_.erase(w.id);
      else workers_[w.id] = w;
    }
  }
  life_ = r.life;
  rev_ = r.rev;
  if (!r.charter.empty() && (!charter_ || r.charterVersion > charter_->version)) {
    try {
      charter_ = compileCharter(r.charter);
    } catch (Error const& x) {
      warn("news", x.what());
    }
  }
  if (onNews) onNews();
}

vector<Worker const*> Scene::of(string const& service) const {
  vector<Worker const*> v;
  for (std::pair<string const, Worker> const& p : workers_)
    if (p.second.service == service && !p.second.draining && !p.second.gone) v.push_back(&p.second);
  return v;
}
Worker const* Scene::find(string const& id) const {
  std::map<string, Worker>::const_iterator const i = workers_.find(id);
  return i == workers_.end() ? nullptr : &i->second;
}

}  // namespace tealshelf
