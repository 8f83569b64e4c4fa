#include "workers/worker_registry.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

bool WorkerRegistry::late(Worker const& w) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  return i != rows_.end() && (i->second.worker.gone ? !w.gone : i->second.worker.callCount > w.callCount);
}

bool WorkerRegistry::merge(Worker const& w, TimePoint now) {
  std::map<string, Row>::iterator const i = rows_.find(w.id);
  if (i == rows_.end()) {
    if (w.lost) return false;
    rows_[w.id] = {w, now, ++revision_, false};
    if (w.registrar == self_) fresh_.push_back(w);
    return true;
  }
  Row& row = i->second;
  if (w.lost) {
    // Only the one that hears a worker can lose it.
    if (row.lost || row.worker.gone || row.worker.registrar != w.registrar || w.callCount < row.worker.callCount)
      return false;
    row.lost = true;
    row.revision = ++revision_;
    return true;
  }
  if (row.worker.gone && !w.gone) return false;
  // A beat that the worker sent carries no turn; what its registrar judged stays.
  std::uint64_t const turn = std::max(w.turn, row.worker.turn);
  bool const resting = w.turn >= row.worker.turn && w.turn ? w.resting : row.worker.resting;
  if (!w.gone && w.callCount <= row.worker.callCount && turn == row.worker.turn) return false;
  if (w.gone && row.worker.gone) return false;
  bool const draining = row.worker.draining || w.draining;
  bool const updated = row.lost || w.gone != row.worker.gone || draining != row.worker.draining ||
                       w.at != row.worker.at || w.service != row.worker.service || w.capacity != row.worker.capacity ||
                       resting != row.worker.resting;
  bool const moved = w.registrar != row.worker.registrar;
  std::uint64_t const count = std::max(w.callCount, row.worker.callCount);
  row.worker = w;
  row.worker.callCount = count;
  row.worker.draining = draining;
  row.worker.turn = turn;
  row.worker.resting = resting;
  row.heardAt = now;
  row.lost = false;
  if (updated) row.revision = ++revision_;
  if ((updated || moved) && w.registrar == self_) fresh_.push_back(row.worker);
  return updated;
}

bool WorkerRegistry::mergeAll(vector<Worker> const& workers, NodeId from, TimePoint now) {
  bool updated = false;
  std::set<string> named;
  for (Worker const& w : workers) {
    named.insert(w.id);
    updated = merge(w, now) || updated;
  }
  for (std::pair<string const, Row>& p : rows_) {
    Row& row = p.second;
    if (row.lost || row.worker.gone || row.worker.registrar != from || named.count(p.first)) continue;
    row.lost = true;
    row.revision = ++revision_;
    updated = true;
  }
  return updated;
}

void WorkerRegistry::rest(string const& id, bool resting) {
  std::map<string, Row>::iterator const i = rows_.find(id);
  if (i == rows_.end() || i->second.worker.resting == resting) return;
  i->second.worker.resting = resting;
  ++i->second.worker.turn;
  i->second.revision = ++revision_;
  fresh_.push_back(i->second.worker);
}

void WorkerRegistry::alive(NodeId registrar, TimePoint now) {
  for (std::pair<string const, Row>& p : rows_)
    if (p.second.worker.registrar == registrar) p.second.heardAt = now;
}

bool WorkerRegistry::sweep(TimePoint now) {
  bool any = false;
  for (std::map<string, Row>::iterator i = rows_.begin(); i != rows_.end();) {
    Row& row = i->second;
    if ((row.worker.gone || row.lost) && now - row.heardAt > 16 * forget_) {
      i = rows_.erase(i);
      continue;
    }
    ++i;
    if (row.lost || row.worker.gone || now - row.heardAt <= forget_) continue;
    row.lost = true;
    row.revision = ++revision_;
    any = true;
    if (row.worker.registrar != self_) continue;
    fresh_.push_back(row.worker);
    fresh_.back().lost = true;
  }
  return any;
}

vector<Worker> WorkerRegistry::since(std::uint64_t revision) const {
  vector<Worker> v;
  for (std::pair<string const, Row> const& p : rows_) {
    if (p.second.revision <= revision) continue;
    v.push_back(p.second.worker);
    if (p.second.lost) v.back().gone = true;
  }
  return v;
}
vector<Worker> WorkerRegistry::all(std::uint64_t since) const {
  vector<Worker> v;
  for (std::pair<string const, Row> const& p : rows_)
    if (!p.second.lost && p.second.revision > since) v.push_back(p.second.worker);
  return v;
}
Worker const* WorkerRegistry::find(string const& id) const {
  std::map<string, Row>::const_iterator const i = rows_.find(id);
  return i == rows_.end() ? nullptr : &i->second.worker;
}

/// The largest count or time in a beat; more can't be meant.
constexpr double mostNumber = 1e15;

Worker readBeat(string const& id, string const& body) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (d.HasParseError() || !d.IsObject()) throw Error(ErrorCode::badHeartbeat);
  Worker w;
  w.id = id;
  std::function<string(char const*)> const text = [&](char const* k) {
    if (!d.HasMember(k) || !d[k].IsString()) throw Error(ErrorCode::badHeartbeat, k);
    return string(d[k].GetString(), d[k].GetStringLength());
  };
  std::function<std::uint64_t(char const*)> const num = [&](char const* k) -> std::uint64_t {
    if (!d.HasMember(k)) return 0;
    if (!d[k].IsNumber() || d[k].GetDouble() < 0 || d[k].GetDouble() > mostNumber)
      throw Error(ErrorCode::badHeartbeat, k);
    return static_cast<std::uint64_t>(d[k].GetDouble());
  };
  w.service = text("service");
  std::optional<Address> const address = parseAddress(text("address"));
  if (!address) throw Error(ErrorCode::badHeartbeat, "address");
  w.at = *address;
  if (d.HasMember("zone")) w.zone = text("zone");
  if (d.HasMember("version")) w.version = text("version");
  w.capacity = std::max<std::uint64_t>(1, num("capacity"));
  w.callCount = num("callCount");
  w.warmupLeft = static_cast<std::int64_t>(num("warmupLeftMs"));
  w.draining = d.HasMember("state") && d["state"].IsString() && string_view(d["state"].GetString()) == "draining";
  return w;
}

}  // namespace tealshelf
