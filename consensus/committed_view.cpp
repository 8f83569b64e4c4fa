// What a node knows as committed, beside what it has merely accepted, and how members that lag get it.
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t mostAccepted = 1024;

/// Puts newer entries over older ones.
void merge(Entries& into, Entries const& es) {
  for (std::pair<string const, Entry> const& p : es) {
    Entry& x = into[p.first];
    if (std::tie(x.epoch, x.seq) < std::tie(p.second.epoch, p.second.seq)) x = p.second;
  }
}
}  // namespace

void Consensus::apply(Keyspace& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es) {
  if (s.acceptedEpoch != e) {
    s.acceptedEpoch = e;
    s.accepted.clear();
  }
  if (full) {
    if (s.applied == e && s.upTo > upTo) return;
    Entries keep;
    for (std::pair<string const, Entry> const& p : s.entries)
      if (p.second.epoch == e && p.second.seq > upTo) keep.insert(p);
    s.entries = es;
    for (std::pair<string const, Entry> const& p : keep) s.entries[p.first] = p.second;
    s.applied = e;
    s.upTo = upTo;
  } else {
    merge(s.entries, es);
  }
  keepAccepted(s, Accepted{full ? 0 : prev, upTo, full, es});
  extend(s);
  if (s.accepted.size() > mostAccepted) foldAccepted(s);
}

/// A whole state takes the place of all before it. A write that comes again must not take the place of a whole state or
/// of joined writes that contain it.
void Consensus::keepAccepted(Keyspace& s, Accepted a) {
  std::map<std::uint64_t, Accepted>::const_iterator const next = s.accepted.lower_bound(a.last);
  bool const contained = next != s.accepted.end() && next->second.prev < a.last;
  if (contained && (!a.full || next->second.full)) return;
  std::uint64_t const last = a.last;
  if (a.full) s.accepted.erase(s.accepted.begin(), s.accepted.lower_bound(last));
  s.accepted[last] = std::move(a);
}

/// Writes may come out of order: the row goes on as far as it has no gap.
void Consensus::extend(Keyspace& s) {
  if (s.applied != s.acceptedEpoch) return;
  for (std::pair<std::uint64_t const, Accepted> const& p : s.accepted)
    if (p.second.prev <= s.upTo) s.upTo = std::max(s.upTo, p.first);
}

/// True if the entries are just what one ownership wrote up to a position.
bool Consensus::isWhole(Keyspace const& s) const {
  if (!s.upTo) return false;
  for (std::pair<string const, Entry> const& p : s.entries)
    if (p.second.epoch != s.applied || p.second.seq > s.upTo) return false;
  return true;
}

/// Begins with entries of which a whole state at a position is known, or nothing but the entries.
void Consensus::startFrom(Keyspace& s, Position at, Entries const& es) {
  s.entries = es;
  s.applied = at.epoch;
  s.upTo = at.seq;
  s.acceptedEpoch = at.epoch;
  s.accepted.clear();
  if (at.seq) s.accepted[at.seq] = Accepted{0, at.seq, true, es};
}

/// Joins writes that follow each other, so that their number stays bounded.
void Consensus::foldAccepted(Keyspace& s) {
  using Place = std::map<std::uint64_t, Accepted>::iterator;
  for (Place i = s.accepted.begin(); i != s.accepted.end();) {
    Place const next = std::next(i);
    if (next == s.accepted.end()) return;
    if (!next->second.full && next->second.prev > i->first) {
      i = next;
      continue;
    }
    if (!next->second.full) {
      merge(i->second.entries, next->second.entries);
      i->second.last = next->first;
      next->second = std::move(i->second);
    }
    s.accepted.erase(i);
    i = next;
  }
}

void Consensus::show(Keyspace& s, Position at, bool full, Entries const& es) {
  if (full) s.view.clear();
  for (std::pair<string const, Entry> const& p : es) {
    if (p.second.gone)
      s.view.erase(p.first);
    else
      s.view[p.first] = p.second.value;
  }
  s.viewed = at;
}

/// Brings the view on, in order, up to what is committed and was accepted without a gap.
void Consensus::advanceView(Keyspace& s, Position known) {
  s.known = std::max(s.known, known);
  if (s.known.epoch != s.acceptedEpoch || s.applied != s.acceptedEpoch) return;
  std::uint64_t const to = std::min(s.known.seq, s.upTo);
  while (!s.accepted.empty() && s.accepted.begin()->first <= to) {
    Accepted const& a = s.accepted.begin()->second;
    Position const at{s.applied, a.last};
    if (at > s.viewed) {
      bool const follows = s.viewed.epoch == s.applied && a.prev <= s.viewed.seq;
      if (!a.full && !follows) return;
      show(s, at, a.full, a.entries);
    }
    s.accepted.erase(s.accepted.begin());
  }
}

std::optional<std::map<string, string>> Consensus::settled(string const& keyspace) const {
  std::map<string, Keyspace>::const_iterator const i = keyspaces_.find(keyspace);
  if (i == keyspaces_.end() || i->second.viewed == Position()) return std::nullopt;
  return i->second.view;
}

/// A member lags if it doesn't reach what was committed when it was last looked at; under steady writes it
/// is always a little behind.
void Consensus::checkLag(KeyspaceProgress const& k, Identity member, Keyspace& s, Moment now) {
  Lag& l = s.lags[member];
  bool const follows = k.epoch == s.epoch;
  if (l.since == Moment() || (follows && k.upTo >= l.target)) {
    l.since = now;
    l.target = s.committed;
    return;
  }
  if (now - l.since < 2 * times_.again || now - l.sent < 4 * times_.again) return;
  if (sendCommitted(k.keyspace, s, member)) l.sent = now;
}

/// The committed state with the epoch and the tombstones; nothing while this node's own disk lags itself.
std::optional<Entries> Consensus::committedEntries(Keyspace const& s) const {
  if (s.applied != s.epoch || s.upTo < s.committed) return std::nullopt;
  Entries es;
  for (std::pair<string const, Entry> const& p : s.entries) {
    if (p.second.seq <= s.committed) {
      es.insert(p);
      continue;
    }
    // A later write of the key is under way. Where the key isn't there, a tombstone says so: left out,
    // it could come back from a disk that missed its removal.
    std::map<string, string>::const_iterator const v = s.view.find(p.first);
    bool const gone = v == s.view.end();
    es[p.first] = Entry{s.epoch, s.committed, gone ? "" : v->second, gone};
  }
  return es;
}

bool Consensus::sendCommitted(string const& name, Keyspace& s, Identity to) {
  std::optional<Entries> es = committedEntries(s);
  if (!es) return false;
  Message m;
  m.sort = Message::accept;
  m.membership = membership_.no;
  m.from = self_.id;
  m.to = to;
  m.keyspace = name;
  m.epoch = s.epoch;
  m.full = true;
  m.upTo = s.committed;
  m.committed = s.committed;
  m.entries = std::move(*es);
  post(std::move(m));
  return true;
}

}  // namespace tealshelf
