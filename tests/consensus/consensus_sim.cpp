#include "tests/consensus/consensus_sim.hpp"

namespace tealshelf::sim {

void Cluster::corrupt(std::size_t i, bool keepsVoting) {
  Node& x = nodes_[i];
  if (x.up) power(i);
  x.disk.erase(x.disk.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(1, x.disk.size())), x.disk.end());
  start(i);
  if (keepsVoting) return;
  x.consensus->giveUpVote(++lastIdentity_);
  x.whole = false;
  flushOutput(x);
}

void Cluster::wipe(std::size_t i) {
  Node& x = nodes_[i];
  if (x.up) power(i);
  x.disk.clear();
  x.cached.clear();
  if (keepIdentity) return;
  x.self.id = NodeId(1000 + ++lastIdentity_);
  x.self.founder = false;
  x.whole = false;
}

void Cluster::step() {
  now_ += Ms(5);
  ++turn_;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& x = nodes_[i];
    if (!x.up || x.frozen) continue;
    if (turn_ % 10 == i % 10) {
      x.consensus->tick(now_);
      flushOutput(x);
    }
    if (turn_ % 30 == i % 30)
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        if (j != i) deliver(i, j, x.consensus->heartbeat(now_));
    if (now_ >= x.syncAt) sync(x);
    if (joins && turn_ % 20 == i % 20) join(i);
  }
  std::deque<std::function<void()>> due;
  while (!net_.empty() && net_.begin()->first <= now_) {
    due.push_back(std::move(net_.begin()->second));
    net_.erase(net_.begin());
  }
  for (std::function<void()>& f : due) f();
}

void Cluster::power(std::size_t i) {
  Node& x = nodes_[i];
  x.unsynced.insert(x.unsynced.begin(), x.cached.begin(), x.cached.end());
  x.cached.clear();
  std::size_t const keep = dice(x.unsynced.size() + 1);
  for (std::size_t k = 0; k < keep; ++k) x.disk.push_back(x.unsynced[k]);
  stop(x);
}

void Cluster::kill(std::size_t i) {
  Node& x = nodes_[i];
  for (string& r : x.unsynced) x.cached.push_back(r);
  stop(x);
}

void Cluster::startWithLostRecords(std::size_t i) {
  vector<string>& disk = nodes_[i].disk;
  disk.resize(disk.size() - std::min(disk.size(), 1 + dice(4)));
  start(i);
  if (!keepsVoting) nodes_[i].consensus->giveUpVote(++lastIdentity_);
  flushOutput(nodes_[i]);
}

void Cluster::start(std::size_t i) {
  Node& x = nodes_[i];
  if (!x.lasting) {
    x.disk.clear();
    x.cached.clear();
    x.self.id = NodeId(1000 + ++lastIdentity_);
    x.self.founder = false;
  }
  make(x);
  if (syncAtStart) {
    for (string& r : x.cached) x.disk.push_back(std::move(r));
    x.cached.clear();
  }
  for (string const& r : x.disk) x.consensus->replay(r);
  for (string const& r : x.cached) x.consensus->replay(r);
}

void Cluster::write() {
  std::size_t const i = dice(nodes_.size());
  Node& x = nodes_[i];
  if (!x.up || x.frozen || !x.consensus->owns("configuration") || writing_.count(i)) return;
  std::map<string, string> const& v = x.consensus->committedValues("configuration");
  std::map<string, string>::const_iterator const c = v.find("current");
  std::uint64_t const value = (c == v.end() ? 0 : std::strtoull(c->second.c_str(), nullptr, 10)) + 1;
  string const mark = std::to_string(++lastMark_);
  vector<KeyChange> const changes{{"current", std::to_string(value), false},
                                  {"k" + std::to_string(value % 7), mark, false}};
  Op const o{true,     value, highestAcknowledged, i, x.life, x.consensus->propose("configuration", changes, now_),
             lastMark_};
  writing_.insert(i);
  ops_.push_back(o);
  flushOutput(x);
}

