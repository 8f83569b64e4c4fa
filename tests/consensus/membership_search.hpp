#pragma once
#include "consensus/membership_policy.hpp"
#include "tests/consensus/consensus_probe.hpp"

#include <unordered_map>

namespace tealshelf {

namespace sim {

/// Deliberate faults, which the search must find.
enum class InjectedFault {
  nothing,
  learnerVotesAtOnce,
  removesAtAnyTime,
  keepsIncarnation,
  corruptDiskVotes,
  listsOneFormerMember
};

/// How often each kind of event may occur on a path of the search.
struct Budget {
  int writes = 1, changes = 2, takeovers = 2, crashes = 1, wipes = 0, corruptions = 0, reads = 0, lateMessages = 0;
};

/// A state of the search: a few real state machines and the messages between them. After each event, the messages that
/// it sent are delivered, lost or in flight.
class World {
 public:
  using Set = unsigned;  ///< bit set of disks
  struct Disk {
    std::shared_ptr<Consensus const> state;
    std::shared_ptr<vector<string> const> durable;
    std::map<NodeId, std::shared_ptr<DiskCopy const>> copies, learnerCopies;
    MembershipNumber copiesUnder;
    std::uint64_t hash = 0, lastIncarnation = 0;
    bool stale = true;
  };

  World(std::size_t disks, std::size_t founders, Budget budget, InjectedFault fault) : budget_(budget), fault_(fault) {
    Membership first;
    first.number = MembershipNumber(1);
    for (std::size_t i = 0; i < disks; ++i) {
      Member const m{NodeId(100 + i), "n", "10.0.0." + std::to_string(i), "z", i < founders, true, 0};
      if (i < founders) first.members.push_back(m);
      Disk d;
      d.state = std::make_shared<Consensus>(fresh(m));
      disks_.push_back(d);
    }
    first.formerMembers = first.members;
    for (std::size_t i = 0; i < disks; ++i) {
      change(i).installMembership(first, i < founders);
      flush(i, 0);
    }
    budget_.takeovers = 2;
    takeOver(0, all(), "configuration");
    takeOver(0, all(), "members");
    inFlight_.clear();
    for (std::size_t i = founders; i < disks; ++i)
      for (std::size_t j = 0; j < first.quorum(); ++j) disks_[i].learnerCopies[id(j)] = copyOf(j);
    budget_ = budget;
  }

  string violation;  ///< the rule that an event violated; empty if none
  std::size_t size() const { return disks_.size(); }
  void allow(Budget b) { budget_ = b; }
  Set all() const { return (1u << size()) - 1; }

  /// Visits all worlds that one event leads to.
  template <class Visit>
  void each(Visit visit) const {
    auto const visitIfAllowed = [&](bool may, auto event) {
      if (!may) return;
      World w = *this;
      if (!event(w)) return;
      w.check();
      visit(w);
    };
    for (std::size_t k = 0; k < inFlight_.size(); ++k) visitIfAllowed(true, [k](World& w) { return w.deliverLate(k); });
    for (std::size_t i = 0; i < size(); ++i) {
      Consensus const& c = at(i);
      for (std::size_t j = 0; j < size(); ++j) {
        visitIfAllowed(at(j).membership().number > c.membership().number, [i, j](World& w) { return w.learn(i, j); });
        visitIfAllowed(i != j && c.isMember() && !c.holdsAllKeys(), [i, j](World& w) { return w.copyFrom(i, j); });
      }
      visitIfAllowed(budget_.crashes, [i](World& w) { return w.crash(i); });
      visitIfAllowed(budget_.wipes, [i](World& w) { return w.wipe(i); });
      visitIfAllowed(budget_.corruptions && c.isMember(), [i](World& w) { return w.corruptDisk(i); });
      for (Set s = 0; s <= all(); ++s)
        if (!(s & 1u << i)) forEachRound(i, s, visitIfAllowed);
    }
  }

