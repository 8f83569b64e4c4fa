#include "workers/worker_health.hpp"

#include <cmath>

namespace tealshelf {

namespace {
constexpr double mostTold = 1e6;      ///< a tally above this is no tally
constexpr double worthTelling = 0.5;  ///< failures below this are not told to other control nodes
constexpr int mostTurns = 4;          ///< a rest doubles so often at the most
constexpr int forgetTurns = 8;        ///< after so many spans without a rest the next one is short again
}  // namespace

void WorkerHealth::fade(Tally& tally, TimePoint now) const {
  if (tally.at == TimePoint()) {
    tally.at = now;
    return;
  }
  std::chrono::duration<double> const age = now - tally.at;
  double const factor = std::exp2(-age / std::chrono::duration<double>(span_));
  tally.ok *= factor;
  tally.bad *= factor;
  tally.at = now;
}

void WorkerHealth::note(vector<WorkerTally> const& tallies, TimePoint now) {
  for (WorkerTally const& told : tallies) {
    bool const sound = told.ok >= 0 && told.bad >= 0 && told.ok <= mostTold && told.bad <= mostTold;
    if (!sound) continue;
    Tally& tally = own_[told.id];
    fade(tally, now);
    tally.ok += told.ok;
    tally.bad += told.bad;
  }
}

void WorkerHealth::heard(NodeId from, vector<WorkerTally> const& tallies, TimePoint now) {
  PeerReport& report = peers_[from];
  report.at = now;
  report.tallies.clear();
  for (WorkerTally const& told : tallies) report.tallies[told.id] = Tally{told.ok, told.bad, now};
}

vector<WorkerTally> WorkerHealth::report(TimePoint now) const {
  vector<WorkerTally> out;
  for (std::pair<string const, Tally> const& entry : own_) {
    Tally tally = entry.second;
    fade(tally, now);
    if (tally.bad > worthTelling) out.push_back({entry.first, tally.ok, tally.bad});
  }
  return out;
}

WorkerHealth::Tally WorkerHealth::totalOf(string const& worker, TimePoint now) {
  Tally total;
  if (std::map<string, Tally>::iterator const own = own_.find(worker); own != own_.end()) {
    fade(own->second, now);
    total = own->second;
  }
  for (std::pair<NodeId const, PeerReport> const& peer : peers_) {
    std::map<string, Tally>::const_iterator const told = peer.second.tallies.find(worker);
    if (told == peer.second.tallies.end()) continue;
    total.ok += told->second.ok;
    total.bad += told->second.bad;
  }
  return total;
}

/// True if a worker failed more than the others of its service, and enough to tell.
bool WorkerHealth::failsTooMuch(Tally const& tally, Tally const& service) const {
  if (tally.total() < rule_.enough || tally.bad < rule_.failed) return false;
  double const others = service.total() - tally.total();
  double const mean = others > 0 ? (service.bad - tally.bad) / others : 0;
  double const bound = std::max(rule_.least, std::min(rule_.sure, rule_.times * mean));
  return tally.bad / tally.total() >= bound;
}

vector<WorkerHealth::RestChange> WorkerHealth::judge(vector<Worker> const& workers, NodeId self, TimePoint now) {
  std::erase_if(peers_, [&](auto const& peer) { return now - peer.second.at > span_; });
  std::map<string, ServiceTotal> services;
  std::map<string, Tally> tallies;
  for (Worker const& worker : workers) {
    if (worker.gone || worker.lost) continue;
    Tally const tally = totalOf(worker.id, now);
    tallies[worker.id] = tally;
    ServiceTotal& service = services[worker.service];
    service.tally.ok += tally.ok;
    service.tally.bad += tally.bad;
    ++service.workers;
    service.resting += worker.resting;
  }
  std::erase_if(own_, [&](auto const& entry) { return !tallies.count(entry.first); });
  std::erase_if(rests_, [&](auto const& entry) { return !tallies.count(entry.first); });
  vector<RestChange> out;
  for (Worker const& worker : workers) {
    if (worker.gone || worker.lost || worker.registrar != self) continue;
    Rest& rest = rests_[worker.id];
    if (worker.resting) {
      if (now < rest.until) continue;
      // Probation: what was seen before the rest no longer counts.
      own_.erase(worker.id);
      rest.ended = now;
      out.push_back({worker.id, false});
      continue;
    }
    ServiceTotal& service = services[worker.service];
    if (!failsTooMuch(tallies[worker.id], service.tally)) continue;
    if (static_cast<double>(service.resting + 1) > rule_.most * static_cast<double>(service.workers)) continue;
    ++service.resting;
    rest.turns = now - rest.ended < forgetTurns * span_ ? std::min(rest.turns + 1, mostTurns) : 0;
    rest.until = now + span_ * (1 << rest.turns);
    out.push_back({worker.id, true});
  }
  return out;
}

}  // namespace tealshelf