void Cluster::read() {
  std::size_t const i = dice(nodes_.size());
  Node& x = nodes_[i];
  if (!x.up || x.frozen || !x.consensus->owns("configuration")) return;
  ops_.push_back(Op{false, 0, highestAcknowledged, i, x.life, x.consensus->confirmOwnership("configuration", now_)});
  flushOutput(x);
}

void Cluster::check() {
  for (Node& x : nodes_) {
    if (!x.up) continue;
    if (x.consensus->holdsAllKeys() && x.unsynced.empty()) x.whole = true;
    if (!x.frozen) checkContact(x);
    std::optional<std::map<string, string>> const v = x.consensus->lastKnownValues("configuration");
    if (!v || !v->count("current")) continue;
    std::uint64_t const n = std::strtoull(v->at("current").c_str(), nullptr, 10);
    for (std::pair<string const, string> const& p : *v)
      if (p.first != "current" && refused_.count(std::strtoull(p.second.c_str(), nullptr, 10)))
        fail("a write that was refused is in force at " + x.self.name);
    if (n < x.highestValueSeen) fail("a settled view went back at " + x.self.name);
    x.highestValueSeen = n;
  }
}

void Cluster::join(std::size_t i) {
  Node& x = nodes_[i];
  tealshelf::Membership const& g = x.consensus->membership();
  if (g.number.value && x.consensus->isMember()) {
    if (!x.consensus->holdsAllKeys()) copy(x, i);
    if (x.consensus->owns("members")) {
      std::map<string, string> const& v = x.consensus->committedValues("members");
      std::map<string, string>::const_iterator const c = v.find("membership");
      if (c != v.end()) {
        tealshelf::Membership const y =
            msgpack::unpack(c->second.data(), c->second.size()).get().as<tealshelf::Membership>();
        if (y.number > g.number) {
          x.consensus->installMembership(y, false);
          flushOutput(x);
        }
      }
    }
    return;
  }
  if (!g.number.value && i < founders_ && x.self.founder) return;
  bool anyDisk = false;
  for (Member const& m : g.members) anyDisk = anyDisk || m.hasDisk;
  if (!x.lasting && (anyDisk || !g.number.value)) {
    if (g.number.value) return;
  }
  if (g.number.value && x.consensus->isRetired()) {
    x.consensus->rejoin(++lastIdentity_);
    flushOutput(x);
  }
  if (!g.number.value || x.learnerCopiedUnder != g.number) return copy(x, i);
  std::size_t const j = dice(nodes_.size());
  Node& y = nodes_[j];
  if (!reaches(i, j) || !y.consensus->owns("members") || !y.changes.empty()) return;
  MembershipPolicy const rule{deadAfter, std::max<std::size_t>(3, MembershipPolicy::membersToSurvive(survive))};
  MembershipChange const wish{x.consensus->self(), false, x.learnerCopiedUnder};
  std::optional<tealshelf::Membership> const n = rule.next(*y.consensus, wish, now_);
  if (!n) return;
  msgpack::sbuffer b;
  msgpack::pack(b, *n);
  std::uint64_t const op = y.consensus->propose("members", {{"membership", string(b.data(), b.size()), false}}, now_);
  y.changes[op] = *n;
  flushOutput(y);
}

void Cluster::copy(Node& x, std::size_t i) {
  tealshelf::Membership const g = x.consensus->membership();
  bool const member = x.consensus->isMember();
  if (x.copiedMembership != g.number || x.copiesAsMember != member) {
    x.copiedMembership = g.number;
    x.copiesAsMember = member;
    x.copies.clear();
    x.copied.clear();
  }
  vector<Member> const& sources = member ? g.formerMembers : g.members;
  std::size_t const need = sources.size() / 2 + 1;
  for (int k = 0; k < 3 && x.copies.size() < need; ++k) {
    std::size_t const j = dice(nodes_.size());
    Node& y = nodes_[j];
    if (!reaches(i, j) || y.consensus->membership().number != g.number || !y.unsynced.empty() || x.copies.count(j))
      continue;
    std::optional<Member> const source = y.consensus->copySource();
    if (!source || std::find(sources.begin(), sources.end(), *source) == sources.end()) continue;
    x.copies.insert(j);
    x.copied.push_back(y.consensus->exportKeyspaces());
  }
  bool const trusted = member && installsLearnerCopies && !x.learned.empty();
  if (!trusted && (!g.number.value || x.copies.size() < need)) return;
  if (member) {
    x.consensus->installCopies(trusted ? x.learned : x.copied);
    flushOutput(x);
  } else {
    x.learned = x.copied;
    x.learnerCopiedUnder = g.number;
  }
  x.copies.clear();
  x.copied.clear();
}

