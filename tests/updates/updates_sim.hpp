#pragma once
#include "updates/relay_topology.hpp"
#include "updates/update_subscriber.hpp"

#include <random>

namespace tealshelf::sim {

/// Control nodes, relays and plain nodes on a virtual clock and a lossy network. Control is
/// played as a list of commits that its healthy nodes learn of within a moment.
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
      UpdateRequest ask;
      TimePoint came;
      Address from;
      std::uint64_t id;
      bool crowded;
    };
    vector<Held> held;
  };
  struct Control : Server {
    Member self;
    TimePoint proven;
    std::size_t known = 0;  ///< commits taken in
    bool healthy = true;
  };
  struct Node : Server {
    DataNode row;
    std::unique_ptr<UpdateSubscriber> node;
    std::optional<UpdateSubscriber::Plan> asking;
    std::uint64_t id = 0, version = 0;
    TimePoint sent, wake, calmSince;
    std::map<string, string> workers;
  };
  struct Commit {
    std::uint64_t configuration = 0;
    string key, value;
    bool gone = false;
    TimePoint at;
  };

  Fleet(std::uint64_t seed, Config c) : g_(seed), conf_(c), controls_(c.controls), nodes_(c.zones * c.perZone) {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      Control& x = controls_[i];
      x.name = "c" + std::to_string(i);
      x.at = {"10.9.0." + std::to_string(i), 1};
      x.self = Member{NodeId(i + 1), x.name, x.at.ip, zoneName(i % c.zones), true};
      makePublisher(x, 0);
      Control* const p = &x;
      x.publisher->proof = [p] { return UpdatePublisher::Proof{p->healthy, 0, p->proven}; };
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
  std::set<std::pair<string, string>> cuts;  ///< one-way, by name
  string broken;
  std::uint64_t fullDeltas = 0, deltas = 0;
  std::uint64_t dice(std::uint64_t n) { return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(g_); }
  vector<Control>& controls() { return controls_; }
  vector<Node>& nodes() { return nodes_; }
  TimePoint now() const { return now_; }
  Bounds const& bounds() const { return settings_.bounds; }

  void commitConfiguration() { commits_.push_back({++version_, "", "", false, now_}); }
  void commitWorker() {
    string const key = "w/i" + std::to_string(dice(60));
    bool const gone = dice(3) == 0;
    commits_.push_back({0, key, gone ? "" : "v" + std::to_string(commits_.size()), gone, now_});
  }
  void kill(Node& x) {
    x.up = false;
    x.held.clear();
    x.asking.reset();
  }
  void start(Node& x) {
    x.held.clear();
    x.asking.reset();
    x.workers.clear();
    x.version = 0;
    x.up = true;
    x.frozen = false;
    makePublisher(x, 2 * RelayTopology::fanOut);
    vector<Address> seeds;
    for (std::size_t i = 0; i < 3 && i < controls_.size(); ++i) seeds.push_back(controls_[i].at);
    x.node = std::make_unique<UpdateSubscriber>(
        x.row, UpdateSubscriber::Timeouts::of(settings_.bounds), seeds,
        [](string const& ip) {
          return Address{ip, 1};
        },
        *x.publisher);
    UpdateSubscriber* const n = x.node.get();
    x.publisher->proof = [this, n] { return n->proof(now_); };
    Node* const p = &x;
    x.node->onRow = [this, p](TableRow const& r) {
      if (r.key[0] != 'w' || (conf_.rowsAreDropped && dice(50) == 0)) return;
      if (r.removed)
        p->workers.erase(r.key);
      else
        p->workers[r.key] = r.value;
    };
    x.wake = now_ + Ms(dice(20));
    x.calmSince = now_;
  }
  /// A trouble at a node: it is not in touch until so long after it.
  void touch(Node& x) { x.calmSince = now_; }
  void touchAll() {
    for (Node& x : nodes_) touch(x);
  }

  void step() {
    now_ += Ms(5);
    for (Control& c : controls_) runControl(c);
    if (++turn_ % 20 == 0) listNodes();
    for (Node& x : nodes_) runNode(x);
    while (!net_.empty() && net_.begin()->first <= now_) {
      std::function<void()> const f = std::move(net_.begin()->second);
      net_.erase(net_.begin());
      f();
    }
    if (turn_ % 4 == 0) check();
  }
  void run(std::size_t steps) {
    for (std::size_t i = 0; i < steps && broken.empty(); ++i) step();
  }
  /// After quiet every node's view equals control's.
  void checkEqual() {
    for (Node& x : nodes_) {
      if (!x.up) continue;
      if (x.publisher->common.digest() != controls_[0].publisher->common.digest())
        fail(x.name + " differs from control after quiet");
      std::map<string, string> want;
      for (std::pair<string const, string> const& p : controls_[0].publisher->common.rows())
        if (p.first[0] == 'w') want.insert(p);
      if (want != x.workers) fail(x.name + " knows other workers than control after quiet");
      if (x.publisher->configurationVersion() != version_) fail(x.name + " has an old configuration after quiet");
    }
  }
  /// Asks held or in flight at a server.
  std::size_t asksAt(Server const& s) const { return s.held.size(); }
  bool relays(Node const& x) const { return x.node->isRelay(); }

 private:
  static string zoneName(std::size_t i) { return "z" + std::to_string(i); }
  void fail(string const& s) {
    if (broken.empty()) broken = s;
  }
  void makePublisher(Server& s, std::size_t most) {
    s.publisher = std::make_unique<UpdatePublisher>(io_, settings_, most);
  }
  bool passes(string const& a, string const& b) {
    if (cuts.count({a, b})) return false;
    return std::uniform_real_distribution<>(0, 1)(g_) >= loss;
  }
  void runControl(Control& c) {
    if (!c.up || c.frozen) return;
    if (c.healthy) {
      c.proven = std::max(c.proven, now_ - Ms(dice(200)));
      while (c.known < commits_.size() && now_ - commits_[c.known].at >= Ms(dice(60))) {
        Commit const& k = commits_[c.known++];
        if (k.configuration)
          c.publisher->setConfiguration(k.configuration, "configuration " + std::to_string(k.configuration));
        else if (k.gone)
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
    if (x.asking) {
      if (now_ > x.sent + x.asking->limit) {
        x.node->noteFailed(x.asking->source, now_);
        x.asking.reset();
      }
      return;
    }
    if (now_ < x.wake) return;
    if (x.node->allSourcesBackingOff(now_)) x.wake = now_ + Ms(60);
    if (!x.publisher->configurationVersion()) {
      vector<Address> const l = x.node->controlAddresses(now_);
      x.asking = x.node->firstPlan(l[dice(l.size())], now_);
    } else {
      x.asking = x.node->plan(now_);
    }
    x.sent = now_;
    std::uint64_t const id = x.id = ++lastId_;
    Server* const to = at(x.asking->source);
    if (!to || !passes(x.name, to->name)) return;
    UpdateRequest const q = x.asking->request;
    Address const from = x.at;
    net_.emplace(now_ + Ms(1 + dice(3)), [this, to, q, from, id] {
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
      std::optional<UpdateReply> r = s.publisher->answerIfDue(h.ask, h.came, now_, h.crowded);
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
      if (!to || !passes(name, to->name)) continue;
      std::uint64_t const id = h.id;
      Address const from = h.from;
      net_.emplace(now_ + Ms(1 + dice(3)), [this, from, id, r = std::move(*r)] {
        for (Node& x : nodes_) {
          if (x.at != from || !x.up || x.frozen || !x.asking || x.id != id) continue;
          UpdateSubscriber::Plan const p = std::move(*x.asking);
          x.asking.reset();
          x.node->receive(p, r, x.sent, now_);
          x.wake = now_ + Ms(5);
        }
      });
    }
    s.held = std::move(keep);
  }
  void tamper(UpdateReply& r, string const& name) {
    if (conf_.relaysReportFalseAge && name[0] == 'n') {
      r.proofAgeMs = 0;
      r.healthy = true;
    }
    if (conf_.deltasLoseRows && name[0] == 'n' && !r.common.empty() && dice(10) == 0) {
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
      if (conf_.configurationsRollBack && v > 3 && dice(400) == 0) {
        x.publisher->setConfiguration(v - 1, "old");
        v = v - 1;
      }
      if (v < x.version)
        fail(x.name + " went back from configuration " + std::to_string(x.version) + " to " + std::to_string(v));
      x.version = v;
      if (x.frozen || now_ - x.calmSince < Ms(settings_.bounds.inTouch)) continue;
      // In touch: what was committed so long ago must be in force.
      for (std::size_t i = commits_.size(); i-- > 0;) {
        Commit const& k = commits_[i];
        if (now_ - k.at <= Ms(settings_.bounds.applyWithin)) continue;
        if (now_ - k.at > Ms(2 * settings_.bounds.applyWithin)) break;
        if (k.configuration && v < k.configuration)
          fail(x.name + " in touch has configuration " + std::to_string(v) + ", " + std::to_string(k.configuration) +
               " was acknowledged long ago");
        if (!k.configuration && k.gone && x.workers.count(k.key)) {
          bool again = false;
          for (std::size_t j = i + 1; j < commits_.size(); ++j) again = again || commits_[j].key == k.key;
          if (!again) fail(x.name + " in touch still knows a worker that is gone");
        }
      }
    }
  }

  std::mt19937_64 g_;
  Config conf_;
  asio::io_context io_;
  Settings settings_;
  vector<Control> controls_;
  vector<Node> nodes_;
  vector<Commit> commits_;
  std::uint64_t version_ = 0, lastId_ = 0, turn_ = 0;
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  std::multimap<TimePoint, std::function<void()>> net_;
};

}  // namespace tealshelf::sim
