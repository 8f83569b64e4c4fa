#pragma once
#include "updates/relay_topology.hpp"
#include "updates/update_subscriber.hpp"

#include <random>

namespace tealshelf::sim {

/// Control nodes, relays and other subscribers on a virtual clock and a lossy network. The control plane is simulated
/// as a list of commits that its healthy nodes apply within a moment.
class Fleet {
 public:
  struct Config {
    std::size_t controls = 8, zones = 4, perZone = 20;
    bool relaysReportFalseAge = false, deltasLoseRows = false, configurationsRollBack = false, rowsAreDropped = false;
  };
  struct Server {
    string name;
    Address at;
    bool up = true, frozen = false;
    std::unique_ptr<UpdatePublisher> publisher;
    struct Held {
      UpdateRequest request;
      TimePoint receivedAt;
      Address from;
      std::uint64_t id;
      bool crowded;
    };
    vector<Held> held;
  };
  struct Control : Server {
    Member self;
    TimePoint provenAt;
    std::size_t appliedCommits = 0;
    bool healthy = true;
  };
  struct Node : Server {
    DataNode row;
    std::unique_ptr<UpdateSubscriber> subscriber;
    std::optional<UpdateSubscriber::Plan> pendingPlan;
    std::uint64_t id = 0, version = 0;
    TimePoint sentAt, nextRequestAt, lastFaultAt;
    std::map<string, string> workers;
  };
  struct Commit {
    std::uint64_t configuration = 0;
    string key, value;
    bool removed = false;
    TimePoint at;
  };

  Fleet(std::uint64_t seed, Config c) : random_(seed), config_(c), controls_(c.controls), nodes_(c.zones * c.perZone) {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      Control& x = controls_[i];
      x.name = "c" + std::to_string(i);
      x.at = {"10.9.0." + std::to_string(i), 1};
      x.self = Member{NodeId(i + 1), x.name, x.at.ip, zoneName(i % c.zones), true};
      makePublisher(x, 0);
      Control* const p = &x;
      x.publisher->proof = [p] { return UpdatePublisher::Proof{p->healthy, 0, p->provenAt}; };
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& x = nodes_[i];
      x.name = "n" + std::to_string(i);
      x.at = {"10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200), 2};
      x.row = DataNode{
          x.name, zoneName(i % c.zones), "edge", x.at, static_cast<std::uint32_t>(i / c.zones < 3 ? 300 : 40), 0, 0};
      start(x);
    }
  }
  double loss = 0;
  std::set<std::pair<string, string>> cuts;  ///< lost directions, from one name to another
  string broken;
  std::uint64_t fullDeltas = 0, deltas = 0;
  std::uint64_t dice(std::uint64_t n) { return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random_); }
  vector<Control>& controls() { return controls_; }
  vector<Node>& nodes() { return nodes_; }
  TimePoint now() const { return now_; }
  Bounds const& bounds() const { return settings_.bounds; }

  void commitConfiguration() { commits_.push_back({++version_, "", "", false, now_}); }
  void commitWorker() {
    string const key = "w/i" + std::to_string(dice(60));
    bool const removed = dice(3) == 0;
    commits_.push_back({0, key, removed ? "" : "v" + std::to_string(commits_.size()), removed, now_});
  }
  void kill(Node& x) {
    x.up = false;
    x.held.clear();
    x.pendingPlan.reset();
  }
  void start(Node& x) {
    x.held.clear();
    x.pendingPlan.reset();
    x.workers.clear();
    x.version = 0;
    x.up = true;
    x.frozen = false;
    makePublisher(x, 2 * RelayTopology::fanOut);
    vector<Address> seeds;
    for (std::size_t i = 0; i < 3 && i < controls_.size(); ++i) seeds.push_back(controls_[i].at);
    x.subscriber = std::make_unique<UpdateSubscriber>(
        x.row, UpdateSubscriber::Timeouts::of(settings_.bounds), seeds,
        [](string const& ip) {
          return Address{ip, 1};
        },
        *x.publisher);
    UpdateSubscriber* const n = x.subscriber.get();
    x.publisher->proof = [this, n] { return n->proof(now_); };
    Node* const node = &x;
    x.subscriber->onRow = [this, node](TableRow const& r) {
      if (r.key[0] != 'w' || (config_.rowsAreDropped && dice(50) == 0)) return;
      if (r.removed)
        node->workers.erase(r.key);
      else
        node->workers[r.key] = r.value;
    };
    x.nextRequestAt = now_ + Ms(dice(20));
    x.lastFaultAt = now_;
  }
  /// Records a fault at a node, which may lag until inTouch after it.
  void noteFault(Node& x) { x.lastFaultAt = now_; }
  void noteFaultEverywhere() {
    for (Node& x : nodes_) noteFault(x);
  }

