#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recVote = 1, recAccept = 2 };
}

void Consensus::finish(vector<std::uint64_t> const& ops, bool ok) {
  for (std::uint64_t const op : ops)
    if (op) out_.outcomes.push_back({op, ok});
}

void Consensus::stepDown(Keyspace& s) {
  for (Write const& w : s.writes)
    if (!w.done) finish({w.op}, false);
  for (Read const& r : s.reads) finish(r.ops, false);
  s.writes.clear();
  s.reads.clear();
  s.behind.clear();
  s.phase = Phase::none;
}

void Consensus::startTakeover(string const& name, Keyspace& s, Moment now) {
  stepDown(s);
  s.phase = Phase::taking;
  s.since = now;
  s.epoch = {std::max(s.seen.n, s.votedEpoch.n) + 1, self_.id.v};
  s.seen = s.epoch;
  s.votes.clear();
  s.gathered.clear();
  sendVoteRequests(name, s, now);
}

void Consensus::sendVoteRequests(string const& name, Keyspace& s, Moment now) {
  s.sent = now;
  for (Member const& m : membership_.members) {
    if (s.votes.count(m.id)) continue;
    Message x;
    x.sort = Message::requestVote;
    x.membership = membership_.no;
    x.from = self_.id;
    x.to = m.id;
    x.keyspace = name;
    x.epoch = s.epoch;
    post(std::move(x));
  }
}

void Consensus::sendWrite(string const& name, Keyspace& s, Write& w, Moment now) {
  w.sent = now;
  for (Member const& m : membership_.members) {
    if (w.acks.count(m.id)) continue;
    Message x;
    x.sort = Message::accept;
    x.membership = membership_.no;
    x.from = self_.id;
    x.to = m.id;
    x.keyspace = name;
    x.epoch = s.epoch;
    x.prev = w.first - 1;
    x.upTo = w.last;
    x.full = w.full;
    x.entries = w.entries;
    post(std::move(x));
  }
}

void Consensus::sendRead(string const& name, Keyspace& s, Read& r, Moment now) {
  r.sent = now;
  for (Member const& m : membership_.members) {
    if (r.acks.count(m.id)) continue;
    Message x;
    x.sort = Message::confirm;
    x.membership = membership_.no;
    x.from = self_.id;
    x.to = m.id;
    x.keyspace = name;
    x.epoch = s.epoch;
    x.round = r.round;
    post(std::move(x));
  }
}

void Consensus::tick(Moment now) {
  noteAwake(now);
  if (!mayVote()) return;
  for (std::pair<string const, Keyspace>& p : keyspaces_) {
    Keyspace& s = p.second;
    Member const* const w = wanted(p.first, now);
    bool const mine = w && w->id == self_.id && inMajority(now);
    if (s.phase == Phase::none && mine)
      startTakeover(p.first, s, now);
    else if (s.phase == Phase::taking || s.phase == Phase::writing) {
      if (now - s.since > 20 * times_.again && (!mine || s.seen > s.epoch))
        stepDown(s);
      else if (s.phase == Phase::taking && now - s.sent > times_.again)
        sendVoteRequests(p.first, s, now);
    }
    for (Write& x : s.writes)
      if (now - x.sent > times_.again) sendWrite(p.first, s, x, now);
    for (Read& x : s.reads)
      if (now - x.sent > times_.again) sendRead(p.first, s, x, now);
    while (!s.writes.empty() && s.writes.front().done) {
      bool all = true;
      for (Member const& m : membership_.members) all = all && (s.writes.front().acks.count(m.id) || !alive(m.id, now));
      if (!all && s.writes.size() < 64) break;
      s.writes.pop_front();
    }
  }
}

std::uint64_t Consensus::propose(string const& keyspace, vector<Change> cs, Moment now) {
  Keyspace& s = keyspaces_[keyspace];
  std::uint64_t const op = ++lastOp_;
  if (s.phase != Phase::owning || !mayVote()) {
    finish({op}, false);
    return op;
  }
  Write w;
  w.op = op;
  w.first = s.next;
  for (Change& c : cs) w.entries[c.key] = Entry{s.epoch, s.next++, std::move(c.value), c.gone};
  w.last = s.next - 1;
  s.writes.push_back(std::move(w));
  sendWrite(keyspace, s, s.writes.back(), now);
  return op;
}

std::uint64_t Consensus::confirm(string const& keyspace, Moment now) {
  Keyspace& s = keyspaces_[keyspace];
  std::uint64_t const op = ++lastOp_;
  if (s.phase != Phase::owning || !mayVote()) {
    finish({op}, false);
    return op;
  }
  Read r;
  r.round = ++lastRound_;
  r.ops.push_back(op);
  s.reads.push_back(std::move(r));
  sendRead(keyspace, s, s.reads.back(), now);
  return op;
}

Message Consensus::reply(Message const& m, int sort) const {
  Message r;
  r.sort = sort;
  r.membership = membership_.no;
  r.from = self_.id;
  r.to = m.from;
  r.keyspace = m.keyspace;
  r.epoch = m.epoch;
  r.round = m.round;
  r.upTo = m.upTo;
  return r;
}

