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
void Balance::ended(string const& id) {
  Row& r = rows_[id];
  --r.own;
  --r.since;
}
void Balance::told(string const& id, std::array<std::uint64_t, 3> const& b) {
  Row& r = rows_[id];
  r.base = static_cast<std::int64_t>(b[0] + b[1]);
  r.waiting = static_cast<std::int64_t>(b[1]);
  r.since = 0;
  r.told = Clock::now();
}
void Balance::full(string const& id) {
  rows_[id].fullUntil = Clock::now() + Ms(settings_.bounds.step);
}
void Balance::broke(string const& id, bool hard) {
  Row& r = rows_[id];
  r.breaks = std::min(r.breaks + 1, 5);
  if (hard || r.breaks >= 2) r.outUntil = Clock::now() + (settings_.bounds.inTouch / 12) * (1 << r.breaks);
}
void Balance::well(string const& id) {
  rows_[id].breaks = 0;
}

double Balance::load(Row const& r, Worker const& w, TimePoint now) const {
  double base = 0;
  if (now - r.told < Ms(settings_.bounds.inTouch))
    base = static_cast<double>(std::max<std::int64_t>(0, r.base + r.since));
  return std::max(base, static_cast<double>(r.own)) / static_cast<double>(w.capacity);
}
double Balance::load(Worker const& w, TimePoint now) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  return i == rows_.end() ? 0 : load(i->second, w, now);
}
double Balance::cost(Row const& r, Worker const& w, TimePoint now) const {
  double c = load(r, w, now) + chunkCost * static_cast<double>(r.unread) / chunkTokens;
  if (now - r.told < Ms(settings_.bounds.step)) c += chunkCost * static_cast<double>(r.waiting);
  return c;
}
std::uint64_t Balance::dice() {
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  return dice_ >> 33;
}

Balance::CandidateList const& Balance::candidates(FleetView const& s, string const& service) {
  CandidateList& l = candidates_[service];
  if (l.revision == s.revision()) return l;
  l.revision = s.revision();
  l.all.clear();
  for (Worker const* const w : s.of(service)) l.all.push_back({w, hash64(w->id), &rows_[w->id]});
  return l;
}

Worker const* Balance::pick(FleetView const& s, Want const& want, std::set<string> const& tried) {
  TimePoint const now = Clock::now();
  vector<Candidate> const& l = candidates(s, want.service).all;
  if (l.empty()) return nullptr;
  auto const rank = [&](Candidate const& c) {
    Row const& r = *c.row;
    if (!tried.empty() && tried.count(c.worker->id)) return 0;
    bool const out = now < r.outUntil || now < r.fullUntil || c.worker->resting;
    if (want.behind && (out || r.unreadRequests > 0 || load(r, *c.worker, now) > 1 - want.leave)) return 0;
    return out ? 1 : 2;
  };
  Candidate const* best = nullptr;
  int bestRank = 0;
  double least = 0;
  auto const weigh = [&](Candidate const& c, double more) {
    int const k = rank(c);
    if (k == 0 || k < bestRank) return;
    double const x = cost(*c.row, *c.worker, now) + more;
    if (k > bestRank || x < least) {
      best = &c;
      least = x;
      bestRank = k;
    }
  };
  // A few drawn by lot do when nothing is pinned; all are weighed if those don't.
  if (want.sharedTokens < chunkTokens) {
    for (int k = 0; k < 3; ++k) weigh(l[dice() % l.size()], 0);
    if (bestRank == 2) return best->worker;
    best = nullptr;
    bestRank = 0;
    std::size_t const at = dice() % l.size();
    for (std::size_t n = 0; n < l.size(); ++n) weigh(l[(at + n) % l.size()], 0);
    return best ? best->worker : nullptr;
  }
  // The first in rendezvous order likely keeps the shared parts, the next may; all others read them again.
  Candidate const* top[2] = {nullptr, nullptr};
  std::uint64_t high[2] = {0, 0};
  for (Candidate const& c : l) {
    if (rank(c) < 2) continue;
    std::uint64_t h = (c.hash ^ want.key) * 0x9e3779b97f4a7c15ull;
    h ^= h >> 29;
    h *= 0xbf58476d1ce4e5b9ull;
    h ^= h >> 32;
    if (!top[0] || h > high[0]) {
      top[1] = top[0];
      high[1] = high[0];
      top[0] = &c;
      high[0] = h;
    } else if (!top[1] || h > high[1]) {
      top[1] = &c;
      high[1] = h;
    }
  }
  double const miss = chunkCost * static_cast<double>(want.sharedTokens) / chunkTokens;
  for (Candidate const& c : l) weigh(c, &c == top[0] ? 0 : &c == top[1] ? miss / 2 : miss);
  return best ? best->worker : nullptr;
}

void Balance::sweep(FleetView const& s) {
  for (std::map<string, Row>::iterator i = rows_.begin(); i != rows_.end();) {
    if (!s.find(i->first) && i->second.own <= 0)
      i = rows_.erase(i);
    else
      ++i;
  }
  candidates_.clear();
}

}  // namespace tealshelf
