#include "segments/replicas.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recCreate = 1, recAppend = 2, recSettle = 3, recDrop = 4 };
struct Record {
  int sort = 0;
  string host, id;
  GenerationStamp stamp;
  std::uint64_t at = 0;
  LotRecord lot;
  string items;
  vector<string> results;
  bool whole = true;
  MSGPACK_DEFINE(sort, host, id, stamp, at, lot, items, results, whole)
};
}  // namespace

void Replicas::replay(string const& bytes) {
  Record r = deserialize<Record>(bytes);
  Key const k(r.host, r.id);
  if (r.sort == recDrop) {
    all_.erase(k);
    return;
  }
  if (r.sort == recCreate) {
    all_[k] = Replica{r.lot, std::move(r.items), std::move(r.results), false, r.whole, false};
    return;
  }
  // A change of a replica that isn't there, or that lacks what came before: a record is lost.
  std::map<Key, Replica>::iterator const i = all_.find(k);
  if (i == all_.end()) return;
  Replica& x = i->second;
  if (x.results.size() < r.at) x.whole = false;
  if (r.sort == recAppend && x.results.size() >= r.at) {
    x.results.resize(r.at);
    for (string& s : r.results) x.results.push_back(std::move(s));
  }
  if (r.sort == recSettle) {
    x.lot.stamp = r.stamp;
    if (x.results.size() > r.at) x.results.resize(r.at);
  }
}

vector<string> Replicas::snapshot() const {
  vector<string> v;
  for (std::pair<Key const, Replica> const& p : all_)
    v.push_back(serialize(Record{recCreate, p.first.first, p.first.second, p.second.lot.stamp, 0, p.second.lot,
                                 p.second.items, p.second.results, p.second.whole}));
  return v;
}

void Replicas::create(LotRecord const& lot, string items, vector<string> results) {
  Key const k(lot.host, lot.id);
  std::map<Key, Replica>::const_iterator const i = all_.find(k);
  bool const renewed = i != all_.end() && !i->second.whole && i->second.lot.stamp == lot.stamp;
  if (i != all_.end() && i->second.lot.stamp >= lot.stamp && !renewed) {
    if (i->second.lot.stamp == lot.stamp && i->second.results.size() >= results.size()) return;
    throw Error(ErrorCode::staleStamp, lot.id);
  }
  out_.push_back(serialize(Record{recCreate, lot.host, lot.id, lot.stamp, 0, lot, items, results, true}));
  all_[k] = Replica{lot, std::move(items), std::move(results), true, true, false};
}

void Replicas::append(string const& host, string const& id, GenerationStamp s, std::uint64_t from,
                      vector<string> const& records) {
  std::map<Key, Replica>::iterator const i = all_.find({host, id});
  if (i == all_.end() || i->second.lot.stamp != s || i->second.frozen || !i->second.since || !i->second.whole)
    throw Error(ErrorCode::staleStamp, id);
  vector<string>& have = i->second.results;
  if (from > have.size()) throw Error(ErrorCode::staleStamp, id + " has a gap");
  std::size_t const skip = have.size() - from;
  if (skip >= records.size()) return;
  vector<string> const add(records.begin() + static_cast<std::ptrdiff_t>(skip), records.end());
  out_.push_back(serialize(Record{recAppend, host, id, s, have.size(), {}, "", add, true}));
  for (string const& r : add) have.push_back(r);
}

void Replicas::settle(string const& host, string const& id, GenerationStamp old, GenerationStamp s, std::uint64_t cut) {
  std::map<Key, Replica>::iterator const i = all_.find({host, id});
  if (i == all_.end() || !i->second.whole) throw Error(ErrorCode::lotUnknown, id);
  Replica& r = i->second;
  if (r.lot.stamp < old || r.lot.stamp >= s || cut > r.results.size()) throw Error(ErrorCode::staleStamp, id);
  r.lot.stamp = s;
  r.results.resize(cut);
  r.since = true;
  r.frozen = false;
  out_.push_back(serialize(Record{recSettle, host, id, s, cut, {}, "", {}, true}));
}

void Replicas::doubt(string const& host, string const& id) {
  std::map<Key, Replica>::iterator const i = all_.find({host, id});
  if (i != all_.end()) i->second.since = false;
}

void Replicas::doubtAll() {
  for (std::pair<Key const, Replica>& p : all_) p.second.whole = false;
}
bool Replicas::holds(string const& host, string const& id, GenerationStamp least) const {
  Replica const* const r = find(host, id);
  return r && r->whole && r->lot.stamp >= least;
}

bool Replicas::drop(string const& host, string const& id, GenerationStamp upTo) {
  std::map<Key, Replica>::iterator const i = all_.find({host, id});
  if (i == all_.end() || i->second.lot.stamp > upTo) return false;
  all_.erase(i);
  out_.push_back(serialize(Record{recDrop, host, id, upTo, 0, {}, "", {}, true}));
  return true;
}

Replicas::Replica const& Replicas::read(string const& host, string const& id, GenerationStamp s) const {
  std::map<Key, Replica>::const_iterator const i = all_.find({host, id});
  if (i == all_.end() || i->second.lot.stamp != s || !i->second.whole) throw Error(ErrorCode::staleStamp, id);
  return i->second;
}
SegInspectReply Replicas::inspect(string const& host, string const& id) {
  std::map<Key, Replica>::iterator const i = all_.find({host, id});
  if (i == all_.end() || !i->second.whole) return SegInspectReply{};
  i->second.frozen = true;
  return SegInspectReply{true, i->second.lot.stamp, i->second.results.size()};
}
Replicas::Replica const* Replicas::find(string const& host, string const& id) const {
  std::map<Key, Replica>::const_iterator const i = all_.find({host, id});
  return i == all_.end() ? nullptr : &i->second;
}
vector<ReplicaMark> Replicas::marks() const {
  vector<ReplicaMark> v;
  for (std::pair<Key const, Replica> const& p : all_) v.push_back({p.first.first, p.first.second, p.second.lot.stamp});
  return v;
}

}  // namespace tealshelf
