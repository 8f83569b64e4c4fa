#include "consensus/consensus.hpp"

/// How a disk becomes a member that votes, and how it stops being one.

namespace tealshelf {

std::uint64_t KeyspaceCopy::digest() const {
  msgpack::sbuffer b;
  msgpack::pack(b, votedEpoch);
  msgpack::pack(b, entries);
  return hash64(string(b.data(), b.size()));
}

bool Consensus::isMember() const {
  Member const* const m = membership_.find(self_.id);
  return m && m->stay == self_.stay;
}

Standing Consensus::standing() const {
  Standing s;
  s.membership = membership_;
  s.copied = copied_;
  s.retired = retired_;
  s.stay = self_.stay;
  s.votedBefore = votedBefore_;
  return s;
}

void Consensus::install(Membership const& g, bool copied) {
  if (g.no <= membership_.no && membership_.no.value) return;
  bool const was = isMember();
  bool const voted = mayVote();
  membership_ = g;
  bool const is = isMember();
  retired_ = retired_ || (was && !is);
  bool const founder = is && membership_.find(self_.id)->founder;
  copied_ = is && (copied_ || copied || founder);
  votedBefore_.clear();
  for (Member const& m : membership_.former)
    if (voted && m.id == self_.id && m.stay == self_.stay) votedBefore_.push_back(m);
  recordStanding();
  for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
}

void Consensus::loseVote(std::uint64_t stay) {
  self_.stay = stay;
  self_.founder = false;
  copied_ = false;
  retired_ = false;
  votedBefore_.clear();
  recordStanding();
  for (std::pair<string const, Keyspace>& p : keyspaces_) stepDown(p.second);
}

void Consensus::comeBack(std::uint64_t stay) {
  if (!retired_) return;
  self_.stay = stay;
  self_.founder = false;
  retired_ = false;
  recordStanding();
}

void Consensus::adopt(vector<DiskCopy> const& copies) {
  // What was copied earlier goes: it could bring back a key that all members have dropped since.
  for (std::pair<string const, Keyspace>& p : keyspaces_) p.second.entries.clear();
  for (DiskCopy const& d : copies)
    for (KeyspaceCopy const& k : d) {
      Keyspace& s = keyspaces_[k.keyspace];
      s.votedEpoch = std::max(s.votedEpoch, k.votedEpoch);
      s.seen = std::max(s.seen, s.votedEpoch);
      for (std::pair<string const, Entry> const& e : k.entries) {
        Entry& x = s.entries[e.first];
        if (std::tie(x.epoch, x.seq) < std::tie(e.second.epoch, e.second.seq)) x = e.second;
      }
    }
  for (std::pair<string const, Keyspace>& p : keyspaces_) {
    startFrom(p.second, Position(), Entries(p.second.entries));
    recordDump(p.first, p.second);
  }
  copied_ = true;
  recordStanding();
}

DiskCopy Consensus::dump() const {
  DiskCopy d;
  for (std::pair<string const, Keyspace> const& p : keyspaces_) {
    KeyspaceCopy k;
    k.keyspace = p.first;
    k.votedEpoch = p.second.votedEpoch;
    k.entries = p.second.entries;
    d.push_back(std::move(k));
  }
  return d;
}

std::optional<Member> Consensus::copySource() const {
  if (mayVote()) return *membership_.find(self_.id);
  if (!votedBefore_.empty()) return votedBefore_.front();
  return std::nullopt;
}

void Consensus::noteAwake(TimePoint now) {
  // A process that slept can't tell who was silent meanwhile.
  if (awakeSince_ == TimePoint() || now - lastTick_ > times_.alive) awakeSince_ = now;
  lastTick_ = now;
}

void Consensus::noteHeard(Heartbeat const& p, TimePoint now) {
  heardOf_[p.self.id] = now;
  for (Echo const& e : p.echoes) heardOf_[e.of] = now;
}

Ms Consensus::silentFor(NodeId id, TimePoint now) const {
  if (id == self_.id || awakeSince_ == TimePoint() || now - lastTick_ > times_.alive) return Ms(0);
  std::map<NodeId, TimePoint>::const_iterator const h = heardOf_.find(id);
  TimePoint const last = h == heardOf_.end() ? awakeSince_ : std::max(awakeSince_, h->second);
  return std::chrono::duration_cast<Ms>(now - last);
}

bool Consensus::writtenAnew(TimePoint now) const {
  std::size_t voters = 0;
  std::set<string> known;
  std::set<string> owned;
  for (Member const& m : membership_.members) {
    if (!ready(m.id, now)) continue;
    ++voters;
    Heartbeat const own = m.id == self_.id ? heartbeat(now) : peers_.at(m.id).heartbeat;
    for (KeyspaceProgress const& k : own.marks) {
      known.insert(k.keyspace);
      if (k.owned) owned.insert(k.keyspace);
    }
  }
  return voters >= membership_.most() && known == owned;
}

}  // namespace tealshelf
