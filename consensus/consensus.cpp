#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recVote = 1, recAccept = 2, recMembership = 3, recDump = 4 };
struct Record {
  int sort = 0;
  string keyspace;
  Epoch epoch;
  std::uint64_t prev = 0, upTo = 0;
  bool full = false;
  Entries entries;
  Membership membership;
  bool copied = false, lostVote = false;
  MSGPACK_DEFINE(sort, keyspace, epoch, prev, upTo, full, entries, membership, copied, lostVote)
};
string packRecord(Record const& r) {
  msgpack::sbuffer b;
  msgpack::pack(b, r);
  return string(b.data(), b.size());
}
}  // namespace

Member const* Membership::find(Identity id) const {
  for (Member const& m : members)
    if (m.id == id) return &m;
  return nullptr;
}

void Consensus::record(int sort, string const& keyspace, Epoch e, Message const* m) {
  Record r;
  r.sort = sort;
  r.keyspace = keyspace;
  r.epoch = e;
  if (m) {
    r.prev = m->prev;
    r.upTo = m->upTo;
    r.full = m->full;
    r.entries = m->entries;
  }
  if (sort == recMembership) {
    r.membership = membership_;
    r.copied = copied_;
    r.lostVote = lostVote_;
  }
  out_.records.push_back(packRecord(r));
  out_.sync = true;
}

void Consensus::replay(string const& bytes) {
  Record r;
  try {
    r = msgpack::unpack(bytes.data(), bytes.size()).get().as<Record>();
  } catch (std::exception const&) {
    throw Error(Code::badMessage, "consensus record");
  }
  if (r.sort == recMembership) {
    membership_ = r.membership;
    copied_ = r.copied;
    lostVote_ = r.lostVote;
    return;
  }
  Keyspace& s = keyspaces_[r.keyspace];
  s.votedEpoch = std::max(s.votedEpoch, r.epoch);
  s.seen = std::max(s.seen, r.epoch);
  if (r.sort == recAccept) apply(s, r.epoch, r.full, r.prev, r.upTo, r.entries);
  if (r.sort == recDump) {
    s.entries = r.entries;
    s.upTo = 0;
  }
}

vector<string> Consensus::snapshot() const {
  vector<string> v;
  Record g;
  g.sort = recMembership;
  g.membership = membership_;
  g.copied = copied_;
  g.lostVote = lostVote_;
  v.push_back(packRecord(g));
  for (std::pair<string const, Keyspace> const& p : keyspaces_) {
    Record r;
    r.sort = recDump;
    r.keyspace = p.first;
    r.epoch = p.second.votedEpoch;
    r.entries = p.second.entries;
    v.push_back(packRecord(r));
  }
  return v;
}

void Consensus::install(Membership const& g, bool copied) {
  if (g.no <= membership_.no && membership_.no.v) return;
  membership_ = g;
  Member const* const me = membership_.find(self_.id);
  copied_ = me && !lostVote_ && (copied_ || copied || me->founder);
  record(recMembership, "", Epoch(), nullptr);
  for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
}

void Consensus::markCopied() {
  copied_ = true;
  lostVote_ = false;
  record(recMembership, "", Epoch(), nullptr);
}

void Consensus::absorb(vector<std::pair<string, std::pair<Epoch, Entries>>> const& l) {
  for (std::pair<string, std::pair<Epoch, Entries>> const& p : l) {
    Keyspace& s = keyspaces_[p.first];
    s.votedEpoch = std::max(s.votedEpoch, p.second.first);
    s.seen = std::max(s.seen, s.votedEpoch);
    for (std::pair<string const, Entry> const& e : p.second.second) {
      Entry& x = s.entries[e.first];
      if (std::tie(x.epoch, x.seq) < std::tie(e.second.epoch, e.second.seq)) x = e.second;
    }
    s.upTo = 0;
    Record r;
    r.sort = recDump;
    r.keyspace = p.first;
    r.epoch = s.votedEpoch;
    r.entries = s.entries;
    out_.records.push_back(packRecord(r));
  }
  out_.sync = true;
}

vector<std::pair<string, std::pair<Epoch, Entries>>> Consensus::dump() const {
  vector<std::pair<string, std::pair<Epoch, Entries>>> v;
  for (std::pair<string const, Keyspace> const& p : keyspaces_)
    v.push_back({p.first, {p.second.votedEpoch, p.second.entries}});
  return v;
}

void Consensus::know(string const& keyspace) {
  keyspaces_[keyspace];
}
vector<string> Consensus::keyspaces() const {
  vector<string> v;
  for (std::pair<string const, Keyspace> const& p : keyspaces_) v.push_back(p.first);
  return v;
}