void Cluster::outcome(std::size_t node, OperationOutcome const& o) {
  Node& m = nodes_[node];
  if (std::function<void(bool)> const end = std::exchange(testOperations_[{node, m.life, o.operation}], nullptr))
    return end(o.result == OperationResult::committed);
  if (std::map<std::uint64_t, tealshelf::Membership>::iterator const c = m.changes.find(o.operation);
      c != m.changes.end()) {
    tealshelf::Membership const g = c->second;
    m.changes.erase(c);
    if (o.result == OperationResult::committed && m.consensus->membership().number.value + 1 == g.number.value) {
      m.consensus->installMembership(g, false);
      flushOutput(m);
    }
    return;
  }
  for (std::deque<Op>::iterator i = ops_.begin(); i != ops_.end(); ++i) {
    if (i->node != node || i->life != nodes_[node].life || i->op != o.operation) continue;
    Op const op = *i;
    ops_.erase(i);
    if (op.write) writing_.erase(node);
    if (o.result == OperationResult::notOwner || (countsUnknownAsRefused && o.result == OperationResult::unknown))
      refused_.insert(op.mark);
    if (op.write) unknown += o.result == OperationResult::unknown;
    if (o.result != OperationResult::committed) return;
    if (op.write) {
      ++writes;
      if (op.value <= op.floor) fail("a write was acknowledged over an older value");
      highestAcknowledged = std::max(highestAcknowledged, op.value);
      ackedAt_ = now_;
      ackedBy_ = node;
    } else {
      ++reads;
      if (value(nodes_[node]) < op.floor) fail("a confirmed read missed an acknowledged write");
    }
    return;
  }
}

void Cluster::unfreeze(std::size_t i) {
  nodes_[i].frozen = false;
  vector<std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>> l;
  l.swap(heldMessages_);
  for (std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>& p : l) {
    if (p.first != i) {
      heldMessages_.push_back(std::move(p));
      continue;
    }
    std::visit([&](auto const& m) { take(nodes_[i], m); }, p.second);
  }
}

void Cluster::heal() {
  cuts.clear();
  loss = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].up)
      start(i);
    else if (nodes_[i].frozen)
      unfreeze(i);
  }
}

void Cluster::found(std::size_t i) {
  tealshelf::Membership first;
  first.number = MembershipNumber(1);
  for (std::size_t k = 0; k < founders_; ++k) first.members.push_back(nodes_[k].self);
  first.formerMembers = first.members;
  nodes_[i].consensus->installMembership(first, true);
  flushOutput(nodes_[i]);
}

void Cluster::stop(Node& x) {
  x.up = false;
  x.unsynced.clear();
  x.waiting.clear();
  x.changes.clear();
  x.copies.clear();
  x.copied.clear();
  x.learnerCopiedUnder = MembershipNumber();
  x.learned.clear();
  writing_.erase(static_cast<std::size_t>(&x - nodes_.data()));
  x.consensus = std::make_unique<Consensus>(x.self, times_, x.life);
}

void Cluster::make(Node& x) {
  x.consensus = std::make_unique<Consensus>(x.self, times_, x.life);
  x.consensus->addKeyspace("configuration");
  x.consensus->addKeyspace("members");
  x.up = true;
  x.frozen = false;
  x.highestValueSeen = 0;
  ++x.life;
}

}  // namespace tealshelf::sim