  void step() {
    now_ += Ms(5);
    for (Control& c : controls_) runControl(c);
    if (++steps_ % 20 == 0) listNodes();
    for (Node& x : nodes_) runNode(x);
    while (!messagesInFlight_.empty() && messagesInFlight_.begin()->first <= now_) {
      std::function<void()> const f = std::move(messagesInFlight_.begin()->second);
      messagesInFlight_.erase(messagesInFlight_.begin());
      f();
    }
    if (steps_ % 4 == 0) check();
  }
  void run(std::size_t steps) {
    for (std::size_t i = 0; i < steps && broken.empty(); ++i) step();
  }
  /// Checks that every node's view equals that of the control plane, some time after the last fault.
  void checkEqual() {
    for (Node& x : nodes_) {
      if (!x.up) continue;
      if (x.publisher->common.digest() != controls_[0].publisher->common.digest())
        fail(x.name + " differs from the control plane after the last fault");
      std::map<string, string> want;
      for (std::pair<string const, string> const& p : controls_[0].publisher->common.rows())
        if (p.first[0] == 'w') want.insert(p);
      if (want != x.workers) fail(x.name + " knows other workers than the control plane after the last fault");
      if (x.publisher->configurationVersion() != version_)
        fail(x.name + " has an old configuration after the last fault");
    }
  }
  /// Requests that a server holds.
  std::size_t heldRequestsAt(Server const& s) const { return s.held.size(); }
  bool relays(Node const& x) const { return x.subscriber->isRelay(); }

