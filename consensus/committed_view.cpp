// What a node knows as committed, beside what it has merely accepted.
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

/// A whole state or joined writes take the place of what they contain. A write that comes again must not take the place
/// of a whole state or of joined writes that contain it.
void Consensus::keepAccepted(Keyspace& s, Accepted a) {
  std::map<std::uint64_t, Accepted>::const_iterator const next = s.accepted.lower_bound(a.last);
  if (next != s.accepted.end() && next->second.prev <= a.prev) return;
  std::uint64_t const last = a.last;
  std::uint64_t const from = a.prev;
  std::erase_if(s.accepted, [&](auto const& p) { return p.second.prev >= from && p.first < last; });
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

}  // namespace tealshelf