bool Consensus::alive(Identity id, Moment now) const {
  if (id == self_.id) return true;
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  if (p == peers_.end() || now - p->second.at > times_.alive) return false;
  std::size_t n = 1;
  for (Identity const& h : p->second.heartbeat.hears)
    if (h != id && membership_.find(h)) ++n;
  return n >= membership_.most();
}
/// Both ways: a member counts only if its own heartbeat says that it hears this node.
bool Consensus::mutual(Peer const& p) const {
  return std::find(p.heartbeat.hears.begin(), p.heartbeat.hears.end(), self_.id) != p.heartbeat.hears.end();
}
bool Consensus::inMajority(Moment now) const {
  std::size_t n = 0;
  for (Member const& m : membership_.members) {
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id || (p != peers_.end() && now - p->second.at <= times_.alive && mutual(p->second))) ++n;
  }
  return !membership_.members.empty() && n >= membership_.most();
}
Moment Consensus::provenAt(Moment now) const {
  vector<Moment> at;
  for (Member const& m : membership_.members) {
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id)
      at.push_back(now);
    else if (p != peers_.end() && mutual(p->second))
      at.push_back(p->second.at);
  }
  if (membership_.members.empty() || at.size() < membership_.most()) return Moment();
  std::sort(at.begin(), at.end(), std::greater<Moment>());
  return at[membership_.most() - 1];
}
bool Consensus::ready(Identity id, Moment now) const {
  if (id == self_.id) return copied_;
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  return p != peers_.end() && alive(id, now) && p->second.heartbeat.copied &&
         p->second.heartbeat.membership == membership_.no;
}
Moment Consensus::lastHeard(Identity id) const {
  std::map<Identity, Peer>::const_iterator const p = peers_.find(id);
  return p == peers_.end() ? Moment() : p->second.at;
}

void Consensus::loseVote() {
  copied_ = false;
  lostVote_ = true;
  record(recMembership, "", Epoch(), nullptr);
  for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
}

bool Consensus::abstain(bool abstains) {
  if (abstains_ == abstains) return false;
  abstains_ = abstains;
  if (abstains_)
    for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
  return true;
}

Member const* Consensus::wanted(string const& keyspace, Moment now) const {
  Member const* best = nullptr;
  std::pair<bool, std::uint64_t> top;
  for (Member const& m : membership_.members) {
    if (!alive(m.id, now)) continue;
    std::map<Identity, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id ? !copied_ || abstains_ : (p == peers_.end() || !p->second.heartbeat.copied)) continue;
    // One without a disk owns nothing while one with a disk can.
    std::pair<bool, std::uint64_t> const rank(m.disk, hashOf(hex(m.id.v), hashOf(keyspace)));
    if (!best || rank > top) {
      best = &m;
      top = rank;
    }
  }
  return best;
}

Heartbeat Consensus::heartbeat(Moment now) const {
  Heartbeat p;
  p.self = self_;
  p.membership = membership_.no;
  p.copied = copied_ && !abstains_;
  for (std::pair<Identity const, Peer> const& q : peers_)
    if (now - q.second.at <= times_.alive) p.hears.push_back(q.first);
  for (std::pair<string const, Keyspace> const& q : keyspaces_) {
    Keyspace const& s = q.second;
    KeyspaceProgress k;
    k.keyspace = q.first;
    k.owned = s.phase == Phase::owning;
    k.epoch = k.owned ? s.epoch : s.applied;
    k.upTo = s.upTo;
    k.committed = s.committed;
    p.marks.push_back(k);
  }
  return p;
}

void Consensus::heard(Heartbeat const& p, Moment now) {
  if (p.self.id == self_.id) return;
  peers_[p.self.id] = {now, p};
  if (p.membership != membership_.no || !membership_.find(p.self.id)) return;
  for (KeyspaceProgress const& k : p.marks) {
    Keyspace& s = keyspaces_[k.keyspace];
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
    Message m;
    m.sort = Message::accept;
    m.membership = membership_.no;
    m.from = self_.id;
    m.to = p.self.id;
    m.keyspace = k.keyspace;
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

std::optional<std::map<string, string>> Consensus::settled(string const& keyspace) const {
  std::map<string, Keyspace>::const_iterator const i = keyspaces_.find(keyspace);
  if (i == keyspaces_.end()) return std::nullopt;
  Keyspace const& s = i->second;
  if (s.phase == Phase::owning) return s.view;
  if (s.applied != s.knownEpoch || s.upTo < s.knownCommitted || !s.knownCommitted) return std::nullopt;
  std::map<string, string> v;
  for (std::pair<string const, Entry> const& e : s.entries) {
    if (e.second.epoch != s.applied || e.second.seq > s.knownCommitted) return std::nullopt;
    if (!e.second.gone) v[e.first] = e.second.value;
  }
  return v;
}

bool Consensus::owns(string const& keyspace) const {
  std::map<string, Keyspace>::const_iterator const i = keyspaces_.find(keyspace);
  return i != keyspaces_.end() && i->second.phase == Phase::owning;
}
Epoch Consensus::epochOf(string const& keyspace) const {
  std::map<string, Keyspace>::const_iterator const i = keyspaces_.find(keyspace);
  return i == keyspaces_.end() ? Epoch() : i->second.epoch;
}
std::map<string, string> const& Consensus::view(string const& keyspace) const {
  static std::map<string, string> const none;
  std::map<string, Keyspace>::const_iterator const i = keyspaces_.find(keyspace);
  return i == keyspaces_.end() ? none : i->second.view;
}

}  // namespace tealshelf
