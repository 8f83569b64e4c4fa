#include "tests/consensus_sim.hpp"

namespace tealshelf::sim {

void Cluster::corrupt(std::size_t i, bool votesOn) {
  Node& x = nodes_[i];
  if (x.up) power(i);
  x.disk.erase(x.disk.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(1, x.disk.size())), x.disk.end());
  start(i);
  if (votesOn) return;
  x.consensus->loseVote(++lastIdentity_);
  x.whole = false;
  pump(x);
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
      pump(x);
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

void Cluster::startDamaged(std::size_t i) {
  vector<string>& disk = nodes_[i].disk;
  disk.resize(disk.size() - std::min(disk.size(), 1 + dice(4)));
  start(i);
  if (!votesOn) nodes_[i].consensus->loseVote(++lastIdentity_);
  pump(nodes_[i]);
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
  std::map<string, string> const& v = x.consensus->view("configuration");
  std::map<string, string>::const_iterator const c = v.find("current");
  std::uint64_t const value = (c == v.end() ? 0 : std::strtoull(c->second.c_str(), nullptr, 10)) + 1;
  string const mark = std::to_string(++lastMark_);
  vector<Consensus::Change> const changes{{"current", std::to_string(value), false},
                                          {"k" + std::to_string(value % 7), mark, false}};
  Op const o{true, value, acked, i, x.life, x.consensus->propose("configuration", changes, now_), lastMark_};
  writing_.insert(i);
  ops_.push_back(o);
  pump(x);
}

void Cluster::read() {
  std::size_t const i = dice(nodes_.size());
  Node& x = nodes_[i];
  if (!x.up || x.frozen || !x.consensus->owns("configuration")) return;
  ops_.push_back(Op{false, 0, acked, i, x.life, x.consensus->confirm("configuration", now_)});
  pump(x);
}

void Cluster::check() {
  for (Node& x : nodes_) {
    if (!x.up) continue;
    if (x.consensus->copied() && x.unsynced.empty()) x.whole = true;
    if (!x.frozen) checkContact(x);
    std::optional<std::map<string, string>> const v = x.consensus->settled("configuration");
    if (!v || !v->count("current")) continue;
    std::uint64_t const n = std::strtoull(v->at("current").c_str(), nullptr, 10);
    for (std::pair<string const, string> const& p : *v)
      if (p.first != "current" && refused_.count(std::strtoull(p.second.c_str(), nullptr, 10)))
        fail("a write that was refused is in force at " + x.self.name);
    if (n < x.seenVersion) fail("a settled view went back at " + x.self.name);
    x.seenVersion = n;
  }
}

void Cluster::join(std::size_t i) {
  Node& x = nodes_[i];
  tealshelf::Membership const& g = x.consensus->membership();
  if (g.no.value && x.consensus->isMember()) {
    if (!x.consensus->copied()) copy(x, i);
    if (x.consensus->owns("members")) {
      std::map<string, string> const& v = x.consensus->view("members");
      std::map<string, string>::const_iterator const c = v.find("membership");
      if (c != v.end()) {
        tealshelf::Membership const y =
            msgpack::unpack(c->second.data(), c->second.size()).get().as<tealshelf::Membership>();
        if (y.no > g.no) {
          x.consensus->install(y, false);
          pump(x);
        }
      }
    }
    return;
  }
  if (!g.no.value && i < founders_ && x.self.founder) return;
  bool anyDisk = false;
  for (Member const& m : g.members) anyDisk = anyDisk || m.disk;
  if (!x.lasting && (anyDisk || !g.no.value)) {
    if (g.no.value) return;
  }
  if (g.no.value && x.consensus->isRetired()) {
    x.consensus->comeBack(++lastIdentity_);
    pump(x);
  }
  if (!g.no.value || x.learnedUnder != g.no) return copy(x, i);
  std::size_t const j = dice(nodes_.size());
  Node& y = nodes_[j];
  if (!reaches(i, j) || !y.consensus->owns("members") || !y.changes.empty()) return;
  MembershipPolicy const rule{deadAfter, std::max<std::size_t>(3, MembershipPolicy::needed(survive))};
  MembershipWish const wish{x.consensus->self(), false, x.learnedUnder};
  std::optional<tealshelf::Membership> const n = rule.next(*y.consensus, wish, now_);
  if (!n) return;
  msgpack::sbuffer b;
  msgpack::pack(b, *n);
  std::uint64_t const op = y.consensus->propose("members", {{"membership", string(b.data(), b.size()), false}}, now_);
  y.changes[op] = *n;
  pump(y);
}

void Cluster::copy(Node& x, std::size_t i) {
  tealshelf::Membership const g = x.consensus->membership();
  bool const member = x.consensus->isMember();
  if (x.copyNo != g.no || x.copiesAsMember != member) {
    x.copyNo = g.no;
    x.copiesAsMember = member;
    x.copies.clear();
    x.copied.clear();
  }
  vector<Member> const& sources = member ? g.former : g.members;
  std::size_t const need = sources.size() / 2 + 1;
  for (int k = 0; k < 3 && x.copies.size() < need; ++k) {
    std::size_t const j = dice(nodes_.size());
    Node& y = nodes_[j];
    if (!reaches(i, j) || y.consensus->membership().no != g.no || !y.unsynced.empty() || x.copies.count(j)) continue;
    std::optional<Member> const source = y.consensus->copySource();
    if (!source || std::find(sources.begin(), sources.end(), *source) == sources.end()) continue;
    x.copies.insert(j);
    x.copied.push_back(y.consensus->dump());
  }
  bool const trusted = member && trustLearner && !x.learned.empty();
  if (!trusted && (!g.no.value || x.copies.size() < need)) return;
  if (member) {
    x.consensus->adopt(trusted ? x.learned : x.copied);
    pump(x);
  } else {
    x.learned = x.copied;
    x.learnedUnder = g.no;
  }
  x.copies.clear();
  x.copied.clear();
}

void Cluster::outcome(std::size_t node, Outcome const& o) {
  Node& m = nodes_[node];
  if (std::function<void(bool)> const end = std::exchange(begun_[{node, m.life, o.op}], nullptr))
    return end(o.result == Result::committed);
  if (std::map<std::uint64_t, tealshelf::Membership>::iterator const c = m.changes.find(o.op); c != m.changes.end()) {
    tealshelf::Membership const g = c->second;
    m.changes.erase(c);
    if (o.result == Result::committed && m.consensus->membership().no.value + 1 == g.no.value) {
      m.consensus->install(g, false);
      pump(m);
    }
    return;
  }
  for (std::deque<Op>::iterator i = ops_.begin(); i != ops_.end(); ++i) {
    if (i->node != node || i->life != nodes_[node].life || i->op != o.op) continue;
    Op const op = *i;
    ops_.erase(i);
    if (op.write) writing_.erase(node);
    if (o.result == Result::notOwner || (unknownIsRefused && o.result == Result::unknown)) refused_.insert(op.mark);
    if (op.write) unknown += o.result == Result::unknown;
    if (o.result != Result::committed) return;
    if (op.write) {
      ++writes;
      if (op.value <= op.floor) fail("a write was acknowledged over an older value");
      acked = std::max(acked, op.value);
      ackedAt_ = now_;
      ackedBy_ = node;
    } else {
      ++reads;
      if (value(nodes_[node]) < op.floor) fail("a confirmed read missed an acknowledged write");
    }
    return;
  }
}

void Cluster::thaw(std::size_t i) {
  nodes_[i].frozen = false;
  vector<std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>> l;
  l.swap(late_);
  for (std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>& p : l) {
    if (p.first != i) {
      late_.push_back(std::move(p));
      continue;
    }
    std::visit([&](auto const& m) { take(nodes_[i], m); }, p.second);
  }
}

void Cluster::found(std::size_t i) {
  tealshelf::Membership first;
  first.no = MembershipNumber(1);
  for (std::size_t k = 0; k < founders_; ++k) first.members.push_back(nodes_[k].self);
  first.former = first.members;
  nodes_[i].consensus->install(first, true);
  pump(nodes_[i]);
}

void Cluster::stop(Node& x) {
  x.up = false;
  x.unsynced.clear();
  x.waiting.clear();
  x.changes.clear();
  x.copies.clear();
  x.copied.clear();
  x.learnedUnder = MembershipNumber();
  x.learned.clear();
  writing_.erase(static_cast<std::size_t>(&x - nodes_.data()));
  x.consensus = std::make_unique<Consensus>(x.self, times_, x.life);
}

void Cluster::make(Node& x) {
  x.consensus = std::make_unique<Consensus>(x.self, times_, x.life);
  x.consensus->know("configuration");
  x.consensus->know("members");
  x.up = true;
  x.frozen = false;
  x.seenVersion = 0;
  ++x.life;
}

}  // namespace tealshelf::sim
