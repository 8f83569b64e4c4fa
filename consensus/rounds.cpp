#include "consensus/consensus.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recVote = 1, recAccept = 2 };
}

void Consensus::finish(vector<std::uint64_t> const& ops, Result r) {
  for (std::uint64_t const op : ops)
    if (op) out_.outcomes.push_back(Outcome{op, r});
}

void Consensus::stepDown(Keyspace& s) {
  for (Write const& w : s.writes)
    if (!w.done) finish({w.op}, Result::unknown);
  for (Read const& r : s.reads) finish(r.ops, Result::unknown);
  s.writes.clear();
  s.reads.clear();
  s.lags.clear();
  s.transfers.clear();
  s.recent.clear();
  s.recentBytes = 0;
  s.phase = Phase::none;
}

void Consensus::startTakeover(string const& name, Keyspace& s, TimePoint now) {
  stepDown(s);
  s.phase = Phase::taking;
  s.since = now;
  s.epoch = {std::max(s.seen.n, s.votedEpoch.n) + 1, self_.id.value};
  s.seen = s.epoch;
  s.votes.clear();
  s.gathered.clear();
  sendVoteRequests(name, s, now);
}

void Consensus::sendVoteRequests(string const& name, Keyspace& s, TimePoint now) {
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

void Consensus::sendWrite(string const& name, Keyspace& s, Write& w, TimePoint now) {
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
    x.committed = s.committed;
    post(std::move(x));
  }
}

void Consensus::sendRead(string const& name, Keyspace& s, Read& r, TimePoint now) {
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

/// What has waited too long for a majority ends, also where the answers come after all: a process that was
/// frozen doesn't go on where it stood. A write that ends so costs the ownership.
void Consensus::expire(Keyspace& s, TimePoint now) {
  for (Write const& w : s.writes)
    if (!w.done && s.phase == Phase::owning && now - w.begun > times_.open) return stepDown(s);
  while (!s.reads.empty() && now - s.reads.front().begun > times_.open) {
    finish(s.reads.front().ops, Result::unknown);
    s.reads.pop_front();
  }
}

void Consensus::giveUp(string const& keyspace) {
  stepDown(keyspaces_[keyspace]);
}

void Consensus::resend(string const& name, Keyspace& s, TimePoint now) {
  for (Write& w : s.writes)
    if (now - w.sent > times_.again) sendWrite(name, s, w, now);
  for (Read& r : s.reads)
    if (now - r.sent > times_.again) sendRead(name, s, r, now);
}

/// A committed write is kept until all who are up have it, but only so many of them.
void Consensus::forgetWrites(Keyspace& s, TimePoint now) {
  while (!s.writes.empty() && s.writes.front().done) {
    bool all = true;
    for (Member const& m : membership_.members) all = all && (s.writes.front().acks.count(m.id) || !alive(m.id, now));
    if (!all && s.writes.size() < 64) return;
    remember(s, std::move(s.writes.front()));
    s.writes.pop_front();
  }
}

void Consensus::tick(TimePoint now) {
  noteAwake(now);
  if (!mayVote()) return;
  TimePoint const proven = provenAt(now);
  bool const lost = proven == TimePoint() || now - proven > times_.lost;
  for (std::pair<string const, Keyspace>& p : keyspaces_) {
    Keyspace& s = p.second;
    if (lost && s.phase != Phase::none) stepDown(s);
    expire(s, now);
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
    resend(p.first, s, now);
    forgetWrites(s, now);
  }
}

std::uint64_t Consensus::propose(string const& keyspace, vector<Change> cs, TimePoint now) {
  Keyspace& s = keyspaces_[keyspace];
  std::uint64_t const op = ++lastOp_;
  if (s.phase != Phase::owning || !mayVote()) {
    finish({op}, Result::notOwner);
    return op;
  }
  Write w;
  w.op = op;
  w.first = s.next;
  for (Change& c : cs) w.entries[c.key] = Entry{s.epoch, s.next++, std::move(c.value), c.gone};
  w.last = s.next - 1;
  w.begun = now;
  s.writes.push_back(std::move(w));
  sendWrite(keyspace, s, s.writes.back(), now);
  return op;
}

std::uint64_t Consensus::confirm(string const& keyspace, TimePoint now) {
  Keyspace& s = keyspaces_[keyspace];
  std::uint64_t const op = ++lastOp_;
  if (s.phase != Phase::owning || !mayVote()) {
    finish({op}, Result::notOwner);
    return op;
  }
  Read r;
  r.round = ++lastRound_;
  r.ops.push_back(op);
  r.begun = now;
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
  r.transfer = m.transfer;
  return r;
}

void Consensus::receive(Message const& m, TimePoint now) {
  if (m.membership != membership_.no || m.to != self_.id || !membership_.find(m.from) || !mayVote()) return;
  Keyspace& s = keyspaces_[m.keyspace];
  s.seen = std::max({s.seen, m.epoch, m.votedEpoch});
  expire(s, now);
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
    case Message::piece:
      onPiece(m, s);
      break;
    case Message::pieceTaken:
      onPieceTaken(m, s, now);
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

void Consensus::onVote(Message const& m, Keyspace& s, TimePoint now) {
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

/// Takes what the owner wrote, under its epoch.
void Consensus::acceptWrites(Message const& m, Keyspace& s) {
  if (s.epoch < m.epoch && s.phase != Phase::none) stepDown(s);
  s.votedEpoch = m.epoch;
  record(recAccept, m.keyspace, m.epoch, &m);
  apply(s, m.epoch, m.full, m.prev, m.upTo, m.entries);
  advanceView(s, Position{m.epoch, m.committed});
}

void Consensus::onAccept(Message const& m, Keyspace& s) {
  Message r = reply(m, Message::accepted);
  if (m.epoch >= s.votedEpoch) {
    acceptWrites(m, s);
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
    show(s, Position{s.epoch, w.last}, w.full, w.entries);
    if (w.full) s.phase = Phase::owning;
    finish({w.op}, Result::committed);
  }
  advanceView(s, Position{s.epoch, s.committed});
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
    finish(r->ops, Result::committed);
    s.reads.erase(r);
    return;
  }
}

}  // namespace tealshelf
