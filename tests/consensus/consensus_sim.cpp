#include "tests/consensus/consensus_sim.hpp"

namespace tealshelf::sim {

void Cluster::corruptDisk(std::size_t i, bool keepsVoting) {
  Node& node = nodes_[i];
  if (node.up) losePower(i);
  node.disk.erase(node.disk.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(1, node.disk.size())),
                  node.disk.end());
  start(i);
  if (keepsVoting) return;
  node.consensus->giveUpVote(++lastIdentity_);
  node.diskHoldsAllKeys = false;
  flushOutput(node);
}

void Cluster::wipe(std::size_t i) {
  Node& node = nodes_[i];
  if (node.up) losePower(i);
  node.disk.clear();
  node.cached.clear();
  if (keepIdentity) return;
  node.self.id = NodeId(1000 + ++lastIdentity_);
  node.self.founder = false;
  node.diskHoldsAllKeys = false;
}

void Cluster::step() {
  now_ += Ms(5);
  ++turn_;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (!node.up || node.frozen) continue;
    if (turn_ % 10 == i % 10) {
      node.consensus->tick(now_);
      flushOutput(node);
    }
    if (turn_ % 30 == i % 30)
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        if (j != i) deliver(i, j, node.consensus->heartbeat(now_));
    if (now_ >= node.syncAt) sync(node);
    if (joins && turn_ % 20 == i % 20) join(i);
  }
  std::deque<std::function<void()>> due;
  while (!network_.empty() && network_.begin()->first <= now_) {
    due.push_back(std::move(network_.begin()->second));
    network_.erase(network_.begin());
  }
  for (std::function<void()>& f : due) f();
}

void Cluster::losePower(std::size_t i) {
  Node& node = nodes_[i];
  node.unsynced.insert(node.unsynced.begin(), node.cached.begin(), node.cached.end());
  node.cached.clear();
  std::size_t const keep = dice(node.unsynced.size() + 1);
  for (std::size_t k = 0; k < keep; ++k) node.disk.push_back(node.unsynced[k]);
  stop(node);
}

void Cluster::kill(std::size_t i) {
  Node& node = nodes_[i];
  for (string& r : node.unsynced) node.cached.push_back(r);
  stop(node);
}

void Cluster::startWithLostRecords(std::size_t i) {
  vector<string>& disk = nodes_[i].disk;
  disk.resize(disk.size() - std::min(disk.size(), 1 + dice(4)));
  start(i);
  if (!keepsVoting) nodes_[i].consensus->giveUpVote(++lastIdentity_);
  flushOutput(nodes_[i]);
}

void Cluster::start(std::size_t i) {
  Node& node = nodes_[i];
  if (!node.hasDisk) {
    node.disk.clear();
    node.cached.clear();
    node.self.id = NodeId(1000 + ++lastIdentity_);
    node.self.founder = false;
  }
  make(node);
  if (syncAtStart) {
    for (string& r : node.cached) node.disk.push_back(std::move(r));
    node.cached.clear();
  }
  for (string const& r : node.disk) node.consensus->replay(r);
  for (string const& r : node.cached) node.consensus->replay(r);
}

void Cluster::write() {
  std::size_t const i = dice(nodes_.size());
  Node& node = nodes_[i];
  if (!node.up || node.frozen || !node.consensus->owns("configuration") || writing_.count(i)) return;
  std::map<string, string> const& values = node.consensus->committedValues("configuration");
  std::map<string, string>::const_iterator const entry = values.find("current");
  std::uint64_t const value = (entry == values.end() ? 0 : std::strtoull(entry->second.c_str(), nullptr, 10)) + 1;
  string const mark = std::to_string(++lastMark_);
  vector<KeyChange> const changes{{"current", std::to_string(value), false},
                                  {"k" + std::to_string(value % 7), mark, false}};
  Operation const operation{true,
                            value,
                            highestAcknowledged,
                            i,
                            node.processNumber,
                            node.consensus->propose("configuration", changes, now_),
                            lastMark_};
  writing_.insert(i);
  ops_.push_back(operation);
  flushOutput(node);
}