 private:
  static string zoneName(std::size_t i) { return "z" + std::to_string(i); }
  void fail(string const& s) {
    if (broken.empty()) broken = s;
  }
  void makePublisher(Server& s, std::size_t most) {
    s.publisher = std::make_unique<UpdatePublisher>(io_, settings_, most);
  }
  bool isDelivered(string const& a, string const& b) {
    if (cuts.count({a, b})) return false;
    return std::uniform_real_distribution<>(0, 1)(random_) >= loss;
  }
  void runControl(Control& c) {
    if (!c.up || c.frozen) return;
    if (c.healthy) {
      c.provenAt = std::max(c.provenAt, now_ - Ms(dice(200)));
      while (c.appliedCommits < commits_.size() && now_ - commits_[c.appliedCommits].at >= Ms(dice(60))) {
        Commit const& k = commits_[c.appliedCommits++];
        if (k.configuration)
          c.publisher->setConfiguration(k.configuration, "configuration " + std::to_string(k.configuration));
        else if (k.removed)
          c.publisher->common.erase(k.key);
        else
          c.publisher->common.put(k.key, k.value);
      }
      for (Control const& m : controls_) c.publisher->common.put("m/" + hex(m.self.id.value), serialize(m.self));
    }
    answerHeld(c, c.name);
  }
  void listNodes() {
    std::map<string, DataNode> all;
    for (Control& c : controls_)
      if (c.up && c.healthy)
        for (DataNode const& n : c.publisher->recentNodes(now_)) all[n.name] = n;
    for (Control& c : controls_) {
      if (!c.up || !c.healthy || c.frozen) continue;
      for (std::pair<string const, DataNode> const& p : all)
        c.publisher->zones[p.second.zone].put(p.first, serialize(p.second));
      for (std::pair<string const, VersionedTable>& z : c.publisher->zones) {
        vector<string> out;
        for (std::pair<string const, string> const& r : z.second.rows())
          if (!all.count(r.first)) out.push_back(r.first);
        for (string const& k : out) z.second.erase(k);
      }
    }
  }
  Server* at(Address const& a) {
    for (Control& c : controls_)
      if (c.at == a) return &c;
    for (Node& x : nodes_)
      if (x.at == a) return &x;
    return nullptr;
  }
  void runNode(Node& x) {
    if (!x.up || x.frozen) return;
    answerHeld(x, x.name);
    if (x.pendingPlan) {
      if (now_ > x.sentAt + x.pendingPlan->timeout) {
        x.subscriber->noteFailed(x.pendingPlan->source, now_);
        x.pendingPlan.reset();
      }
      return;
    }
    if (now_ < x.nextRequestAt) return;
    if (x.subscriber->allSourcesBackingOff(now_)) x.nextRequestAt = now_ + Ms(60);
    if (!x.publisher->configurationVersion()) {
      vector<Address> const l = x.subscriber->controlAddresses(now_);
      x.pendingPlan = x.subscriber->firstPlan(l[dice(l.size())], now_);
    } else {
      x.pendingPlan = x.subscriber->plan(now_);
    }
    x.sentAt = now_;
    std::uint64_t const id = x.id = ++lastId_;
    Server* const to = at(x.pendingPlan->source);
    if (!to || !isDelivered(x.name, to->name)) return;
    UpdateRequest const q = x.pendingPlan->request;
    Address const from = x.at;
    messagesInFlight_.emplace(now_ + Ms(1 + dice(3)), [this, to, q, from, id] {
      if (!to->up) return;
      to->publisher->noteSubscriber(q, now_);
      bool const crowded = isAtHoldLimit(*to);
      to->held.push_back({q, now_, from, id, crowded});
    });
  }
  bool isAtHoldLimit(Server& s) const { return s.name[0] == 'n' && s.held.size() >= 2 * RelayTopology::fanOut; }
  void answerHeld(Server& s, string const& name) {
    vector<Server::Held> keep;
    for (Server::Held& h : s.held) {
      std::optional<UpdateReply> r = s.publisher->answerIfDue(h.request, h.receivedAt, now_, h.crowded);
      if (!r) {
        keep.push_back(std::move(h));
        continue;
      }
      tamper(*r, name);
      if (!r->common.empty()) {
        if (deserialize<TableDelta>(r->common).full)
          ++fullDeltas;
        else
          ++deltas;
      }
      Server* const to = at(h.from);
      if (!to || !isDelivered(name, to->name)) continue;
      std::uint64_t const id = h.id;
      Address const from = h.from;
      messagesInFlight_.emplace(now_ + Ms(1 + dice(3)), [this, from, id, r = std::move(*r)] {
        for (Node& x : nodes_) {
          if (x.at != from || !x.up || x.frozen || !x.pendingPlan || x.id != id) continue;
          UpdateSubscriber::Plan const p = std::move(*x.pendingPlan);
          x.pendingPlan.reset();
          x.subscriber->receive(p, r, x.sentAt, now_);
          x.nextRequestAt = now_ + Ms(5);
        }
      });
    }
    s.held = std::move(keep);
  }
  void tamper(UpdateReply& r, string const& name) {
    if (config_.relaysReportFalseAge && name[0] == 'n') {
      r.proofAgeMs = 0;
      r.healthy = true;
    }
    if (config_.deltasLoseRows && name[0] == 'n' && !r.common.empty() && dice(10) == 0) {
      VersionedTable b(8);
      TableDelta d = deserialize<TableDelta>(r.common);
      if (!d.full || d.rows.size() < 2) return;
      d.rows.pop_back();
      for (TableRow const& x : d.rows) b.put(x.key, x.value);
      d.toDigest = b.digest();
      r.common = serialize(d);
    }
  }
  void check() {
    for (Node& x : nodes_) {
      if (!x.up) continue;
      std::uint64_t v = x.publisher->configurationVersion();
      if (config_.configurationsRollBack && v > 3 && dice(400) == 0) {
        x.publisher->setConfiguration(v - 1, "old");
        v = v - 1;
      }
      if (v < x.version)
        fail(x.name + " rolled back from configuration " + std::to_string(x.version) + " to " + std::to_string(v));
      x.version = v;
      if (x.frozen || now_ - x.lastFaultAt < Ms(settings_.bounds.inTouch)) continue;
      // A node without recent faults must have applied what was committed longer than applyWithin ago.
      for (std::size_t i = commits_.size(); i-- > 0;) {
        Commit const& k = commits_[i];
        if (now_ - k.at <= Ms(settings_.bounds.applyWithin)) continue;
        if (now_ - k.at > Ms(2 * settings_.bounds.applyWithin)) break;
        if (k.configuration && v < k.configuration)
          fail(x.name + ", without recent faults, has configuration " + std::to_string(v) + ", " +
               std::to_string(k.configuration) + " was acknowledged more than applyWithin ago");
        if (!k.configuration && k.removed && x.workers.count(k.key)) {
          bool again = false;
          for (std::size_t j = i + 1; j < commits_.size(); ++j) again = again || commits_[j].key == k.key;
          if (!again) fail(x.name + ", without recent faults, still knows a removed worker");
        }
      }
    }
  }

  std::mt19937_64 random_;
  Config config_;
  asio::io_context io_;
  Settings settings_;
  vector<Control> controls_;
  vector<Node> nodes_;
  vector<Commit> commits_;
  std::uint64_t version_ = 0, lastId_ = 0, steps_ = 0;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  std::multimap<TimePoint, std::function<void()>> messagesInFlight_;
};

}  // namespace tealshelf::sim
