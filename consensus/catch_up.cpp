// Members that lag are brought up to what is committed, in pieces, while writes go on.
#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
constexpr std::size_t pieceBytes = 64u << 10;
constexpr std::size_t recentMost = 256u << 10;

std::size_t bytesOf(std::pair<string const, Entry> const& p) {
  return p.first.size() + p.second.value.size() + sizeof(Entry);
}
std::size_t bytesOf(Entries const& es) {
  std::size_t n = 0;
  for (std::pair<string const, Entry> const& p : es) n += bytesOf(p);
  return n;
}
}  // namespace

/// A member lags if it doesn't reach what was committed when it was last looked at; under steady writes it
/// is always a little behind.
void Consensus::checkLag(KeyspaceProgress const& k, NodeId member, Keyspace& s, TimePoint now) {
  Lag& l = s.lags[member];
  bool const follows = k.epoch == s.epoch;
  if (l.since == TimePoint() || (follows && k.upTo >= l.target)) {
    l.since = now;
    l.target = s.committed;
    s.transfers.erase(member);
    return;
  }
  if (now - l.since < 2 * times_.again) return;
  std::map<NodeId, Transfer>::iterator const t = s.transfers.find(member);
  if (t == s.transfers.end())
    startTransfer(k.keyspace, s, k, member, now);
  else if (now - t->second.sent > 4 * times_.again)
    sendPiece(k.keyspace, s, t->second, member, now);
}

/// Keeps a committed write for members that come back, as far as the bound allows.
void Consensus::remember(Keyspace& s, Write w) {
  if (w.full) return;
  s.recentBytes += bytesOf(w.entries);
  s.recent.push_back(std::move(w));
  while (s.recentBytes > recentMost) {
    s.recentBytes -= bytesOf(s.recent.front().entries);
    s.recent.pop_front();
  }
}

/// What was committed after a position, if the writes are still known without a gap.
std::optional<Entries> Consensus::changesAfter(Keyspace const& s, std::uint64_t upTo) const {
  Entries es;
  std::uint64_t reached = upTo;
  for (std::deque<Write> const* const writes : {&s.recent, &s.writes})
    for (Write const& w : *writes) {
      if (!w.done || w.full || w.last <= reached) continue;
      if (w.first - 1 > reached) return std::nullopt;
      for (std::pair<string const, Entry> const& p : w.entries) es[p.first] = p.second;
      reached = w.last;
    }
  if (reached < s.committed) return std::nullopt;
  return es;
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

void Consensus::startTransfer(string const& name, Keyspace& s, KeyspaceProgress const& k, NodeId to, TimePoint now) {
  std::optional<Entries> es;
  if (k.epoch == s.epoch && k.upTo) es = changesAfter(s, k.upTo);
  bool const full = !es;
  if (full) es = committedEntries(s);
  if (!es) return;
  Transfer& t = s.transfers[to];
  t.id = ++lastRound_;
  t.full = full;
  t.prev = full ? 0 : k.upTo;
  t.upTo = s.committed;
  t.state = std::move(*es);
  sendPiece(name, s, t, to, now);
}

void Consensus::sendPiece(string const& name, Keyspace& s, Transfer& t, NodeId to, TimePoint now) {
  Message m;
  m.sort = Message::piece;
  m.membership = membership_.no;
  m.from = self_.id;
  m.to = to;
  m.keyspace = name;
  m.epoch = s.epoch;
  m.transfer = t.id;
  m.round = t.piece;
  m.full = t.full;
  m.prev = t.prev;
  m.upTo = t.upTo;
  m.committed = s.committed;
  Entries::const_iterator i = t.state.lower_bound(t.from);
  for (std::size_t n = 0; i != t.state.end() && n < pieceBytes; ++i) {
    m.entries.insert(*i);
    n += bytesOf(*i);
  }
  t.last = i == t.state.end();
  if (!t.last) t.next = i->first;
  t.sent = now;
  m.last = t.last;
  post(std::move(m));
}

/// Pieces are gathered in memory; the last one makes them one accepted state, on the disk as a whole.
void Consensus::onPiece(Message const& m, Keyspace& s) {
  Message r = reply(m, Message::pieceTaken);
  if (m.epoch >= s.votedEpoch) {
    Incoming& in = s.incoming;
    bool const same = in.id == m.transfer && in.epoch == m.epoch;
    if (!same && m.round == 0) in = Incoming{m.transfer, 0, m.epoch, {}};
    bool const next = in.id == m.transfer && in.epoch == m.epoch && in.next == m.round;
    if (next) {
      ++in.next;
      in.entries.insert(m.entries.begin(), m.entries.end());
    }
    r.ok = next || (same && m.round < in.next);
    if (next && m.last) {
      Message whole = m;
      whole.entries = std::move(in.entries);
      in.entries.clear();
      acceptWrites(whole, s);
    }
  }
  r.votedEpoch = s.votedEpoch;
  post(std::move(r));
}

/// The next piece goes out once the one before was taken; a member that has lost its pieces gets a new transfer.
void Consensus::onPieceTaken(Message const& m, Keyspace& s, TimePoint now) {
  if (m.epoch != s.epoch || s.phase != Phase::owning) return;
  if (!m.ok) refused(m, s);
  std::map<NodeId, Transfer>::iterator const t = s.transfers.find(m.from);
  if (t == s.transfers.end() || t->second.id != m.transfer || t->second.piece != m.round) return;
  if (!m.ok || t->second.last) {
    s.transfers.erase(t);
    s.lags.erase(m.from);
    return;
  }
  ++t->second.piece;
  t->second.from = t->second.next;
  sendPiece(m.keyspace, s, t->second, m.from, now);
}

}  // namespace tealshelf