  bool deliverLate(std::size_t k) {
    Message const m = inFlight_[k];
    inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(k));
    std::optional<std::size_t> const to = indexOf(m.to), from = indexOf(m.from);
    if (!to || !from) return false;
    change(*to).receive(m, ConsensusProbe::now());
    flush(*to, 1u << *from);
    return true;
  }
  bool takeOver(std::size_t i, Set reach, string const& keyspace) {
    if (!at(i).holdsAllKeys() || !spend(budget_.takeovers)) return false;
    ConsensusProbe::takeOver(change(i), keyspace);
    flush(i, reach);
    if (at(i).owns("configuration") && keyspace == "configuration") checkHoldsKeys(i, acknowledgedKeys_, "an owner");
    return true;
  }
  bool write(std::size_t i, Set reach, bool holdReplies) {
    if (!at(i).owns("configuration") || !spend(budget_.writes)) return false;
    string const key = "x" + std::to_string(budget_.writes);
    writes_[change(i).propose("configuration", {{key, "1", false}}, ConsensusProbe::now()) * 16 + i] = key;
    flush(i, reach, holdReplies ? reach : 0);
    return true;
  }
  bool read(std::size_t i, Set reach) {
    if (!at(i).owns("configuration") || !spend(budget_.reads)) return false;
    reads_[change(i).confirmOwnership("configuration", ConsensusProbe::now()) * 16 + i] = acknowledgedKeys_;
    flush(i, reach);
    return true;
  }
  /// The owner, disk i, decides on a join or leave of disk j. It has heartbeats only from the disks in reach.
  bool changeMembers(std::size_t i, Set reach, std::size_t j, bool leave) {
    if (!at(i).owns("members") || budget_.changes < 1) return false;
    if (leave ? !at(i).membership().find(id(j)) : at(j).isMember()) return false;
    Consensus& c = change(i);
    ConsensusProbe::forgetContacts(c);
    if (!leave && at(j).isRetired() && fault_ != InjectedFault::keepsIncarnation)
      change(j).rejoin(++disks_[j].lastIncarnation);
    ProcessTime const own = c.heartbeat(ConsensusProbe::now()).sentAt;
    for (std::size_t k = 0; k < size(); ++k) {
      if (k == i || !(reach & 1u << k)) continue;
      Heartbeat h = at(k).heartbeat(ConsensusProbe::now());
      for (std::size_t o = 0; o < size(); ++o)
        if (o == i || reach & 1u << o) h.echoes.push_back(Echo{id(o), o == i ? own : ProcessTime()});
      c.receiveHeartbeat(h, ConsensusProbe::now());
    }
    MembershipPolicy const policy{Ms(3600), 1};
    MembershipChange const request{at(j).self(), leave, at(j).membership().number};
    std::optional<Membership> next = policy.next(c, request, ConsensusProbe::now());
    if (!next && leave && fault_ == InjectedFault::removesAtAnyTime && c.membership().members.size() > 1 && i != j) {
      next = c.membership();
      next->number = MembershipNumber(next->number.value + 1);
      next->formerMembers = c.membership().members;
      std::erase_if(next->members, [&](Member const& m) { return m.id == id(j); });
    }
    if (!next) return false;
    if (fault_ == InjectedFault::listsOneFormerMember)
      next->formerMembers.erase(next->formerMembers.begin(), next->formerMembers.end() - 1);
    --budget_.changes;
    std::uint64_t const op = c.propose("members", {{"membership", serialize(*next), false}}, ConsensusProbe::now());
    changes_[op * 16 + i] = *next;
    flush(i, reach);
    return true;
  }
  /// Disk i learns disk j's membership, as from a heartbeat; it syncs this before it next sends something.
  bool learn(std::size_t i, std::size_t j) {
    if (at(j).membership().number <= at(i).membership().number) return false;
    change(i).installMembership(at(j).membership(), false);
    if (fault_ == InjectedFault::learnerVotesAtOnce && at(i).isMember() && !at(i).holdsAllKeys() &&
        !disks_[i].learnerCopies.empty()) {
      vector<DiskCopy> l;
      for (std::pair<NodeId const, std::shared_ptr<DiskCopy const>> const& c : disks_[i].learnerCopies)
        l.push_back(*c.second);
      change(i).installCopies(l);
    }
    return true;
  }
  bool copyFrom(std::size_t i, std::size_t j) {
    Membership const g = at(i).membership();
    if (!at(i).isMember() || at(i).holdsAllKeys()) return false;
    learn(j, i);
    std::optional<Member> const source = at(j).copySource();
    bool const listed =
        source && std::find(g.formerMembers.begin(), g.formerMembers.end(), *source) != g.formerMembers.end();
    if (!listed || at(j).membership().number != g.number) return false;
    flush(j, 0);
    Disk& d = disks_[i];
    if (d.copiesUnder != g.number) d.copies.clear();
    d.copiesUnder = g.number;
    d.copies[source->id] = copyOf(j);
    if (d.copies.size() < g.formerQuorum()) return true;
    vector<DiskCopy> l;
    for (std::pair<NodeId const, std::shared_ptr<DiskCopy const>> const& c : d.copies) l.push_back(*c.second);
    change(i).installCopies(l);
    d.copies.clear();
    flush(i, 0);
    return true;
  }
  void restart(std::size_t i, Consensus c) {
    disks_[i].state = std::make_shared<Consensus>(std::move(c));
    disks_[i].stale = true;
    disks_[i].copies.clear();
    disks_[i].learnerCopies.clear();
    std::erase_if(writes_, [i](auto const& w) { return w.first % 16 == i; });
    std::erase_if(reads_, [i](auto const& r) { return r.first % 16 == i; });
    std::erase_if(changes_, [i](auto const& c) { return c.first % 16 == i; });
  }
  bool crash(std::size_t i) {
    if (!spend(budget_.crashes)) return false;
    Consensus c = fresh(at(i).self());
    for (string const& r : *disks_[i].durable) c.replay(r);
    restart(i, std::move(c));
    return true;
  }
  bool wipe(std::size_t i) {
    if (!spend(budget_.wipes)) return false;
    Member m = at(i).self();
    m.id = NodeId(m.id.value + 1000);
    m.founder = false;
    m.incarnation = 0;
    restart(i, fresh(m));
    disks_[i].durable = std::make_shared<vector<string>>();
    return true;
  }
  /// The disk loses all records of keys and detects the loss.
  bool corruptDisk(std::size_t i) {
    if (!spend(budget_.corruptions) || disks_[i].durable->empty()) return false;
    Consensus c = fresh(at(i).self());
    c.replay(disks_[i].durable->front());
    if (fault_ != InjectedFault::corruptDiskVotes) c.giveUpVote(++disks_[i].lastIncarnation + 50);
    restart(i, std::move(c));
    return true;
  }

