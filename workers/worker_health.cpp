#include "workers/worker_health.hpp"

#include <cmath>

namespace tealshelf {

void WorkerHealth::fade(Sum& s, Moment now) const {
  if (s.at == Moment()) {
    s.at = now;
    return;
  }
  double const f =
      std::exp2(-std::chrono::duration<double>(now - s.at).count() / std::chrono::duration<double>(span_).count());
  s.ok *= f;
  s.bad *= f;
  s.at = now;
}

void WorkerHealth::note(vector<WorkerTally> const& l, Moment now) {
  for (WorkerTally const& t : l) {
    if (!(t.ok >= 0) || !(t.bad >= 0) || t.ok > 1e6 || t.bad > 1e6) continue;
    Sum& s = own_[t.id];
    fade(s, now);
    s.ok += t.ok;
    s.bad += t.bad;
  }
}

void WorkerHealth::heard(Identity from, vector<WorkerTally> const& l, Moment now) {
  std::pair<std::map<string, Sum>, Moment>& p = others_[from];
  p.first.clear();
  p.second = now;
  for (WorkerTally const& t : l) p.first[t.id] = Sum{t.ok, t.bad, now};
}

vector<WorkerTally> WorkerHealth::report(Moment now) const {
  vector<WorkerTally> v;
  for (std::pair<string const, Sum> const& p : own_) {
    Sum s = p.second;
    fade(s, now);
    if (s.bad > 0.5) v.push_back({p.first, s.ok, s.bad});
  }
  return v;
}

vector<std::pair<string, bool>> WorkerHealth::judge(vector<Worker> const& all, Identity self, Moment now) {
  struct Service {
    double ok = 0, bad = 0;
    std::size_t workers = 0, resting = 0;
  };
  std::map<string, Service> services;
  std::map<string, Sum> sums;
  std::set<string> live;
  std::erase_if(others_, [&](auto const& p) { return now - p.second.second > span_; });
  for (Worker const& w : all) {
    if (w.gone || w.lost) continue;
    live.insert(w.id);
    Sum s;
    if (std::map<string, Sum>::iterator const i = own_.find(w.id); i != own_.end()) {
      fade(i->second, now);
      s = i->second;
    }
    for (auto const& o : others_)
      if (std::map<string, Sum>::const_iterator const i = o.second.first.find(w.id); i != o.second.first.end()) {
        s.ok += i->second.ok;
        s.bad += i->second.bad;
      }
    sums[w.id] = s;
    Service& v = services[w.service];
    v.ok += s.ok;
    v.bad += s.bad;
    ++v.workers;
    v.resting += w.resting;
  }
  std::erase_if(own_, [&](auto const& p) { return !live.count(p.first); });
  std::erase_if(rests_, [&](auto const& p) { return !live.count(p.first); });
  vector<std::pair<string, bool>> out;
  for (Worker const& w : all) {
    if (w.gone || w.lost || w.registrar != self) continue;
    Service& v = services[w.service];
    Rest& r = rests_[w.id];
    if (w.resting) {
      if (now < r.until) continue;
      // Probation: what was seen before the rest no longer counts.
      own_.erase(w.id);
      r.ended = now;
      out.emplace_back(w.id, false);
      continue;
    }
    Sum const& s = sums[w.id];
    double const n = s.ok + s.bad, rest = v.ok + v.bad - n;
    double const mean = rest > 0 ? (v.bad - s.bad) / rest : 0;
    if (n < rule_.enough || s.bad < rule_.failed ||
        s.bad / n < std::max(rule_.least, std::min(rule_.sure, rule_.times * mean)))
      continue;
    if (static_cast<double>(v.resting + 1) > rule_.most * static_cast<double>(v.workers)) continue;
    ++v.resting;
    r.turns = now - r.ended < 8 * span_ ? std::min(r.turns + 1, 4) : 0;
    r.until = now + span_ * (1 << r.turns);
    out.emplace_back(w.id, true);
  }
  return out;
}

}  // namespace tealshelf
