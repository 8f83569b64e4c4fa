#include "updates/fleet_view.hpp"

namespace tealshelf {

namespace {
vector<Address> controlsOf(Settings const& b) {
  vector<Address> v;
  for (Address const& s : b.seeds) v.push_back(b.controlAddress(s.ip));
  return v;
}
}  // namespace

FleetView::FleetView(asio::io_context& io, Settings const& settings, RpcClient& rpc, string role, Address at)
    : io_(io),
      settings_(settings),
      rpc_(rpc),
      publisher_(io, settings, 2 * Relays::fanOut),
      node_(
          NodeRow{settings.nodeName, settings.zone, std::move(role), std::move(at),
                  static_cast<std::uint32_t>(1000 * settings.cpuFraction * static_cast<double>(settings.cpuCores))},
          UpdateNode::Times::of(settings.bounds), controlsOf(settings),
          [&settings](string const& ip) { return settings.controlAddress(ip); }, publisher_) {
  publisher_.proof = [this] { return node_.proof(Clock::now()); };
  node_.onRow = [this](TableRow const& b) {
    if (b.key[0] != 'w') return;
    ++revision_;
    if (b.gone)
      workers_.erase(b.key.substr(2));
    else
      workers_[b.key.substr(2)] = deserialize<Worker>(b.value);
  };
}

void FleetView::start(RpcServer& server) {
  server.on<UpdateRequest>([this](UpdateRequest q) { return publisher_.serve(std::move(q)); });
  spawnTask(io_, "updates", loop());
}

Task<bool> FleetView::carryOut(UpdateNode::Plan p) {
  TimePoint const sent = Clock::now();
  ++asks_;
  if (sent - tallied_ >= Ms(settings_.bounds.inTouch / 32)) {
    p.ask.tallies = publisher_.takeTallies();
    tallied_ = sent;
  }
  UpdateReply r;
  try {
    r = co_await rpc_.call(p.at, p.ask, p.limit);
  } catch (Error const&) {
    publisher_.addTallies(p.ask.tallies);
    throw;
  }
  std::uint64_t const had = publisher_.configurationVersion();
  bool const good = node_.got(p, r, sent, Clock::now());
  if (publisher_.configurationVersion() > had) {
    try {
      configuration_ = compileConfiguration(publisher_.configuration());
    } catch (Error const& x) {
      logWarning("updates", x.what());
    }
  }
  bool const updates = publisher_.configurationVersion() > had || !r.common.empty() || !r.zone.empty();
  if (good && publisher_.asking() && updates) publisher_.changed(Ms(0));
  if (onUpdate && updates) onUpdate();
  if (good && !updates && !r.wantChildren && Ms(r.heldMs) < p.hold / 2)
    co_await sleepFor(Ms(settings_.bounds.inTouch / 200));
  co_return good;
}

Task<void> FleetView::askOne(Address at) {
  asking_.insert(at);
  try {
    co_await carryOut(node_.firstPlan(at, Clock::now()));
  } catch (Error const& x) {
    logDebug("updates", x.what());
  }
  asking_.erase(at);
}

Task<void> FleetView::first() {
  while (!configuration_) {
    for (Address const& a : controls()) {
      if (configuration_) break;
      if (asking_.count(a)) continue;
      spawnTask(io_, "first updates", askOne(a));
      co_await sleepFor(Ms(settings_.bounds.inTouch / 200));
    }
    co_await sleepFor(Ms(settings_.bounds.inTouch / 100));
  }
}

Task<void> FleetView::loop() {
  co_await first();
  for (;;) {
    if (node_.resting(Clock::now())) co_await sleepFor(Ms(settings_.bounds.inTouch / 60));
    UpdateNode::Plan const p = node_.plan(Clock::now());
    try {
      co_await carryOut(p);
    } catch (Error const& x) {
      logDebug("updates", x.what());
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
