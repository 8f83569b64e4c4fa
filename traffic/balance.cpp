#include "traffic/balance.hpp"

namespace tealshelf {

void Balance::began(string const& id) { Row& r = rows_[id]; ++r.own; ++r.since; }
void Balance::ended(string const& id) { Row& r = rows_[id]; --r.own; --r.since; }
void Balance::told(string const& id, std::array<std::uint64_t, 3> const& b) {
  Row& r = rows_[id];
  r.base = static_cast<std::int64_t>(b[0] + b[1]);
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

double Balance::burden(Worker const& w, Moment now) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  if (i == rows_.end()) return 0;
  Row const& r = i->second;
  double base = 0;
  if (now - r.told < Ms(boot_.bounds.inTouch)) base = static_cast<double>(std::max<std::int64_t>(0, r.base + r.since));
  return std::max(base, static_cast<double>(r.own)) / static_cast<double>(w.capacity);
}

Worker const* Balance::pick(Scene const& s, Want const& want, std::set<string> const& tried) {
  Moment const now = Clock::now();
  vector<Worker const*> good, rest;
  for (Worker const* const w : s.of(want.service)) {
    Row const& r = rows_[w->id];
    if (tried.count(w->id)) continue;
    bool const out = now < r.outUntil || now < r.fullUntil;
    if (want.behind && (out || burden(*w, now) > 1 - want.leave)) continue;
    (out ? rest : good).push_back(w);
  }
  vector<Worker const*>& l = good.empty() ? rest : good;
  if (l.empty()) return nullptr;
  if (want.sharedTokens >= 1024 && l.size() > 1) {
    double sum = 0;
    for (Worker const* const w : l) sum += burden(*w, now);
    double const bound = 1.25 * sum / static_cast<double>(l.size()) + 0.1;
    std::sort(l.begin(), l.end(), [&](Worker const* a, Worker const* b) { return hashOf(a->id, want.key) > hashOf(b->id, want.key); });
    for (Worker const* const w : l)
      if (burden(*w, now) <= bound) return w;
  }
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  Worker const* const a = l[(dice_ >> 33) % l.size()];
  dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
  Worker const* const b = l[(dice_ >> 33) % l.size()];
  return burden(*a, now) <= burden(*b, now) ? a : b;
}

void Balance::sweep(Scene const& s) {
  for (std::map<string, Row>::iterator i = rows_.begin(); i != rows_.end();) {
    if (!s.find(i->first) && i->second.own <= 0) i = rows_.erase(i);
    else ++i;
  }
}

}  // namespace tealshelf
