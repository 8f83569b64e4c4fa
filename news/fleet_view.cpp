#include "news/fleet_view.hpp"

namespace tealshelf {

FleetView::FleetView(asio::io_context& io, Boot const& boot, Rpc& rpc, string role, Addr at)
    : io_(io), boot_(boot), rpc_(rpc),
      self_{boot.nodeName, boot.zone, std::move(role), std::move(at), static_cast<std::uint32_t>(1000 * boot.cpuFraction * static_cast<double>(boot.cpuCores))},
      hub_(io, boot, 2 * Relays::fanOut), copy_(hub_, boot.zone), sources_(Ms(boot.bounds.inTouch / 16), hashOf(boot.nodeName)) {
  hub_.proof = [this] {
    Moment const now = Clock::now();
    return NewsHub::Proof{charter_ && now - copy_.fresh() < tooOld(), copy_.depth(), copy_.fresh()};
  };
  arrange();
}

void FleetView::start(RpcServer& server) {
  server.on<NewsAsk>([this](NewsAsk q) { return hub_.serve(std::move(q)); });
  spawn(io_, "news", loop());
}

/// Works out anew whom this node asks, and whether it relays.
void FleetView::arrange() {
  vector<NodeRow> zone;
  for (std::pair<string const, string> const& p : hub_.zones[boot_.zone].rows()) zone.push_back(unpacked<NodeRow>(p.second));
  vector<NodeRow> const relays = Relays::of(zone);
  bool control = false;
  vector<Addr> near, far, parents;
  for (std::pair<string const, Member> const& p : members_) {
    Member const& m = p.second;
    control = control || m.zone == boot_.zone;
    (m.zone == boot_.zone ? near : far).push_back(boot_.controlAt(m.ip));
  }
  for (vector<Addr>* const l : {&near, &far})
    std::sort(l->begin(), l->end(), [this](Addr const& a, Addr const& b) { return hashOf(boot_.nodeName, hashOf(a.ip)) < hashOf(boot_.nodeName, hashOf(b.ip)); });
  near.insert(near.end(), far.begin(), far.end());
  for (Addr const& s : boot_.seeds) {
    Addr const a = boot_.controlAt(s.ip);
    if (std::find(near.begin(), near.end(), a) == near.end()) near.push_back(a);
  }
  bool relay = false;
  for (NodeRow const& r : relays) relay = relay || r.name == self_.name;
  for (NodeRow const& r : Relays::parents(self_.name, relays, control)) parents.push_back(r.at);
  if (relay != relay_) tell("news", relay ? "this node relays news to its zone" : "this node no longer relays news");
  relay_ = relay;
  sources_.set(std::move(parents), std::move(near));
}

Task<bool> FleetView::ask(Addr at, std::int64_t hold, bool first) {
  NewsAsk q;
  q.self = self_;
  q.holdMs = hold;
  q.first = first;
  copy_.versions(q);
  vector<NodeRow> const children = hub_.heard(Clock::now());
  q.children = Relays::digest(children);
  if (wantsList_) { q.hasList = true; q.list = children; }
  bool const parent = sources_.isParent(at);
  Moment const sent = Clock::now();
  ++asks_;
  NewsReply const r = co_await rpc_.ask(at, q, Ms(hold + boot_.bounds.inTouch / (parent ? 16 : 10)));
  wantsList_ = r.wantChildren;
  NewsCopy::Verdict const v = take(r, sent);
  if (v == NewsCopy::Verdict::gap) { say(Level::debug, "news", at.text() + " gave a delta for another content"); co_return true; }
  if (v != NewsCopy::Verdict::taken) co_return false;
  // A relay that answers but doesn't hear from control itself is left in time.
  if (parent && Clock::now() - copy_.fresh() > tooOld()) co_return false;
  if (r.heldMs < hold / 2 && r.common.empty() && r.zone.empty() && r.charter.empty() && !r.wantChildren) co_await pause(Ms(boot_.bounds.inTouch / 200));
  co_return true;
}

Task<void> FleetView::askOne(Addr at) {
  asking_.insert(at);
  try {
    co_await ask(at, boot_.bounds.inTouch / 8, true);
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
    Moment const now = Clock::now();
    if (sources_.resting(now)) co_await pause(Ms(boot_.bounds.inTouch / 60));
    Addr const at = sources_.next(now);
    std::int64_t const hold = boot_.bounds.inTouch / (relay_ || hub_.asking() ? 32 : sources_.isParent(at) ? 16 : 8);
    bool good = false;
    try {
      good = co_await ask(at, hold, false);
    } catch (Error const& x) {
      say(Level::debug, "news", x.what());
    }
    if (good) sources_.worked(at);
    else sources_.failed(at, Clock::now());
  }
}

NewsCopy::Verdict FleetView::take(NewsReply const& r, Moment sent) {
  bool fleet = false;
  std::uint64_t const had = hub_.charterVersion();
  NewsCopy::Verdict const v = copy_.take(r, sent,
      [&](BookRow const& b) {
        string const id = b.key.substr(2);
        if (b.key[0] == 'w') {
          ++revision_;
          if (b.gone) workers_.erase(id);
          else workers_[id] = unpacked<Worker>(b.value);
        } else if (b.key[0] == 'm') {
          fleet = true;
          if (b.gone) members_.erase(id);
          else members_[id] = unpacked<Member>(b.value);
        }
      },
      [&](BookRow const&) { fleet = true; });
  if (hub_.charterVersion() > had) {
    try {
      charter_ = compileCharter(hub_.charter());
    } catch (Error const& x) {
      warn("news", x.what());
    }
  }
  if (fleet) arrange();
  bool const news = hub_.charterVersion() > had || !r.common.empty() || !r.zone.empty();
  if (v == NewsCopy::Verdict::taken && hub_.asking() && news) hub_.changed(Ms(0));
  if (onNews && news) onNews();
  return v;
}

vector<Worker const*> const& FleetView::of(string const& service) const {
  if (readyAt_ != revision_) { ready_.clear(); readyAt_ = revision_; }
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
