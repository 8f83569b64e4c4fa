#include "registry/registry.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recPromise = 1, recAccept = 2, recGroup = 3, recDump = 4 };
struct Record {
  int sort = 0;
  string shelf;
  Epoch epoch;
  std::uint64_t prev = 0, upTo = 0;
  bool full = false;
  Entries entries;
  Group group;
  bool copied = false;
  MSGPACK_DEFINE(sort, shelf, epoch, prev, upTo, full, entries, group, copied)
};
string packRecord(Record const& r) {
  msgpack::sbuffer b;
  msgpack::pack(b, r);
  return string(b.data(), b.size());
}
}  // namespace

Member const* Group::find(Identity id) const {
  for (Member const& m : members)
    if (m.id == id) return &m;
  return nullptr;
}

void Registry::record(int sort, string const& shelf, Epoch e, Mail const* m) {
  Record r;
  r.sort = sort;
  r.shelf = shelf;
  r.epoch = e;
  if (m) {
    r.prev = m->prev;
    r.upTo = m->upTo;
    r.full = m->full;
    r.entries = m->entries;
  }
  if (sort == recGroup) {
    r.group = group_;
    r.copied = copied_;
  }
  out_.records.push_back(packRecord(r));
  out_.sync = true;
}

void Registry::replay(string const& bytes) {
  Record r;
  try {
    r = msgpack::unpack(bytes.data(), bytes.size()).get().as<Record>();
  } catch (std::exception const&) {
    throw Error(Code::badMessage, "registry record");
  }
  if (r.sort == recGroup) {
    group_ = r.group;
    copied_ = r.copied;
    return;
  }
  Shelf& s = shelves_[r.shelf];
  s.promised = std::max(s.promised, r.epoch);
  s.seen = std::max(s.seen, r.epoch);
  if (r.sort == recAccept) apply(s, r.epoch, r.full, r.prev, r.upTo, r.entries);
  if (r.sort == recDump) {
    s.entries = r.entries;
    s.upTo = 0;
  }
}

vector<string> Registry::snapshot() const {
  vector<string> v;
  Record g;
  g.sort = recGroup;
  g.group = group_;
  g.copied = copied_;
  v.push_back(packRecord(g));
  for (std::pair<string const, Shelf> const& p : shelves_) {
    Record r;
    r.sort = recDump;
    r.shelf = p.first;
    r.epoch = p.second.promised;
    r.entries = p.second.entries;
    v.push_back(packRecord(r));
  }
  return v;
}

void Registry::install(Group const& g, bool copied) {
  if (g.no <= group_.no && group_.no.v) return;
  group_ = g;
  Member const* const me = group_.find(self_.id);
  copied_ = me && (copied_ || copied || me->founder);
  record(recGroup, "", Epoch(), nullptr);
  for (std::pair<string const, Shelf>& p : shelves_) stepDown(p.second);
}

void Registry::markCopied() {
  copied_ = true;
  record(recGroup, "", Epoch(), nullptr);
}

void Registry::absorb(vector<std::pair<string, std::pair<Epoch, Entries>>> const& l) {
  for (std::pair<string, std::pair<Epoch, Entries>> const& p : l) {
    Shelf& s = shelves_[p.first];
    s.promised = std::max(s.promised, p.second.first);
    s.seen = std::max(s.seen, s.promised);
    for (std::pair<string const, Entry> const& e : p.second.second) {
      Entry& x = s.entries[e.first];
      if (std::tie(x.epoch, x.seq) < std::tie(e.second.epoch, e.second.seq)) x = e.second;
    }
    s.upTo = 0;
    Record r;
    r.sort = recDump;
    r.shelf = p.first;
    r.epoch = s.promised;
    r.entries = s.entries;
    out_.records.push_back(packRecord(r));
  }
  out_.sync = true;
}

vector<std::pair<string, std::pair<Epoch, Entries>>> Registry::dump() const {
  vector<std::pair<string, std::pair<Epoch, Entries>>> v;
  for (std::pair<string const, Shelf> const& p : shelves_)
    v.push_back({p.first, {p.second.promised, p.second.entries}});
  return v;
}

void Registry::know(string const& shelf) {
  shelves_[shelf];
}
vector<string> Registry::shelves() const {
  vector<string> v;
  for (std::pair<string const, Shelf> const& p : shelves_) v.push_back(p.first);
  return v;
}

bool Registry::alive(Identity id, Moment now) const {
  if (id == self_.id) return true;
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  if (p == peers_.end() || now - p->second.at > times_.alive) return false;
  std::size_t n = 1;
  for (Identity const& h : p->second.ping.hears)
    if (h != id && group_.find(h)) ++n;
  return n >= group_.most();
}
/// Both ways: a member counts only if its own ping says that it hears this node.
bool Registry::mutual(Peer const& p) const {
  return std::find(p.ping.hears.begin(), p.ping.hears.end(), self_.id) != p.ping.hears.end();
}
bool Registry::inMajority(Moment now) const {
  std::size_t n = 0;
  for (Member const& m : group_.members) {
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id || (p != peers_.end() && now - p->second.at <= times_.alive && mutual(p->second))) ++n;
  }
  return !group_.members.empty() && n >= group_.most();
}
Moment Registry::provenAt(Moment now) const {
  vector<Moment> at;
  for (Member const& m : group_.members) {
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id)
      at.push_back(now);
    else if (p != peers_.end() && mutual(p->second))
      at.push_back(p->second.at);
  }
  if (group_.members.empty() || at.size() < group_.most()) return Moment();
  std::sort(at.begin(), at.end(), std::greater<Moment>());
  return at[group_.most() - 1];
}
bool Registry::ready(Identity id, Moment now) const {
  if (id == self_.id) return copied_;
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  return p != peers_.end() && alive(id, now) && p->second.ping.copied && p->second.ping.group == group_.no;
}
Moment Registry::lastHeard(Identity id) const {
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  return p == peers_.end() ? Moment() : p->second.at;
}