  std::uint64_t hash() {
    msgpack::sbuffer b;
    for (Disk& d : disks_) {
      if (d.stale) d.hash = ConsensusProbe::hash(*d.state) ^ (d.durable ? hash64(serialize(*d.durable)) * 31 : 0);
      d.stale = false;
      msgpack::pack(b, std::make_tuple(d.hash, d.copiesUnder, d.lastIncarnation));
      for (std::pair<NodeId const, std::shared_ptr<DiskCopy const>> const& c : d.copies) msgpack::pack(b, *c.second);
    }
    msgpack::pack(b, inFlight_);
    msgpack::pack(b, acknowledgedKeys_);
    msgpack::pack(b, std::make_tuple(budget_.writes, budget_.changes, budget_.takeovers, budget_.crashes, budget_.wipes,
                                     budget_.corruptions, budget_.reads));
    return hash64(string(b.data(), b.size()));
  }

 private:
  /// Visits all operations that disk i may start while the disks in `s` are in reach.
  template <class Try>
  void forEachRound(std::size_t i, Set s, Try const& visitIfAllowed) const {
    Consensus const& c = at(i);
    bool const reachesOnlyMembers = (s & ~memberSet(i)) == 0;
    for (string const& k : {string("configuration"), string("members")})
      visitIfAllowed(reachesOnlyMembers && budget_.takeovers && c.holdsAllKeys(),
                     [i, s, k](World& w) { return w.takeOver(i, s, k); });
    bool const owns = reachesOnlyMembers && c.owns("configuration");
    visitIfAllowed(owns && budget_.writes, [i, s](World& w) { return w.write(i, s, false); });
    visitIfAllowed(owns && budget_.writes && budget_.lateMessages, [i, s](World& w) { return w.write(i, s, true); });
    visitIfAllowed(owns && budget_.reads, [i, s](World& w) { return w.read(i, s); });
    for (std::size_t j = 0; j < size(); ++j)
      for (bool const leave : {false, true})
        visitIfAllowed(reachesOnlyMembers && c.owns("members") && budget_.changes,
                       [i, s, j, leave](World& w) { return w.changeMembers(i, s, j, leave); });
  }
  Set memberSet(std::size_t i) const {
    Set s = 0;
    for (std::size_t j = 0; j < size(); ++j)
      if (at(i).membership().find(id(j))) s |= 1u << j;
    return s;
  }
  template <class T>
  static string serialize(T const& x) {
    msgpack::sbuffer b;
    msgpack::pack(b, x);
    return string(b.data(), b.size());
  }
  static Consensus fresh(Member const& m) {
    Consensus c(m, Consensus::Timeouts{Ms(750), Ms(100), Ms(1500), Ms(600), Ms(2000)}, 1);
    c.addKeyspace("configuration");
    c.addKeyspace("members");
    return c;
  }
  static bool spend(int& n) { return n-- > 0; }
  std::shared_ptr<DiskCopy const> copyOf(std::size_t j) const {
    return std::make_shared<DiskCopy>(at(j).exportKeyspaces());
  }
  NodeId id(std::size_t i) const { return disks_[i].state->self().id; }
  Consensus const& at(std::size_t i) const { return *disks_[i].state; }
  Consensus& change(std::size_t i) {
    std::shared_ptr<Consensus> const c = std::make_shared<Consensus>(*disks_[i].state);
    disks_[i].state = c;
    disks_[i].stale = true;
    return *c;
  }
  std::optional<std::size_t> indexOf(NodeId who) const {
    for (std::size_t i = 0; i < size(); ++i)
      if (id(i) == who) return i;
    return std::nullopt;
  }

