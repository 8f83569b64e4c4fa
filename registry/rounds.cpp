#include "registry/registry.hpp"

namespace tealshelf {

namespace {
enum RecordSort { recPromise = 1, recAccept = 2 };
}

void Registry::finish(vector<std::uint64_t> const& ops, bool ok) {
  for (std::uint64_t const op : ops)
    if (op) out_.outcomes.push_back({op, ok});
}

void Registry::stepDown(Shelf& s) {
  for (Write const& w : s.writes)
    if (!w.done) finish({w.op}, false);
  for (Read const& r : s.reads) finish(r.ops, false);
  s.writes.clear();
  s.reads.clear();
  s.behind.clear();
  s.phase = Phase::none;
}

void Registry::startTaking(string const& name, Shelf& s, Moment now) {
  stepDown(s);
  s.phase = Phase::taking;
  s.since = now;
  s.epoch = {std::max(s.seen.n, s.promised.n) + 1, self_.id.v};
  s.seen = s.epoch;
  s.grants.clear();
  s.gathered.clear();
  sendPrepare(name, s, now);
}

void Registry::sendPrepare(string const& name, Shelf& s, Moment now) {
  s.sent = now;
  for (Member const& m : group_.members) {
    if (s.grants.count(m.id)) continue;
    Mail x;
    x.sort = Mail::prepare;
    x.group = group_.no;
    x.from = self_.id;
    x.to = m.id;
    x.shelf = name;
    x.epoch = s.epoch;
    post(std::move(x));
  }
}

void Registry::sendWrite(string const& name, Shelf& s, Write& w, Moment now) {
  w.sent = now;
  for (Member const& m : group_.members) {
    if (w.acks.count(m.id)) continue;
    Mail x;
    x.sort = Mail::accept;
    x.group = group_.no;
    x.from = self_.id;
    x.to = m.id;
    x.shelf = name;
    x.epoch = s.epoch;
    x.prev = w.first - 1;
    x.upTo = w.last;
    x.full = w.full;
    x.entries = w.entries;
    post(std::move(x));
  }
}

void Registry::sendRead(string const& name, Shelf& s, Read& r, Moment now) {
  r.sent = now;
  for (Member const& m : group_.members) {
    if (r.acks.count(m.id)) continue;
    Mail x;
    x.sort = Mail::confirm;
    x.group = group_.no;
    x.from = self_.id;
    x.to = m.id;
    x.shelf = name;
    x.epoch = s.epoch;
    x.round = r.round;
    post(std::move(x));
  }
}

void Registry::tick(Moment now) {
  if (!mayVote()) return;
  for (std::pair<string const, Shelf>& p : shelves_) {
    Shelf& s = p.second;
    Member const* const w = wanted(p.first, now);
    bool const mine = w && w->id == self_.id && inMajority(now);
    if (s.phase == Phase::none && mine)
      startTaking(p.first, s, now);
    else if (s.phase == Phase::taking || s.phase == Phase::writing) {
      if (now - s.since > 20 * times_.again && (!mine || s.seen > s.epoch))
        stepDown(s);
      else if (s.phase == Phase::taking && now - s.sent > times_.again)
        sendPrepare(p.first, s, now);
    }
    for (Write& x : s.writes)
      if (now - x.sent > times_.again) sendWrite(p.first, s, x, now);
    for (Read& x : s.reads)
      if (now - x.sent > times_.again) sendRead(p.first, s, x, now);
    while (!s.writes.empty() && s.writes.front().done) {
      bool all = true;
      for (Member const& m : group_.members) all = all && (s.writes.front().acks.count(m.id) || !alive(m.id, now));
      if (!all && s.writes.size() < 64) break;
      s.writes.pop_front();
    }
  }
}

std::uint64_t Registry::propose(string const& shelf, vector<Change> cs, Moment now) {
  Shelf& s = shelves_[shelf];
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
  sendWrite(shelf, s, s.writes.back(), now);
  return op;
}

std::uint64_t Registry::confirm(string const& shelf, Moment now) {
  Shelf& s = shelves_[shelf];
  std::uint64_t const op = ++lastOp_;
  if (s.phase != Phase::owning || !mayVote()) {
    finish({op}, false);
    return op;
  }
  Read r;
  r.round = ++lastRound_;
  r.ops.push_back(op);
  s.reads.push_back(std::move(r));
  sendRead(shelf, s, s.reads.back(), now);
  return op;
}

Mail Registry::reply(Mail const& m, int sort) const {
  Mail r;
  r.sort = sort;
  r.group = group_.no;
  r.from = self_.id;
  r.to = m.from;
  r.shelf = m.shelf;
  r.epoch = m.epoch;
  r.round = m.round;
  r.upTo = m.upTo;
  return r;
}

void Registry::mail(Mail const& m, Moment now) {
  if (m.group != group_.no || m.to != self_.id || !group_.find(m.from) || !mayVote()) return;
  Shelf& s = shelves_[m.shelf];
  s.seen = std::max({s.seen, m.epoch, m.promised});
  switch (m.sort) {
    case Mail::prepare:
      onPrepare(m, s);
      break;
    case Mail::promise:
      onPromise(m, s, now);
      break;
    case Mail::accept:
      onAccept(m, s);
      break;
    case Mail::accepted:
      onAccepted(m, s);
      break;
    case Mail::confirm:
      onConfirm(m, s);
      break;
    case Mail::confirmed:
      onConfirmed(m, s);
      break;
    default:
      break;
  }
}

void Registry::onPrepare(Mail const& m, Shelf& s) {
  Mail r = reply(m, Mail::promise);
  if (m.epoch == s.promised || m.epoch.n > s.promised.n) {
    if (m.epoch > s.promised) {
      s.promised = m.epoch;
      record(recPromise, m.shelf, m.epoch, nullptr);
      if (s.epoch < m.epoch) stepDown(s);
    }
    out_.sync = true;
    r.ok = true;
    r.entries = s.entries;
  }
  r.promised = s.promised;
  post(std::move(r));
}

void Registry::refused(Mail const& m, Shelf& s) {
  // A promise under the same number but for another owner refuses just as a higher one does.
  if (m.promised != s.epoch && m.promised.n >= s.epoch.n && s.phase != Phase::none) stepDown(s);
}

void Registry::onPromise(Mail const& m, Shelf& s, Moment now) {
  if (s.phase != Phase::taking || m.epoch != s.epoch) return;
  if (!m.ok) return refused(m, s);
  s.grants.insert(m.from);
  for (std::pair<string const, Entry> const& e : m.entries) {
    Entry& x = s.gathered[e.first];
    if (std::tie(x.epoch, x.seq) < std::tie(e.second.epoch, e.second.seq)) x = e.second;
  }
  if (s.grants.size() < group_.most()) return;
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
  sendWrite(m.shelf, s, s.writes.back(), now);
}

void Registry::apply(Shelf& s, Epoch e, bool full, std::uint64_t prev, std::uint64_t upTo, Entries const& es) {
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

void Registry::onAccept(Mail const& m, Shelf& s) {
  Mail r = reply(m, Mail::accepted);
  if (m.epoch >= s.promised) {
    if (s.epoch < m.epoch && s.phase != Phase::none) stepDown(s);
    s.promised = m.epoch;
    record(recAccept, m.shelf, m.epoch, &m);
    apply(s, m.epoch, m.full, m.prev, m.upTo, m.entries);
    r.ok = true;
  }
  r.promised = s.promised;
  post(std::move(r));
}

void Registry::onAccepted(Mail const& m, Shelf& s) {
  if (m.epoch != s.epoch || (s.phase != Phase::writing && s.phase != Phase::owning)) return;
  if (!m.ok) return refused(m, s);
  for (Write& w : s.writes)
    if (w.last == m.upTo) w.acks.insert(m.from);
  commit(s);
}

void Registry::commit(Shelf& s) {
  for (Write& w : s.writes) {
    if (w.done) continue;
    if (w.acks.size() < group_.most()) break;
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

void Registry::onConfirm(Mail const& m, Shelf& s) {
  Mail r = reply(m, Mail::confirmed);
  r.ok = m.epoch >= s.promised;
  r.promised = s.promised;
  post(std::move(r));
}

void Registry::onConfirmed(Mail const& m, Shelf& s) {
  if (m.epoch != s.epoch || s.phase != Phase::owning) return;
  if (!m.ok) return refused(m, s);
  for (std::deque<Read>::iterator r = s.reads.begin(); r != s.reads.end(); ++r) {
    if (r->round != m.round) continue;
    r->acks.insert(m.from);
    if (r->acks.size() < group_.most()) return;
    finish(r->ops, true);
    s.reads.erase(r);
    return;
  }
}

}  // namespace tealshelf