Member const* Registry::wanted(string const& shelf, Moment now) const {
  Member const* best = nullptr;
  std::pair<bool, std::uint64_t> top;
  for (Member const& m : group_.members) {
    if (!alive(m.id, now)) continue;
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id ? !copied_ : (p == peers_.end() || !p->second.ping.copied)) continue;
    // One without a disk owns nothing while one with a disk can.
    std::pair<bool, std::uint64_t> const rank(m.disk, hashOf(hex(m.id.v), hashOf(shelf)));
    if (!best || rank > top) {
      best = &m;
      top = rank;
    }
  }
  return best;
}

Ping Registry::ping(Moment now) const {
  Ping p;
  p.self = self_;
  p.group = group_.no;
  p.copied = copied_;
  for (std::pair<Identity const, Peer> const& q : peers_)
    if (now - q.second.at <= times_.alive) p.hears.push_back(q.first);
  for (std::pair<string const, Shelf> const& q : shelves_) {
    Shelf const& s = q.second;
    ShelfMark k;
    k.shelf = q.first;
    k.owned = s.phase == Phase::owning;
    k.epoch = k.owned ? s.epoch : s.applied;
    k.upTo = s.upTo;
    k.committed = s.committed;
    p.marks.push_back(k);
  }
  return p;
}

void Registry::heard(Ping const& p, Moment now) {
  if (p.self.id == self_.id) return;
  peers_[p.self.id] = {now, p};
  if (p.group != group_.no || !group_.find(p.self.id)) return;
  for (ShelfMark const& k : p.marks) {
    Shelf& s = shelves_[k.shelf];
    s.seen = std::max(s.seen, k.epoch);
    if (k.owned && std::tie(s.knownEpoch, s.knownCommitted) < std::tie(k.epoch, k.committed)) {
      s.knownEpoch = k.epoch;
      s.knownCommitted = k.committed;
    }
    if (s.phase != Phase::owning || k.owned) continue;
    if (k.epoch == s.epoch && k.upTo >= s.committed) {
      s.behind.erase(p.self.id);
      continue;
    }
    std::pair<Moment, Moment>& b = s.behind[p.self.id];
    if (b.first == Moment()) {
      b.first = now;
      continue;
    }
    if (now - b.first < 2 * times_.again || now - b.second < 4 * times_.again) continue;
    b.second = now;
    Mail m;
    m.sort = Mail::accept;
    m.group = group_.no;
    m.from = self_.id;
    m.to = p.self.id;
    m.shelf = k.shelf;
    m.epoch = s.epoch;
    m.full = true;
    m.upTo = s.committed;
    for (std::pair<string const, Entry> const& e : s.entries)
      if (e.second.seq <= s.committed) m.entries.insert(e);
    bool clean = s.applied == s.epoch && s.upTo >= s.committed;
    for (std::pair<string const, Entry> const& e : s.entries) clean = clean && e.second.seq <= s.committed;
    if (clean) post(std::move(m));
  }
}

std::optional<std::map<string, string>> Registry::settled(string const& shelf) const {
  std::map<string, Shelf>::const_iterator const i = shelves_.find(shelf);
  if (i == shelves_.end()) return std::nullopt;
  Shelf const& s = i->second;
  if (s.phase == Phase::owning) return s.view;
  if (s.applied != s.knownEpoch || s.upTo < s.knownCommitted || !s.knownCommitted) return std::nullopt;
  std::map<string, string> v;
  for (std::pair<string const, Entry> const& e : s.entries) {
    if (e.second.epoch != s.applied || e.second.seq > s.knownCommitted) return std::nullopt;
    if (!e.second.gone) v[e.first] = e.second.value;
  }
  return v;
}

bool Registry::owns(string const& shelf) const {
  std::map<string, Shelf>::const_iterator const i = shelves_.find(shelf);
  return i != shelves_.end() && i->second.phase == Phase::owning;
}
Epoch Registry::epochOf(string const& shelf) const {
  std::map<string, Shelf>::const_iterator const i = shelves_.find(shelf);
  return i == shelves_.end() ? Epoch() : i->second.epoch;
}
std::map<string, string> const& Registry::view(string const& shelf) const {
  static std::map<string, string> const none;
  std::map<string, Shelf>::const_iterator const i = shelves_.find(shelf);
  return i == shelves_.end() ? none : i->second.view;
}

}  // namespace tealshelf