void Cluster::read() {
  std::size_t const i = dice(nodes_.size());
  Node& node = nodes_[i];
  if (!node.up || node.frozen || !node.consensus->owns("configuration")) return;
  ops_.push_back(Operation{false, 0, highestAcknowledged, i, node.processNumber,
                           node.consensus->confirmOwnership("configuration", now_)});
  flushOutput(node);
}

void Cluster::check() {
  for (Node& node : nodes_) {
    if (!node.up) continue;
    if (node.consensus->holdsAllKeys() && node.unsynced.empty()) node.diskHoldsAllKeys = true;
    if (!node.frozen) checkContact(node);
    std::optional<std::map<string, string>> const values = node.consensus->lastKnownValues("configuration");
    if (!values || !values->count("current")) continue;
    std::uint64_t const n = std::strtoull(values->at("current").c_str(), nullptr, 10);
    for (std::pair<string const, string> const& p : *values)
      if (p.first != "current" && refused_.count(std::strtoull(p.second.c_str(), nullptr, 10)))
        fail("a refused write is in effect on " + node.self.name);
    if (n < node.highestValueSeen) fail("the committed value decreased on " + node.self.name);
    node.highestValueSeen = n;
  }
}

void Cluster::join(std::size_t i) {
  Node& node = nodes_[i];
  tealshelf::Membership const& membership = node.consensus->membership();
  if (membership.number.value && node.consensus->isMember()) {
    if (!node.consensus->holdsAllKeys()) copy(node, i);
    if (node.consensus->owns("members")) {
      std::map<string, string> const& values = node.consensus->committedValues("members");
      std::map<string, string>::const_iterator const entry = values.find("membership");
      if (entry != values.end()) {
        tealshelf::Membership const committed =
            msgpack::unpack(entry->second.data(), entry->second.size()).get().as<tealshelf::Membership>();
        if (committed.number > membership.number) {
          node.consensus->installMembership(committed, false);
          flushOutput(node);
        }
      }
    }
    return;
  }
  if (!membership.number.value && i < founders_ && node.self.founder) return;
  bool anyDisk = false;
  for (Member const& m : membership.members) anyDisk = anyDisk || m.hasDisk;
  if (!node.hasDisk && (anyDisk || !membership.number.value)) {
    if (membership.number.value) return;
  }
  if (membership.number.value && node.consensus->isRetired()) {
    node.consensus->rejoin(++lastIdentity_);
    flushOutput(node);
  }
  if (!membership.number.value || node.learnerCopiedUnder != membership.number) return copy(node, i);
  std::size_t const j = dice(nodes_.size());
  Node& peer = nodes_[j];
  if (!reaches(i, j) || !peer.consensus->owns("members") || !peer.changes.empty()) return;
  MembershipPolicy const policy{deadAfter, std::max<std::size_t>(3, MembershipPolicy::membersToSurvive(survive))};
  MembershipChange const request{node.consensus->self(), false, node.learnerCopiedUnder};
  std::optional<tealshelf::Membership> const next = policy.next(*peer.consensus, request, now_);
  if (!next) return;
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, *next);
  std::uint64_t const op =
      peer.consensus->propose("members", {{"membership", string(buffer.data(), buffer.size()), false}}, now_);
  peer.changes[op] = *next;
  flushOutput(peer);
}

void Cluster::copy(Node& node, std::size_t i) {
  tealshelf::Membership const membership = node.consensus->membership();
  bool const member = node.consensus->isMember();
  if (node.copiedMembership != membership.number || node.copiesAsMember != member) {
    node.copiedMembership = membership.number;
    node.copiesAsMember = member;
    node.copies.clear();
    node.copied.clear();
  }
  vector<Member> const& sources = member ? membership.formerMembers : membership.members;
  std::size_t const need = sources.size() / 2 + 1;
  for (int k = 0; k < 3 && node.copies.size() < need; ++k) {
    std::size_t const j = dice(nodes_.size());
    Node& peer = nodes_[j];
    if (!reaches(i, j) || peer.consensus->membership().number != membership.number || !peer.unsynced.empty() ||
        node.copies.count(j))
      continue;
    std::optional<Member> const source = peer.consensus->copySource();
    if (!source || std::find(sources.begin(), sources.end(), *source) == sources.end()) continue;
    node.copies.insert(j);
    node.copied.push_back(peer.consensus->exportKeyspaces());
  }
  bool const trusted = member && installsLearnerCopies && !node.learnerCopies.empty();
  if (!trusted && (!membership.number.value || node.copies.size() < need)) return;
  if (member) {
    node.consensus->installCopies(trusted ? node.learnerCopies : node.copied);
    flushOutput(node);
  } else {
    node.learnerCopies = node.copied;
    node.learnerCopiedUnder = membership.number;
  }
  node.copies.clear();
  node.copied.clear();
}

