#include "workers/worker_registry.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

bool WorkerTable::late(Worker const& w) const {
  std::map<string, Row>::const_iterator const i = rows_.find(w.id);
  return i != rows_.end() && (i->second.w.gone ? !w.gone : i->second.w.callCount > w.callCount);
}

bool WorkerTable::merge(Worker const& w, Moment now) {
  std::map<string, Row>::iterator const i = rows_.find(w.id);
  if (i == rows_.end()) {
    if (w.lost) return false;
    rows_[w.id] = {w, now, ++rev_, false};
    if (w.registrar == self_) fresh_.push_back(w);
    return true;
  }
  Row& r = i->second;
  if (w.lost) {
    // Only the one that hears a worker can lose it.
    if (r.lost || r.w.gone || r.w.registrar != w.registrar || w.callCount < r.w.callCount) return false;
    r.lost = true;
    r.rev = ++rev_;
    return true;
  }
  if (r.w.gone && !w.gone) return false;
  // A beat that the worker sent carries no turn; what its registrar judged stays.
  std::uint64_t const turn = std::max(w.turn, r.w.turn);
  bool const resting = w.turn >= r.w.turn && w.turn ? w.resting : r.w.resting;
  if (!w.gone && w.callCount <= r.w.callCount && turn == r.w.turn) return false;
  if (w.gone && r.w.gone) return false;
  bool const draining = r.w.draining || w.draining;
  bool const updated = r.lost || w.gone != r.w.gone || draining != r.w.draining || w.at != r.w.at ||
                       w.service != r.w.service || w.capacity != r.w.capacity || resting != r.w.resting;
  bool const moved = w.registrar != r.w.registrar;
  std::uint64_t const count = std::max(w.callCount, r.w.callCount);
  r.w = w;
  r.w.callCount = count;
  r.w.draining = draining;
  r.w.turn = turn;
  r.w.resting = resting;
  r.at = now;
  r.lost = false;
  if (updated) r.rev = ++rev_;
  if ((updated || moved) && w.registrar == self_) fresh_.push_back(r.w);
  return updated;
}

bool WorkerTable::mergeAll(vector<Worker> const& ws, Identity from, Moment now) {
  bool updated = false;
  std::set<string> named;
  for (Worker const& w : ws) {
    named.insert(w.id);
    updated = merge(w, now) || updated;
  }
  for (std::pair<string const, Row>& p : rows_) {
    Row& r = p.second;
    if (r.lost || r.w.gone || r.w.registrar != from || named.count(p.first)) continue;
    r.lost = true;
    r.rev = ++rev_;
    updated = true;
  }
  return updated;
}

void WorkerTable::rest(string const& id, bool resting) {
  std::map<string, Row>::iterator const i = rows_.find(id);
  if (i == rows_.end() || i->second.w.resting == resting) return;
  i->second.w.resting = resting;
  ++i->second.w.turn;
  i->second.rev = ++rev_;
  fresh_.push_back(i->second.w);
}

void WorkerTable::alive(Identity registrar, Moment now) {
  for (std::pair<string const, Row>& p : rows_)
    if (p.second.w.registrar == registrar) p.second.at = now;
}

bool WorkerTable::sweep(Moment now) {
  bool any = false;
  for (std::map<string, Row>::iterator i = rows_.begin(); i != rows_.end();) {
    Row& r = i->second;
    if ((r.w.gone || r.lost) && now - r.at > 16 * forget_) {
      i = rows_.erase(i);
      continue;
    }
    ++i;
    if (r.lost || r.w.gone || now - r.at <= forget_) continue;
    r.lost = true;
    r.rev = ++rev_;
    any = true;
    if (r.w.registrar != self_) continue;
    fresh_.push_back(r.w);
    fresh_.back().lost = true;
  }
  return any;
}

vector<Worker> WorkerTable::since(std::uint64_t rev) const {
  vector<Worker> v;
  for (std::pair<string const, Row> const& p : rows_) {
    if (p.second.rev <= rev) continue;
    v.push_back(p.second.w);
    if (p.second.lost) v.back().gone = true;
  }
  return v;
}
vector<Worker> WorkerTable::all(std::uint64_t since) const {
  vector<Worker> v;
  for (std::pair<string const, Row> const& p : rows_)
    if (!p.second.lost && p.second.rev > since) v.push_back(p.second.w);
  return v;
}
Worker const* WorkerTable::find(string const& id) const {
  std::map<string, Row>::const_iterator const i = rows_.find(id);
  return i == rows_.end() ? nullptr : &i->second.w;
}

/// The largest count or time in a beat; more can't be meant.
constexpr double mostNumber = 1e15;

Worker readBeat(string const& id, string const& body) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (d.HasParseError() || !d.IsObject()) throw Error(Code::badBeat);
  Worker w;
  w.id = id;
  std::function<string(char const*)> const text = [&](char const* k) {
    if (!d.HasMember(k) || !d[k].IsString()) throw Error(Code::badBeat, k);
    return string(d[k].GetString(), d[k].GetStringLength());
  };
  std::function<std::uint64_t(char const*)> const num = [&](char const* k) -> std::uint64_t {
    if (!d.HasMember(k)) return 0;
    if (!d[k].IsNumber() || d[k].GetDouble() < 0 || d[k].GetDouble() > mostNumber) throw Error(Code::badBeat, k);
    return static_cast<std::uint64_t>(d[k].GetDouble());
  };
  w.service = text("service");
  if (!readAddr(text("address"), w.at)) throw Error(Code::badBeat, "address");
  if (d.HasMember("zone")) w.zone = text("zone");
  if (d.HasMember("version")) w.version = text("version");
  w.capacity = std::max<std::uint64_t>(1, num("capacity"));
  w.callCount = num("callCount");
  w.warmupLeft = static_cast<std::int64_t>(num("warmupLeftMs"));
  w.draining = d.HasMember("state") && d["state"].IsString() && string_view(d["state"].GetString()) == "draining";
  return w;
}

}  // namespace tealshelf
