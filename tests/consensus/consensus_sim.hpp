#pragma once
#include "consensus/membership_policy.hpp"

#include <random>

namespace tealshelf::sim {

/// Simulates control nodes with a virtual clock, a lossy network, and disks that can lose power or fail.
class Cluster {
 public:
  struct Node {
    std::unique_ptr<Consensus> consensus;
    Member self;
    vector<string> disk, cached, unsynced;  ///< records: synced, left unsynced by a killed process, not yet synced
    std::deque<std::pair<std::size_t, Output>>
        waiting;  ///< outputs waiting for a sync, with the number of synced records they need
    bool up = true, frozen = false;
    bool diskFails = false;  ///< the disk syncs nothing
    std::uint64_t processNumber = 0;
    TimePoint syncAt;
    Ms syncTakes = Ms(5);                                    ///< time from a write to the end of its sync
    std::uint64_t highestValueSeen = 0;                      ///< highest committed value that this process has shown
    bool hasDisk = true;                                     ///< a node without a disk loses its state with its process
    std::map<std::uint64_t, tealshelf::Membership> changes;  ///< memberships that this process proposed, by operation
    std::set<std::size_t> copies;                            ///< nodes whose keys were copied, under copiedMembership
    MembershipNumber copiedMembership;
    Position known;                 ///< committed position in the last heartbeat of the configuration's owner
    bool diskHoldsAllKeys = false;  ///< it holds all keys, and all of its records are synced
    vector<DiskCopy> copied;
    bool copiesAsMember = false;          ///< copies are made as a member, not as a learner
    MembershipNumber learnerCopiedUnder;  ///< membership from a majority of which it copied as a learner
    vector<DiskCopy> learnerCopies;
  };
  struct Operation {
    bool write = false;
    std::uint64_t value = 0, floor = 0, node = 0, processNumber = 0, op = 0, mark = 0;
  };