void Cluster::outcome(std::size_t node, OperationOutcome const& ended) {
  Node& m = nodes_[node];
  if (std::function<void(bool)> const end =
          std::exchange(testOperations_[{node, m.processNumber, ended.operation}], nullptr))
    return end(ended.result == OperationResult::committed);
  if (std::map<std::uint64_t, tealshelf::Membership>::iterator const entry = m.changes.find(ended.operation);
      entry != m.changes.end()) {
    tealshelf::Membership const membership = entry->second;
    m.changes.erase(entry);
    if (ended.result == OperationResult::committed &&
        m.consensus->membership().number.value + 1 == membership.number.value) {
      m.consensus->installMembership(membership, false);
      flushOutput(m);
    }
    return;
  }
  for (std::deque<Operation>::iterator i = ops_.begin(); i != ops_.end(); ++i) {
    if (i->node != node || i->processNumber != nodes_[node].processNumber || i->op != ended.operation) continue;
    Operation const op = *i;
    ops_.erase(i);
    if (op.write) writing_.erase(node);
    if (ended.result == OperationResult::notOwner ||
        (countsUnknownAsRefused && ended.result == OperationResult::unknown))
      refused_.insert(op.mark);
    if (op.write) unknown += ended.result == OperationResult::unknown;
    if (ended.result != OperationResult::committed) return;
    if (op.write) {
      ++writes;
      if (op.value <= op.floor) fail("an acknowledged write did not increase the acknowledged value");
      highestAcknowledged = std::max(highestAcknowledged, op.value);
      acknowledgedAt_ = now_;
      acknowledgedBy_ = node;
    } else {
      ++reads;
      if (value(nodes_[node]) < op.floor) fail("a confirmed read did not see an acknowledged write");
    }
    return;
  }
}

void Cluster::unfreeze(std::size_t i) {
  nodes_[i].frozen = false;
  vector<std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>> held;
  held.swap(heldMessages_);
  for (std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>& p : held) {
    if (p.first != i) {
      heldMessages_.push_back(std::move(p));
      continue;
    }
    std::visit([&](auto const& m) { receiveAt(nodes_[i], m); }, p.second);
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

void Cluster::installFirstMembership(std::size_t i) {
  tealshelf::Membership first;
  first.number = MembershipNumber(1);
  for (std::size_t k = 0; k < founders_; ++k) first.members.push_back(nodes_[k].self);
  first.formerMembers = first.members;
  nodes_[i].consensus->installMembership(first, true);
  flushOutput(nodes_[i]);
}

void Cluster::stop(Node& node) {
  node.up = false;
  node.unsynced.clear();
  node.waiting.clear();
  node.changes.clear();
  node.copies.clear();
  node.copied.clear();
  node.learnerCopiedUnder = MembershipNumber();
  node.learnerCopies.clear();
  writing_.erase(static_cast<std::size_t>(&node - nodes_.data()));
  node.consensus = std::make_unique<Consensus>(node.self, times_, node.processNumber);
}

void Cluster::make(Node& node) {
  node.consensus = std::make_unique<Consensus>(node.self, times_, node.processNumber);
  node.consensus->addKeyspace("configuration");
  node.consensus->addKeyspace("members");
  node.up = true;
  node.frozen = false;
  node.highestValueSeen = 0;
  ++node.processNumber;
}

}  // namespace tealshelf::sim
