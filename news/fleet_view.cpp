#include "news/fleet_view.hpp"

namespace tealshelf {

namespace {
vector<Addr> controlsOf(Boot const& b) {
  vector<Addr> v;
  for (Addr const& s : b.seeds) v.push_back(b.controlAt(s.ip));
  return v;
}
}  // namespace

FleetView::FleetView(asio::io_context& io, Boot const& boot, Rpc& rpc, string role, Addr at)
    : io_(io),
      boot_(boot),
      rpc_(rpc),
      hub_(io, boot, 2 * Relays::fanOut),
      node_(
          NodeRow{boot.nodeName, boot.zone, std::move(role), std::move(at),
                  static_cast<std::uint32_t>(1000 * boot.cpuFraction * static_cast<double>(boot.cpuCores))},
          NewsNode::Times::of(boot.bounds), controlsOf(boot), [&boot](string const& ip) { return boot.controlAt(ip); },
          hub_) {
  hub_.proof = [this] { return node_.proof(Clock::now()); };
  node_.onRow = [this](BookRow const& b) {
    if (b.key[0] != 'w') return;
    ++revision_;
    if (b.gone)
      workers_.erase(b.key.substr(2));
    else
      workers_[b.key.substr(2)] = unpacked<Worker>(b.value);
  };
}

void FleetView::start(RpcServer& server) {
  server.on<NewsAsk>([this](NewsAsk q) { return hub_.serve(std::move(q)); });
  spawn(io_, "news", loop());
}

Task<bool> FleetView::carryOut(NewsNode::Plan p) {
  Moment const sent = Clock::now();
  ++asks_;
  if (sent - tallied_ >= Ms(boot_.bounds.inTouch / 32)) {
    p.ask.tallies = hub_.takeTallies();
    tallied_ = sent;
  }
  NewsReply r;
  try {
    r = co_await rpc_.ask(p.at, p.ask, p.limit);
  } catch (Error const&) {
    hub_.addTallies(p.ask.tallies);
    throw;
  }
  std::uint64_t const had = hub_.charterVersion();
  bool const good = node_.got(p, r, sent, Clock::now());
  if (hub_.charterVersion() > had) {
    try {
      charter_ = compileCharter(hub_.charter());
    } catch (Error const& x) {
      warn("news", x.what());
    }
  }
  bool const news = hub_.charterVersion() > had || !r.common.empty() || !r.zone.empty();
  if (good && hub_.asking() && news) hub_.changed(Ms(0));
  if (onNews && news) onNews();
  if (good && !news && !r.wantChildren && Ms(r.heldMs) < p.hold / 2) co_await pause(Ms(boot_.bounds.inTouch / 200));
  co_return good;
}

Task<void> FleetView::askOne(Addr at) {
  asking_.insert(at);
  try {
    co_await carryOut(node_.firstPlan(at, Clock::now()));
  } catch (Error const& x) {
    say(Level::debug, "news", x.what());
  }
  asking_.erase(at);
}

Task<void> FleetView::first() {
  while (!charter_) {
    for (Addr const& a : controls()) {
      if (charter_) break;
      if (asking_.count(a)) continue;
      spawn(io_, "first news", askOne(a));
      co_await pause(Ms(boot_.bounds.inTouch / 200));
    }
    co_await pause(Ms(boot_.bounds.inTouch / 100));
  }
}

Task<void> FleetView::loop() {
  co_await first();
  for (;;) {
    if (node_.resting(Clock::now())) co_await pause(Ms(boot_.bounds.inTouch / 60));
    NewsNode::Plan const p = node_.plan(Clock::now());
    try {
      co_await carryOut(p);
    } catch (Error const& x) {
      say(Level::debug, "news", x.what());
      node_.missed(p.at, Clock::now());
    }
  }
}

vector<Worker const*> const& FleetView::of(string const& service) const {
  if (readyAt_ != revision_) {
    ready_.clear();
    readyAt_ = revision_;
  }
  std::map<string, vector<Worker const*>>::iterator i = ready_.find(service);
  if (i != ready_.end()) return i->second;
  vector<Worker const*>& v = ready_[service];
  for (std::pair<string const, Worker> const& p : workers_)
    if (p.second.service == service && !p.second.draining && !p.second.gone) v.push_back(&p.second);
  return v;
}
Worker const* FleetView::find(string const& id) const {
  std::map<string, Worker>::const_iterator const i = workers_.find(id);
  return i == workers_.end() ? nullptr : &i->second;
}

}  // namespace tealshelf