  /// Syncs a disk's records, then sends its messages: at once to the disks in reach, later or never to others.
  void flush(std::size_t i, Set reach, Set heldReplies = 0) {
    Output b = change(i).takeOutput();
    disks_[i].durable = std::make_shared<vector<string>>(at(i).snapshot());
    for (OperationOutcome const& o : b.outcomes) ended(i, o);
    for (Message& m : b.messages) {
      std::optional<std::size_t> const j = indexOf(m.to);
      if (!j) continue;
      if (*j == i || (reach & 1u << *j && !(heldReplies & 1u << i))) {
        change(*j).receive(m, ConsensusProbe::now());
        flush(*j, reach | 1u << i, heldReplies);
      } else if (inFlight_.size() < static_cast<std::size_t>(budget_.lateMessages)) {
        inFlight_.push_back(m);
      }
    }
  }
  void ended(std::size_t i, OperationOutcome const& o) {
    if (o.result != OperationResult::committed) return;
    if (std::map<std::uint64_t, string>::iterator const w = writes_.find(o.operation * 16 + i); w != writes_.end())
      acknowledgedKeys_.insert(w->second);
    if (std::map<std::uint64_t, std::set<string>>::iterator const r = reads_.find(o.operation * 16 + i);
        r != reads_.end())
      checkHoldsKeys(i, r->second, "a confirmed read");
    std::map<std::uint64_t, Membership>::iterator const g = changes_.find(o.operation * 16 + i);
    if (g != changes_.end() && at(i).membership().number.value + 1 == g->second.number.value)
      change(i).installMembership(g->second, false);
  }

  void checkHoldsKeys(std::size_t i, std::set<string> const& keys, string const& who) {
    for (string const& key : keys)
      if (!at(i).committedValues("configuration").count(key)) violation = who + " lacks an acknowledged change";
  }
  /// Checks that no majority of the newest membership, counting disks that vote or will once they know it, lacks an
  /// acknowledged change.
  void check() {
    Membership newest;
    for (Disk const& d : disks_)
      if (d.state->membership().number > newest.number) newest = d.state->membership();
    for (string const& key : acknowledgedKeys_) {
      std::size_t lacking = 0;
      for (std::size_t i = 0; i < size(); ++i) {
        Member const* const m = newest.find(id(i));
        bool const votes = m && m->incarnation == at(i).self().incarnation && at(i).holdsAllKeys();
        lacking += votes && !ConsensusProbe::holds(at(i), "configuration", key);
      }
      if (lacking >= newest.quorum()) violation = "a majority that votes lacks an acknowledged change";
    }
  }

  Budget budget_;
  InjectedFault fault_;
  vector<Disk> disks_;
  vector<Message> inFlight_;
  std::set<string> acknowledgedKeys_;
  std::map<std::uint64_t, string> writes_;
  std::map<std::uint64_t, std::set<string>> reads_;
  std::map<std::uint64_t, Membership> changes_;
};

/// Searches all orders of events up to a depth; visits a state again only with more depth remaining.
class Search {
 public:
  explicit Search(std::size_t maxStates) : maxStates_(maxStates) {}
  std::size_t states() const { return seen_.size(); }
  bool cut() const { return truncated_; }
  /// The violation found on some path, or nothing.
  string run(World w, int depth) {
    int& known = seen_[w.hash()];
    if (known > depth) return "";
    known = depth + 1;
    if (!depth) return "";
    string found;
    w.each([&](World const& next) {
      truncated_ = truncated_ || seen_.size() >= maxStates_;
      if (!found.empty() || truncated_) return;
      found = next.violation.empty() ? run(next, depth - 1) : next.violation;
    });
    return found;
  }

 private:
  std::size_t maxStates_;
  bool truncated_ = false;
  std::unordered_map<std::uint64_t, int> seen_;
};

}  // namespace sim
}  // namespace tealshelf