void Consensus::receive(Message const& m, Moment now) {
  if (m.membership != membership_.no || m.to != self_.id || !membership_.find(m.from) || !mayVote()) return;
  Keyspace& s = keyspaces_[m.keyspace];
  s.seen = std::max({s.seen, m.epoch, m.votedEpoch});
  switch (m.sort) {
    case Message::requestVote:
      onRequestVote(m, s);
      break;
    case Message::vote:
      onVote(m, s, now);
      break;
    case Message::accept:
      onAccept(m, s);
      break;
    case Message::accepted:
      onAccepted(m, s);
      break;
    case Message::confirm:
      onConfirm(m, s);
      break;
    case Message::confirmed:
      onConfirmed(m, s);
      break;
    default:
      break;
  }
}

void Consensus::onRequestVote(Message const& m, Keyspace& s) {
  Message r = reply(m, Message::vote);
  if (m.epoch == s.votedEpoch || m.epoch.n > s.votedEpoch.n) {
    if (m.epoch > s.votedEpoch) {
      s.votedEpoch = m.epoch;
      record(recVote, m.keyspace, m.epoch, nullptr);
      if (s.epoch < m.epoch) stepDown(s);
    }
    out_.sync = true;
    r.ok = true;
    r.entries = s.entries;
  }
  r.votedEpoch = s.votedEpoch;
  post(std::move(r));
}

void Consensus::refused(Message const& m, Keyspace& s) {
  // A vote under the same number but for another owner refuses just as a higher one does.
  if (m.votedEpoch != s.epoch && m.votedEpoch.n >= s.epoch.n && s.phase != Phase::none) stepDown(s);
}

void Consensus::onVote(Message const& m, Keyspace& s, Moment now) {
  if (s.phase != Phase::taking || m.epoch != s.epoch) return;
  if (!m.ok) return refused(m, s);
  s.votes.insert(m.from);
  for (std::pair<string const, Entry> const& e : m.entries) {
    Entry& x = s.gathered[e.first];
    if (std::tie(x.epoch, x.seq) < std::tie(e.second.epoch, e.second.seq)) x = e.second;
  }
  if (s.votes.size() < membership_.most()) return;
  s.phase = Phase::writing;
  s.next = 1;
  s.committed = 0;
  s.view.clear();
  Write w;
  w.full = true;
  w.first = 1;
  for (std::pair<string const, Entry>& e : s.gathered)
    w.entries[e.first] = Entry{s.epoch, s.next++, std::move(e.second.value), e.second.gone};
  if (s.next == 1) s.next = 2;
  w.last = s.next - 1;
  s.gathered.clear();
  s.writes.push_back(std::move(w));
  sendWrite(m.keyspace, s, s.writes.back(), now);
}

void Consensus::apply(Keyspace& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es) {
  if (full) {
    if (s.applied == e && s.upTo > upTo) return;
    Entries keep;
    for (std::pair<string const, Entry> const& p : s.entries)
      if (p.second.epoch == e && p.second.seq > upTo) keep.insert(p);
    s.entries = es;
    for (std::pair<string const, Entry> const& p : keep) s.entries[p.first] = p.second;
    s.applied = e;
    s.upTo = upTo;
    return;
  }
  for (std::pair<string const, Entry> const& p : es) {
    Entry& x = s.entries[p.first];
    if (std::tie(x.epoch, x.seq) < std::tie(p.second.epoch, p.second.seq)) x = p.second;
  }
  if (s.applied == e && prev <= s.upTo) s.upTo = std::max(s.upTo, upTo);
}

void Consensus::onAccept(Message const& m, Keyspace& s) {
  Message r = reply(m, Message::accepted);
  if (m.epoch >= s.votedEpoch) {
    if (s.epoch < m.epoch && s.phase != Phase::none) stepDown(s);
    s.votedEpoch = m.epoch;
    record(recAccept, m.keyspace, m.epoch, &m);
    apply(s, m.epoch, m.full, m.prev, m.upTo, m.entries);
    r.ok = true;
  }
  r.votedEpoch = s.votedEpoch;
  post(std::move(r));
}

void Consensus::onAccepted(Message const& m, Keyspace& s) {
  if (m.epoch != s.epoch || (s.phase != Phase::writing && s.phase != Phase::owning)) return;
  if (!m.ok) return refused(m, s);
  for (Write& w : s.writes)
    if (w.last == m.upTo) w.acks.insert(m.from);
  commit(s);
}

void Consensus::commit(Keyspace& s) {
  for (Write& w : s.writes) {
    if (w.done) continue;
    if (w.acks.size() < membership_.most()) break;
    w.done = true;
    s.committed = w.last;
    for (std::pair<string const, Entry> const& e : w.entries) {
      if (e.second.gone)
        s.view.erase(e.first);
      else
        s.view[e.first] = e.second.value;
    }
    if (w.full) s.phase = Phase::owning;
    finish({w.op}, true);
  }
}

void Consensus::onConfirm(Message const& m, Keyspace& s) {
  Message r = reply(m, Message::confirmed);
  r.ok = m.epoch >= s.votedEpoch;
  r.votedEpoch = s.votedEpoch;
  post(std::move(r));
}

void Consensus::onConfirmed(Message const& m, Keyspace& s) {
  if (m.epoch != s.epoch || s.phase != Phase::owning) return;
  if (!m.ok) return refused(m, s);
  for (std::deque<Read>::iterator r = s.reads.begin(); r != s.reads.end(); ++r) {
    if (r->round != m.round) continue;
    r->acks.insert(m.from);
    if (r->acks.size() < membership_.most()) return;
    finish(r->ops, true);
    s.reads.erase(r);
    return;
  }
}

}  // namespace tealshelf