  /// `founders` nodes form the first membership, which tests install; the others join. 0: all nodes form it at once.
  Cluster(std::uint64_t seed, std::size_t n, bool skipsSync = false, std::size_t founders = 0)
      : random_(seed), skipsSync_(skipsSync), nodes_(n), founders_(founders ? founders : n) {
    for (std::size_t i = 0; i < n; ++i)
      nodes_[i].self =
          Member{NodeId(100 + i), "n" + std::to_string(i), "10.0.0." + std::to_string(i), "z", i < founders_, true};
    for (Node& node : nodes_) make(node);
    if (!founders)
      for (std::size_t i = 0; i < n; ++i) installFirstMembership(i);
  }
  /// Installs the first membership on a node.
  void installFirstMembership(std::size_t i);
  bool joins = false;                  ///< nodes outside the membership ask to join, and new members copy all keys
  bool keepIdentity = false;           ///< injected fault: a wiped node keeps its identity and votes
  bool sendsUnsynced = false;          ///< injected fault: messages are sent although a failing disk didn't sync
  bool installsLearnerCopies = false;  ///< injected fault: a promoted learner votes with its earlier copies
  Ms deadAfter = Ms(3600);
  std::int64_t survive = 0;
  /// Loses the disk: the node restarts empty, under a new identity.
  void wipe(std::size_t i);
  /// Loses records in the middle of the log. The node detects it and gives up its vote, unless `keepsVoting`.
  void corruptDisk(std::size_t i, bool keepsVoting = false);
  void makeDiskless(std::size_t i) {
    nodes_[i].hasDisk = false;
    nodes_[i].self.hasDisk = false;
    make(nodes_[i]);
  }
  /// The newest membership that any running node knows.
  tealshelf::Membership newest() const {
    tealshelf::Membership membership;
    for (Node const& node : nodes_)
      if (node.up && node.consensus->membership().number > membership.number) membership = node.consensus->membership();
    return membership;
  }
  /// How many running members vote, or will vote once they know the newest membership.
  std::size_t voters() const {
    tealshelf::Membership const membership = newest();
    std::size_t n = 0;
    for (Node const& node : nodes_) {
      Member const* const m = membership.find(node.consensus->self().id);
      n += m && m->incarnation == node.consensus->self().incarnation && node.up && node.consensus->holdsAllKeys();
    }
    return n;
  }
  std::size_t ownerOf(string const& keyspace) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].consensus->owns(keyspace)) return i;
    return nodes_.size();
  }
  std::size_t members() const {
    std::size_t most = 0;
    for (Node const& node : nodes_)
      if (node.up) most = std::max(most, node.consensus->membership().members.size());
    return most;
  }
  std::uint64_t dice(std::uint64_t n) { return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random_); }
  TimePoint now() const { return now_; }
  vector<Node>& nodes() { return nodes_; }
  double loss = 0;
  std::uint64_t delay = 0;                             ///< maximum extra delay of a packet in milliseconds
  bool countsUnknownAsRefused = false;                 ///< injected fault: an unknown outcome counts as a refusal
  bool datesContactByArrival = false;                  ///< injected fault: contact is dated by the time of arrival
  bool syncAtStart = true;                             ///< a restart syncs what a killed process left unsynced
  std::set<std::pair<std::size_t, std::size_t>> cuts;  ///< one-way, from and to

  /// Advances the clock by 5 ms.
  void step();
  void run(std::size_t steps) {
    for (std::size_t i = 0; i < steps; ++i) step();
  }
  /// Loses power: unsynced records are lost, all or in part.
  void losePower(std::size_t i);
  void kill(std::size_t i);
  bool keepsVoting = false;  ///< injected fault: a node that lost records continues to vote
  /// Starts a node whose disk has lost its newest synced records.
  void startWithLostRecords(std::size_t i);
  void start(std::size_t i);

  /// Uses the configuration keyspace as a counter: each write sets the owner's value plus one.
  void write();
  void read();
  /// Starts an operation on a node; `end` is called with its success unless the process ends first.
  void begin(std::size_t i, std::function<std::uint64_t(Consensus&)> const& start, std::function<void(bool)> end) {
    Node& node = nodes_[i];
    testOperations_[{i, node.processNumber, start(*node.consensus)}] = std::move(end);
    flushOutput(node);
  }
  std::uint64_t value(Node const& node) const {
    std::map<string, string> const& values = node.consensus->committedValues("configuration");
    std::map<string, string>::const_iterator const entry = values.find("current");
    return entry == values.end() ? 0 : std::strtoull(entry->second.c_str(), nullptr, 10);
  }
  /// Writes many keys at once to the configuration on its owner.
  void fill(std::size_t i, std::size_t keys, std::size_t bytes) {
    vector<KeyChange> cs;
    for (std::size_t k = 0; k < keys; ++k) cs.push_back({"f" + std::to_string(k), string(bytes, 'x'), false});
    nodes_[i].consensus->propose("configuration", cs, now_);
    flushOutput(nodes_[i]);
  }
  std::size_t chunks = 0, largestChunkBytes = 0;  ///< of the transfers to lagging members
  bool writing(std::size_t i) const { return writing_.count(i) != 0; }
  std::uint64_t highestAcknowledged = 0, reads = 0, writes = 0, unknown = 0;
  string violation;

  /// Checks that no process's committed value decreases, and that no node shows a refused write.
  void check();

 private:
  /// Checks that a node claims contact with a majority only if a majority received a recent heartbeat from it.
  void checkContact(Node const& node) {
    if (!node.consensus->inContactWithMajority(now_)) return;
    vector<TimePoint> lastReceived;
    for (Member const& m : node.consensus->membership().members)
      lastReceived.push_back(m.id == node.self.id ? now_ : received_[{node.self.id, m.id}]);
    std::sort(lastReceived.begin(), lastReceived.end(), std::greater<TimePoint>());
    TimePoint const contact = lastReceived[node.consensus->membership().quorum() - 1];
    if (now_ - contact <= Ms(750)) return;
    std::size_t const i = static_cast<std::size_t>(&node - nodes_.data());
    bool const superseded = acknowledgedAt_ > contact && acknowledgedBy_ != i;
    fail(node.self.name + (superseded ? " claims contact with a majority while another owner acknowledged a newer write"
                                      : " claims contact with a majority on outdated evidence"));
  }
  void fail(string const& s) {
    if (violation.empty()) violation = s;
  }
  void make(Node& node);
  void stop(Node& node);
  void flushOutput(Node& node) {
    Output output = node.consensus->takeOutput();
    for (string& r : output.records) node.unsynced.push_back(std::move(r));
    if (node.diskFails && output.needsSync && !sendsUnsynced) output.messages.clear();
    if (node.diskFails) return send(node, std::move(output));
    if (output.needsSync && !skipsSync_) {
      node.waiting.emplace_back(node.disk.size() + node.unsynced.size(), std::move(output));
      if (node.syncAt < now_) node.syncAt = now_ + node.syncTakes;
    } else {
      send(node, std::move(output));
    }
  }
  void sync(Node& node) {
    if (node.diskFails) return;
    // A sync covers the records of this process, not those that an earlier process left unsynced.
    for (string& r : node.unsynced) node.disk.push_back(std::move(r));
    node.unsynced.clear();
    std::deque<std::pair<std::size_t, Output>> w;
    w.swap(node.waiting);
    for (std::pair<std::size_t, Output>& p : w) send(node, std::move(p.second));
  }
  void send(Node& node, Output output) {
    std::size_t const from = static_cast<std::size_t>(&node - nodes_.data());
    for (Message const& m : output.messages) {
      if (!std::holds_alternative<TransferChunk>(m.body)) continue;
      msgpack::sbuffer packed;
      msgpack::pack(packed, m);
      ++chunks;
      largestChunkBytes = std::max(largestChunkBytes, packed.size());
    }
    for (Message& m : output.messages)
      for (std::size_t j = 0; j < nodes_.size(); ++j)
        if (nodes_[j].self.id == m.to) deliver(from, j, m);
    for (OperationOutcome const& ended : output.outcomes) outcome(from, ended);
  }
  template <class M>
  void deliver(std::size_t from, std::size_t to, M m) {
    if (from != to && (cuts.count({from, to}) || std::uniform_real_distribution<>(0, 1)(random_) < loss)) return;
    std::uint64_t const processNumber = nodes_[to].processNumber;
    Ms const extraDelay(delay && from != to ? dice(delay) : 0);
    TimePoint const at = now_ + extraDelay + Ms(from == to ? 0 : 1 + dice(loss > 0 ? 60 : 3));
    network_.emplace(at, [this, to, processNumber, m = std::move(m)] {
      Node& peer = nodes_[to];
      if (!peer.up || peer.processNumber != processNumber) return;
      if (peer.frozen) {
        heldMessages_.emplace_back(to, m);
        return;
      }
      receiveAt(peer, m);
    });
  }
  void receiveAt(Node& peer, Message const& m) {
    peer.consensus->receive(m, now_);
    flushOutput(peer);
  }
  struct HeartbeatAnswer {
    NodeId from;
    ProcessTime sentAt;
  };
  void receiveAt(Node& peer, HeartbeatAnswer const& a) { peer.consensus->receiveEcho(a.from, a.sentAt, now_); }
  void receiveAt(Node& peer, Heartbeat p) {
    TimePoint& received = received_[{p.sender.id, peer.self.id}];
    received = std::max(received, TimePoint(TimePoint::duration(p.sentAt.ticks)));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].self.id == p.sender.id && !datesContactByArrival)
        deliver(static_cast<std::size_t>(&peer - nodes_.data()), i, HeartbeatAnswer{peer.self.id, p.sentAt});
    for (KeyspaceProgress const& k : p.keyspaces)
      if (k.owned && k.keyspace == "configuration") peer.known = std::max(peer.known, Position{k.epoch, k.committed});
    for (Echo& e : p.echoes)
      if (datesContactByArrival && e.node == peer.self.id) e.sentAt = peer.consensus->heartbeat(now_).sentAt;
    for (Node& node : nodes_)
      if (node.self.id == p.sender.id && node.consensus &&
          node.consensus->membership().number > peer.consensus->membership().number)
        peer.consensus->installMembership(node.consensus->membership(), false);
    peer.consensus->receiveHeartbeat(p, now_);
    flushOutput(peer);
  }
  /// Does the work of MembershipManager: joins, changes the membership, copies all keys.
  void join(std::size_t i);
  bool reaches(std::size_t i, std::size_t j) const {
    return i != j && nodes_[j].up && !nodes_[j].frozen && !cuts.count({i, j}) && !cuts.count({j, i});
  }
  /// Copies all keys from other nodes, as a learner or as a member without a vote.
  void copy(Node& node, std::size_t i);
  void outcome(std::size_t node, OperationOutcome const& ended);

 public:
  void unfreeze(std::size_t i);
  /// Restores all connections, starts all stopped nodes and unfreezes all frozen ones.
  void heal();

 private:
  std::mt19937_64 random_;
  bool skipsSync_;
  vector<Node> nodes_;
  std::size_t founders_ = 0;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  std::uint64_t turn_ = 0, lastIdentity_ = 0;
  std::multimap<TimePoint, std::function<void()>> network_;
  std::deque<Operation> ops_;
  Consensus::Timeouts times_{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)};
  std::set<std::size_t> writing_;
  std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, std::function<void(bool)>> testOperations_;
  std::uint64_t lastMark_ = 0;
  std::set<std::uint64_t> refused_;  ///< marks of writes that were reported as never taking effect
  std::map<std::pair<NodeId, NodeId>, TimePoint>
      received_;  ///< send time of the latest received heartbeat, by sender and receiver
  TimePoint acknowledgedAt_;
  std::size_t acknowledgedBy_ = 0;
  vector<std::pair<std::size_t, std::variant<Message, Heartbeat, HeartbeatAnswer>>> heldMessages_;
};

}  // namespace tealshelf::sim
