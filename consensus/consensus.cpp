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
  Standing standing;
  Epoch applied;  ///< of a dump: the ownership whose writes up to upTo are in it, and no others
  MSGPACK_DEFINE(sort, keyspace, epoch, prev, upTo, full, entries, standing, applied)
};
string packRecord(Record const& r) {
  msgpack::sbuffer b;
  msgpack::pack(b, r);
  return string(b.data(), b.size());
}
}  // namespace

Member const* Membership::find(NodeId id) const {
  for (Member const& m : members)
    if (m.id == id) return &m;
  return nullptr;
}

bool Heartbeat::hears(NodeId id) const {
  for (Echo const& e : echoes)
    if (e.of == id) return true;
  return false;
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
  if (sort == recMembership) r.standing = standing();
  out_.records.push_back(packRecord(r));
  out_.sync = true;
}

void Consensus::replay(string const& bytes) {
  Record r;
  try {
    r = msgpack::unpack(bytes.data(), bytes.size()).get().as<Record>();
  } catch (std::exception const&) {
    throw Error(ErrorCode::badMessage, "consensus record");
  }
  if (r.sort == recMembership) {
    membership_ = r.standing.membership;
    copied_ = r.standing.copied;
    retired_ = r.standing.retired;
    self_.stay = r.standing.stay;
    votedBefore_ = r.standing.votedBefore;
    return;
  }
  Keyspace& s = keyspaces_[r.keyspace];
  s.votedEpoch = std::max(s.votedEpoch, r.epoch);
  s.seen = std::max(s.seen, r.epoch);
  if (r.sort == recAccept) {
    apply(s, r.epoch, r.full, r.prev, r.upTo, r.entries);
    foldAccepted(s);
  }
  if (r.sort == recDump) startFrom(s, Position{r.applied, r.upTo}, r.entries);
}

vector<string> Consensus::snapshot() const {
  vector<string> v;
  Record g;
  g.sort = recMembership;
  g.standing = standing();
  v.push_back(packRecord(g));
  for (std::pair<string const, Keyspace> const& p : keyspaces_) {
    Record r;
    r.sort = recDump;
    r.keyspace = p.first;
    r.epoch = p.second.votedEpoch;
    r.entries = p.second.entries;
    if (isWhole(p.second)) {
      r.applied = p.second.applied;
      r.upTo = p.second.upTo;
    }
    v.push_back(packRecord(r));
  }
  return v;
}

void Consensus::recordStanding() {
  record(recMembership, "", Epoch(), nullptr);
}
void Consensus::recordDump(string const& name, Keyspace const& s) {
  Record r;
  r.sort = recDump;
  r.keyspace = name;
  r.epoch = s.votedEpoch;
  r.entries = s.entries;
  out_.records.push_back(packRecord(r));
  out_.sync = true;
}

void Consensus::know(string const& keyspace) {
  keyspaces_[keyspace];
}
vector<string> Consensus::keyspaces() const {
  vector<string> v;
  for (std::pair<string const, Keyspace> const& p : keyspaces_) v.push_back(p.first);
  return v;
}

bool Consensus::alive(NodeId id, TimePoint now) const {
  if (id == self_.id) return true;
  std::map<NodeId, Peer>::const_iterator const p = peers_.find(id);
  if (p == peers_.end() || p->second.contact == TimePoint()) return false;
  if (now - p->second.contact > times_.alive || now - p->second.at > times_.alive) return false;
  std::size_t n = 1;
  for (Echo const& e : p->second.heartbeat.echoes)
    if (e.of != id && membership_.find(e.of)) ++n;
  return n >= membership_.most();
}
bool Consensus::inMajority(TimePoint now) const {
  TimePoint const at = provenAt(now);
  return at != TimePoint() && now - at <= times_.alive;
}
TimePoint Consensus::provenAt(TimePoint now) const {
  vector<TimePoint> contacts;
  for (Member const& m : membership_.members) {
    std::map<NodeId, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id)
      contacts.push_back(now);
    else if (p != peers_.end())
      contacts.push_back(p->second.contact);
  }
  if (membership_.members.empty() || contacts.size() < membership_.most()) return TimePoint();
  std::sort(contacts.begin(), contacts.end(), std::greater<TimePoint>());
  return contacts[membership_.most() - 1];
}
bool Consensus::ready(NodeId id, TimePoint now) const {
  if (id == self_.id) return copied_;
  std::map<NodeId, Peer>::const_iterator const p = peers_.find(id);
  return p != peers_.end() && alive(id, now) && p->second.heartbeat.copied &&
         p->second.heartbeat.membership == membership_.no;
}

bool Consensus::abstain(bool abstains) {
  if (abstains_ == abstains) return false;
  abstains_ = abstains;
  if (abstains_)
    for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
  return true;
}

Member const* Consensus::wanted(string const& keyspace, TimePoint now) const {
  Member const* best = nullptr;
  std::pair<bool, std::uint64_t> top;
  for (Member const& m : membership_.members) {
    if (!alive(m.id, now)) continue;
    std::map<NodeId, Peer>::const_iterator const p = peers_.find(m.id);
    if (m.id == self_.id ? !copied_ || abstains_ : (p == peers_.end() || !p->second.heartbeat.copied)) continue;
    // One without a disk owns nothing while one with a disk can.
    std::pair<bool, std::uint64_t> const rank(m.disk, hash64(hex(m.id.value), hash64(keyspace)));
    if (!best || rank > top) {
      best = &m;
      top = rank;
    }
  }
  return best;
}

Heartbeat Consensus::heartbeat(TimePoint now) const {
  Heartbeat p;
  p.self = self_;
  p.membership = membership_.no;
  p.copied = copied_ && !abstains_;
  p.sent = OwnMoment{life_, now.time_since_epoch().count()};
  for (std::pair<NodeId const, Peer> const& q : peers_)
    if (now - q.second.at <= times_.alive) p.echoes.push_back(Echo{q.first, q.second.heartbeat.sent});
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

void Consensus::echoed(NodeId from, OwnMoment const& sent, TimePoint now) {
  TimePoint const at = TimePoint(TimePoint::duration(sent.ticks));
  if (sent.life != life_ || at > now) return;
  Peer& p = peers_[from];
  p.contact = std::max(p.contact, at);
}

void Consensus::heard(Heartbeat const& p, TimePoint now) {
  if (p.self.id == self_.id) return;
  for (Echo const& e : p.echoes)
    if (e.of == self_.id) echoed(p.self.id, e.sent, now);
  Peer& peer = peers_[p.self.id];
  OwnMoment const& last = peer.heartbeat.sent;
  // One that was overtaken by a later heartbeat of the same life says nothing new.
  if (last.life == p.sent.life && p.sent.ticks < last.ticks) return;
  peer.at = now;
  peer.heartbeat = p;
  noteHeard(p, now);
  if (p.membership != membership_.no || !membership_.find(p.self.id)) return;
  for (KeyspaceProgress const& k : p.marks) {
    Keyspace& s = keyspaces_[k.keyspace];
    s.seen = std::max(s.seen, k.epoch);
    if (k.owned) advanceView(s, Position{k.epoch, k.committed});
    if (s.phase == Phase::owning && !k.owned) checkLag(k, p.self.id, s, now);
  }
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
