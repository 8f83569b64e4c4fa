#include "traffic/balance.hpp"

namespace tealshelf {

namespace {
constexpr double chunkTokens = 1024;  ///< a prompt is weighed in pieces of so many tokens
constexpr double chunkCost = 0.25;    ///< a piece waiting to be read weighs as a quarter of all slots taken
}  // namespace

void Balance::began(string const& id, std::uint64_t tokens) {
  Row& r = rows_[id];
  ++r.own;
  ++r.since;
  ++r.unreadRequests;
  r.unread += static_cast<std::int64_t>(tokens);
}
void Balance::first(string const& id, std::uint64_t tokens) {
  Row& r = rows_[id];
  --r.unreadRequests;
  r.unread -= static_cast<std::int64_t>(tokens);
}
void Balance::ended(string const& id) { Row& r = rows_[id]; --r.own; --r.since; }
void Balance::told(string const& id, std::array<std::uint64_t, 3> const& b) {
  Row& r = rows_[id];
  r.base = static_cast<std::int64_t>(b[0] + b[1]);
  r.waiting = static_cast<std::int64_t>(b[1]);
  r.since = 0;
  r.told = Clock::now();
}
void Balance::full(string const& id) { rows_[id].fullUntil = Clock::now() + Ms(boot_.bounds.step); }
void Balance::broke(string const& id, bool hard) {
  Row& r = rows_[id];
  r.breaks = std::min(r.breaks + 1, 5);
  if (hard || r.breaks >= 2) r.outUntil = Clock::now() + Ms((boot_.bounds.inTouch / 12) << r.breaks);
}
void Balance::well(string const& id) { rows_[id].breaks = 0; }

double Balance::load(Worker const& w, Moment now) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  if (i == rows_.end()) return 0;
  Row const& r = i->second;
  double base = 0;
  if (now - r.told < Ms(boot_.bounds.inTouch)) base = static_cast<double>(std::max<std::int64_t>(0, r.base + r.since));
  return std::max(base, static_cast<double>(r.own)) / static_cast<double>(w.capacity);
}

double Balance::cost(Worker const& w, Moment now) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  if (i == rows_.end()) return 0;
  Row const& r = i->second;
  double c = load(w, now) + chunkCost * static_cast<double>(r.unread) / chunkTokens;
  if (now - r.told < Ms(boot_.bounds.step)) c += chunkCost * static_cast<double>(r.waiting);
  return c;
}

Worker const* Balance::pick(FleetView const& s, Want const& want, std::set<string> const& tried) {
  Moment const now = Clock::now();
  vector<Worker const*> good, rest;
  for (Worker const* const w : s.of(want.service)) {
    Row const& r = rows_[w->id];
    if (tried.count(w->id)) continue;
    bool const out = now < r.outUntil || now < r.fullUntil;
    if (want.behind && (out || r.unreadRequests > 0 || load(*w, now) > 1 - want.leave)) continue;
    (out ? rest : good).push_back(w);
  }
  vector<Worker const*>& l = good.empty() ? rest : good;
  if (l.empty()) return nullptr;
  std::sort(l.begin(), l.end(), [&](Worker const* a, Worker const* b) { return hashOf(a->id, want.key) > hashOf(b->id, want.key); });
  // The first in rendezvous order likely keeps the shared parts, the next may; all others read them again.
  double const miss = chunkCost * static_cast<double>(want.sharedTokens) / chunkTokens;
  bool const all = want.sharedTokens >= chunkTokens;
  Worker const* best = nullptr;
  double least = 0;
  std::function<void(std::size_t)> const weigh = [&](std::size_t n) {
    double const c = cost(*l[n], now) + (n == 0 ? 0 : n == 1 ? miss / 2 : miss);
    if (!best || c < least) { best = l[n]; least = c; }
  };
  for (std::size_t n = 0; n < l.size(); ++n)
    if (all) weigh(n);
  for (int k = 0; k < 3 && !all; ++k) {
    dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
    weigh((dice_ >> 33) % l.size());
  }
  return best;
}

void Balance::sweep(FleetView const& s) {
  for (std::map<string, Row>::iterator i = rows_.begin(); i != rows_.end();) {
    if (!s.find(i->first) && i->second.own <= 0) i = rows_.erase(i);
    else ++i;
  }
}

}  // namespace tealshelf
