#pragma once
#include "tallies/tally_replica.hpp"

#include <random>

namespace tealshelf {

/// Reaches into a replica, for what must be broken on purpose.
struct TallyReplicaProbe {
  static void replaceTable(TallyReplica& replica, TallyTable const& table) { replica.table_ = table; }
  static void applyShifted(TallyReplica& replica, AddBatch batch) {
    batch.first = replica.table_.lastOf(batch.origin) + 1;
    replica.table_.apply(batch);
  }
};

namespace sim {

/// A violated promise; empty if none.
using Violation = string;

/// Nodes that keep tallies, with their disks, links and callers, on a virtual clock.
///
/// A seed picks the cuts (a zone off, halves, one way, a bridge), kills, losses of power, wiped disks and repeats of
/// calls at other nodes. run() checks reads on the way, and at the end, healed, that all nodes tell the same and that
/// nothing acknowledged is missing.
class TallyFleet {
 public:
  enum class Mutation {
    none,
    forgetsIds,            ///< a settled addition isn't remembered
    reusesOrigin,          ///< a wiped disk goes on under its old origin
    acknowledgesUnsynced,  ///< a caller is answered before the sync
    acknowledgesAlone,     ///< a caller is answered once the own disk has it
    mergesByGreaterTotal,  ///< of two tables the one with the greater sum wins
    readsBeforeCatchUp,    ///< a node answers reads as soon as it runs
    appliesTwice           ///< additions that came already are taken in once more
  };
  static constexpr Ms step{10}, replicaTick{50}, mergeTime{3000}, callLimit{800}, pushLimit{500};
  static constexpr std::size_t survive = 2, tallies = 4;

  TallyFleet(std::uint64_t seed, Mutation mutation, Ms length = Ms(40000))
      : random_(seed), mutation_(mutation), length_(length) {
    std::size_t const zones = 2 + pick(3);
    std::size_t const count = std::max<std::size_t>(5, zones * 2);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_[i]->index = i;
      nodes_[i]->zone = "z" + std::to_string(i % zones);
      renew(*nodes_[i]);
    }
    blocked_.assign(count, vector<bool>(count, false));
    for (std::unique_ptr<Node> const& node : nodes_) members_.push_back(node->self);
    for (std::unique_ptr<Node> const& node : nodes_) start(*node);
  }

  Violation run() {
    while (elapsed_ < length_ && violation_.empty()) {
      if (pick(150) == 0) trouble();
      if (pick(6) == 0) call(*nodes_[pick(nodes_.size())]);
      advance();
      wipeAfterAcknowledgement();
      if (pick(10) == 0) read(*nodes_[pick(nodes_.size())]);
    }
    heal();
    finishing_ = true;
    for (std::unique_ptr<Node> const& node : nodes_) node->upAgainAt = std::min(node->upAgainAt, now_);
    Ms const rest = 2 * mergeTime;
    for (Ms waited(0); waited < rest && violation_.empty(); waited += step) advance();
    if (violation_.empty()) checkEnd();
    return violation_;
  }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t wipes() const { return wipes_; }
  std::size_t settledKeys() const { return nodes_.front()->replica->table().rememberedCount(); }

 private:
  struct Call {
    string tally, id;
    std::int64_t change = 0;
  };
  struct Acknowledged {
    Call call;
    TimePoint at;
    NodeId by;
    bool duringCut = false;
  };
  struct WaitingCaller {
    Call call;
    AddPosition position;
    TimePoint end;
  };
  struct PendingSync {
    vector<string> records;
    VersionVector known;
    TimePoint doneAt;
  };
  struct PendingReply {
    std::size_t to = 0;
    TallyPush push;
    std::size_t afterSyncs = 0;
  };
  struct Node {
    std::size_t index = 0;
    string zone;
    Member self;
    OriginId firstOrigin;
    std::unique_ptr<TallyReplica> replica;
    vector<string> disk;
    std::deque<PendingSync> pending;
    std::size_t syncsStarted = 0, syncsDone = 0;
    vector<PendingReply> replies;
    vector<WaitingCaller> callers;
    std::map<string, std::int64_t> acknowledgedInThisLife;
    std::uint64_t life = 0;
    TimePoint upAgainAt;
    bool up = false, isNewcomer = false, cutOff = false;
    Ms sinceTick{0};
  };
  /// Something on its way between two processes.
  struct Packet {
    std::size_t from = 0, to = 0;
    std::uint64_t toLife = 0, fromLife = 0;
    TimePoint at;
    std::optional<TallyPush> push;
    std::optional<TallyPushReply> reply;
    bool isTimeout = false;  ///< comes to `to` itself: the push to `from` had no answer
    std::uint64_t heartbeat = 0;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  std::int64_t wallMs() const { return 1000000 + elapsed_.count(); }

  static TallyTiming timing(Mutation mutation) {
    Ms const retention = mutation == Mutation::forgetsIds ? Ms(8) : Ms(3600000);
    return {10, 80, Ms(250), Ms(500), Ms(2000), retention};
  }

  void renew(Node& node) {
    node.self.id = NodeId(++lastId_);
    node.self.name = "n" + std::to_string(node.index);
    node.self.zone = node.zone;
  }

  void start(Node& node) {
    ++node.life;
    node.up = true;
    node.pending.clear();
    node.replies.clear();
    node.callers.clear();
    node.acknowledgedInThisLife.clear();
    node.syncsStarted = node.syncsDone = 0;
    node.replica = std::make_unique<TallyReplica>(node.self.id, timing(mutation_), TallyDurability{survive + 1, 2});
    for (string const& record : node.disk) node.replica->replay(record);
    if (!node.replica->hasOrigin()) {
      OriginId const fresh(random_());
      bool const reuses = mutation_ == Mutation::reusesOrigin && node.firstOrigin != OriginId();
      if (!reuses) node.firstOrigin = fresh;
      node.replica->beginOrigin(node.firstOrigin);
    }
    node.replica->setMembers(members_);
    flush(node);
  }

  void flush(Node& node) {
    PendingSync sync;
    sync.records = node.replica->takeRecords();
    sync.known = node.replica->known();
    sync.doneAt = now_ + Ms(5 + pick(10));
    if (!node.pending.empty()) sync.doneAt = std::max(sync.doneAt, node.pending.back().doneAt);
    ++node.syncsStarted;
    node.pending.push_back(std::move(sync));
  }

  void finishSyncs(Node& node) {
    while (!node.pending.empty() && node.pending.front().doneAt <= now_) {
      PendingSync const sync = std::move(node.pending.front());
      node.pending.pop_front();
      node.disk.insert(node.disk.end(), sync.records.begin(), sync.records.end());
      node.replica->noteSynced(sync.known);
      ++node.syncsDone;
      // Now and then the log is replaced by a snapshot of what was just synced.
      if (node.pending.empty() && pick(40) == 0) node.disk = node.replica->snapshot();
    }
    for (PendingReply const& reply : node.replies)
      if (reply.afterSyncs <= node.syncsDone) answer(node, reply);
    std::erase_if(node.replies, [&node](PendingReply const& reply) { return reply.afterSyncs <= node.syncsDone; });
  }

  void answer(Node& node, PendingReply const& pending) {
    Packet packet;
    packet.from = node.index;
    packet.to = pending.to;
    packet.reply = node.replica->replyTo(pending.push);
    transmit(std::move(packet));
  }

  void transmit(Packet packet) {
    packet.at = now_ + Ms(1 + pick(20));
    packet.toLife = nodes_[packet.to]->life;
    packet.fromLife = nodes_[packet.from]->life;
    packets_.push_back(std::move(packet));
  }

  void sendPushes(Node& node) {
    std::set<OriginId> awaited;
    for (WaitingCaller const& caller : node.callers) awaited.insert(caller.position.origin);
    node.replica->setAwaited(std::move(awaited));
    for (OutgoingPush& outgoing : node.replica->takePushes(now_)) {
      std::size_t const to = indexOf(outgoing.to.name);
      Packet timeout;
      timeout.from = to;
      timeout.to = node.index;
      timeout.isTimeout = true;
      timeout.toLife = node.life;
      timeout.at = now_ + pushLimit;
      awaiting_[{node.index, to}] = timeout.at;
      packets_.push_back(timeout);
      Packet packet;
      packet.from = node.index;
      packet.to = to;
      packet.push = std::move(outgoing.push);
      transmit(std::move(packet));
    }
  }

  static std::size_t indexOf(string const& name) { return std::stoul(name.substr(1)); }

  void deliver(Packet const& packet) {
    Node& node = *nodes_[packet.to];
    if (!node.up || node.life != packet.toLife) return;
    NodeId const peer = nodes_[packet.from]->self.id;
    if (packet.isTimeout) {
      auto const open = awaiting_.find({packet.to, packet.from});
      if (open == awaiting_.end() || open->second != packet.at) return;
      awaiting_.erase(open);
      node.replica->noteFailure(peer, now_);
      return;
    }
    if (blocked_[packet.from][packet.to]) return;
    if (packet.heartbeat) node.replica->noteHeartbeat(peer, packet.heartbeat, now_);
    if (packet.push) receivePush(node, packet);
    if (packet.reply) {
      awaiting_.erase({packet.to, packet.from});
      node.replica->receive(*packet.reply, now_);
    }
    answerCallers(node);
    sendPushes(node);
  }

  void receivePush(Node& node, Packet const& packet) {
    try {
      breakOnPurpose(node, packet);
      node.replica->receive(*packet.push);
    } catch (Error const&) {
      return;
    }
    flush(node);
    node.replies.push_back({packet.from, *packet.push, node.syncsStarted});
  }

  void breakOnPurpose(Node& node, Packet const& packet) {
    if (mutation_ == Mutation::appliesTwice && pick(20) == 0)
      for (AddBatch const& batch : packet.push->batches) TallyReplicaProbe::applyShifted(*node.replica, batch);
    if (mutation_ == Mutation::mergesByGreaterTotal && pick(4) == 0) {
      TallyTable const& theirs = nodes_[packet.from]->replica->table();
      if (sumOf(theirs) > sumOf(node.replica->table())) TallyReplicaProbe::replaceTable(*node.replica, theirs);
    }
  }

  static TallyTotal sumOf(TallyTable const& table) {
    TallyTotal sum = 0;
    for (auto const& [tally, total] : table.totals()) sum += total;
    return sum;
  }

  void advance() {
    now_ += step;
    elapsed_ += step;
    if (cutEndsAt_ && now_ >= *cutEndsAt_) heal();
    for (std::unique_ptr<Node> const& node : nodes_) live(*node);
    vector<Packet> due;
    for (Packet& packet : packets_)
      if (packet.at <= now_) due.push_back(std::move(packet));
    std::erase_if(packets_, [this](Packet const& packet) { return packet.at <= now_; });
    for (Packet const& packet : due) deliver(packet);
  }

  void live(Node& node) {
    if (!node.up) {
      if (now_ < node.upAgainAt) return;
      start(node);
    }
    bool const isAdmitted = finishing_ || (pick(100) == 0 && !node.cutOff);
    if (node.isNewcomer && isAdmitted) admit(node);
    finishSyncs(node);
    node.sinceTick += step;
    if (node.sinceTick >= replicaTick) {
      node.sinceTick = Ms(0);
      node.replica->tick(wallMs());
      sendPushes(node);
    }
    answerCallers(node);
    if (pick(20) == 0) heartbeat(node);
  }

  void heartbeat(Node& node) {
    for (std::unique_ptr<Node> const& peer : nodes_) {
      if (peer->index == node.index) continue;
      Packet packet;
      packet.from = node.index;
      packet.to = peer->index;
      packet.heartbeat = node.replica->digest();
      transmit(std::move(packet));
    }
  }

  /// Takes a wiped node in again, in the place of its earlier self.
  void admit(Node& node) {
    node.isNewcomer = false;
    for (Member& member : members_)
      if (member.name == node.self.name) member = node.self;
    for (std::unique_ptr<Node> const& other : nodes_)
      if (other->up) other->replica->setMembers(members_);
  }

  void call(Node& node) {
    bool const repeats = !calls_.empty() && pick(3) == 0;
    Call call;
    if (repeats) {
      std::size_t const recent = std::min<std::size_t>(calls_.size(), pick(4) ? 20 : calls_.size());
      call = calls_[calls_.size() - 1 - pick(recent)];
    } else {
      call.tally = "t" + std::to_string(pick(tallies));
      call.id = "id" + std::to_string(calls_.size());
      call.change = 1 + static_cast<std::int64_t>(pick(9));
    }
    if (!node.up || !node.replica->isServing()) return;
    if (!repeats) {
      calls_.push_back(call);
      sent_[call.tally] += call.change;
    }
    TallyAdd add{call.tally, addKeyOf(call.tally, call.id), call.change, wallMs()};
    TallyTable::Taken const taken = node.replica->add(std::move(add));
    if (taken.result == TallyTable::TakeResult::conflicting) return fail("a repeat counts as conflicting");
    flush(node);
    if (!taken.position)
      acknowledge(node, call);
    else
      node.callers.push_back({call, *taken.position, now_ + callLimit});
    answerCallers(node);
    sendPushes(node);
  }

  void answerCallers(Node& node) {
    for (WaitingCaller const& caller : node.callers)
      if (isAnswered(node, caller)) acknowledge(node, caller.call);
    std::erase_if(node.callers, [this, &node](WaitingCaller const& caller) {
      return isAnswered(node, caller) || now_ >= caller.end;
    });
  }

  bool isAnswered(Node const& node, WaitingCaller const& caller) const {
    if (mutation_ == Mutation::acknowledgesUnsynced) return true;
    // Whoever it can reach.
    bool const ownDisk = node.replica->isDurable(caller.position);
    if (mutation_ == Mutation::acknowledgesAlone) return isOnOwnDisk(node, caller.position);
    return ownDisk;
  }
  static bool isOnOwnDisk(Node const& node, AddPosition position) {
    for (PendingSync const& sync : node.pending)
      if (numberIn(sync.known, position.origin) >= position.sequence) return false;
    return true;
  }

  void acknowledge(Node& node, Call const& call) {
    acknowledged_.push_back({call, now_, node.self.id, cutEndsAt_.has_value() || now_ < freshlyHealedUntil_});
    node.acknowledgedInThisLife[call.id + "/" + call.tally] = call.change;
    acknowledgedNow_ = node.index;
  }

  /// Right after an acknowledgement its node loses its disk, and maybe others do.
  void wipeAfterAcknowledgement() {
    if (!acknowledgedNow_) return;
    std::size_t node = *acknowledgedNow_;
    acknowledgedNow_.reset();
    for (; wipesAfterAcknowledgement_; --wipesAfterAcknowledgement_) {
      wipe(*nodes_[node]);
      node = pick(nodes_.size());
    }
  }

  void read(Node& node) {
    bool const answers = mutation_ == Mutation::readsBeforeCatchUp || (node.up && node.replica->isServing());
    if (!node.up || !answers) return;
    std::map<string, std::map<string, std::int64_t>> owed;
    for (auto const& [id, change] : node.acknowledgedInThisLife)
      owed[id.substr(id.find('/') + 1)][id.substr(0, id.find('/'))] = change;
    // A machine that was wiped starts with a whole life of its own, and still owes what all had before.
    bool const isInReach = !cutEndsAt_ && now_ - lastCutAt_ > mergeTime;
    if (isInReach)
      for (Acknowledged const& added : acknowledged_)
        if (now_ - added.at > mergeTime && isOwed(added)) owed[added.call.tally][added.call.id] = added.call.change;
    for (auto const& [tally, adds] : owed) {
      TallyTotal least = 0;
      for (auto const& [id, change] : adds) least += change;
      if (node.replica->table().total(tally) < least) return fail("a read misses what was acknowledged");
    }
    for (auto const& [tally, most] : sent_)
      if (node.replica->table().total(tally) > most) return fail("a read tells more than was added");
  }

  bool isOwed(Acknowledged const& added) const { return !added.duringCut || !wiped_.contains(added.by); }

  void trouble() {
    switch (pick(6)) {
      case 0:
      case 1:
        if (!cutEndsAt_) cut();
        return;
      case 2:
        return stop(*nodes_[pick(nodes_.size())], false);
      case 3:
        return stop(*nodes_[pick(nodes_.size())], true);
      case 4:
        return wipe(*nodes_[pick(nodes_.size())]);
      default:
        wipesAfterAcknowledgement_ = 1 + pick(survive);
    }
  }

  /// Kills a process, or takes the power from its machine.
  void stop(Node& node, bool losesPower) {
    if (!node.up) return;
    // What a killed process wrote stays; without power any beginning of it does.
    std::size_t keep = losesPower ? pick(node.pending.size() + 1) : node.pending.size();
    for (PendingSync const& sync : node.pending) {
      if (!keep--) break;
      node.disk.insert(node.disk.end(), sync.records.begin(), sync.records.end());
    }
    node.up = false;
    node.upAgainAt = now_ + Ms(300 + pick(3000));
  }

  /// Loses a disk, if no more than may be lost at once are.
  void wipe(Node& node) {
    std::size_t lost = 1;
    for (std::unique_ptr<Node> const& other : nodes_) {
      bool const isLost = !other->up || other->isNewcomer || !other->replica->isServing() || lacksSomething(*other);
      if (isLost && other->index != node.index) ++lost;
    }
    if (lost > survive || !node.up) return;
    ++wipes_;
    stop(node, true);
    wiped_.insert(node.self.id);
    node.disk.clear();
    renew(node);
    node.isNewcomer = true;
  }

  /// One that was away, and hasn't caught up yet, counts as lost.
  bool lacksSomething(Node const& node) const {
    if (cutEndsAt_) return node.cutOff;
    for (std::unique_ptr<Node> const& other : nodes_)
      if (other->up && now_ - lastCutAt_ < mergeTime) return node.cutOff;
    return false;
  }

  void cut() {
    std::size_t const count = nodes_.size();
    string const zone = nodes_[pick(count)]->zone, second = nodes_[pick(count)]->zone;
    std::uint64_t const form = pick(4);
    for (std::size_t from = 0; from < count; ++from)
      for (std::size_t to = 0; to < count; ++to) {
        bool const fromOff = nodes_[from]->zone == zone, toOff = nodes_[to]->zone == zone;
        bool blocks = fromOff != toOff;                                  // a zone is off
        if (form == 1) blocks = (from < count / 2) != (to < count / 2);  // halves
        if (form == 2) blocks = fromOff && !toOff;                       // nothing comes out of it
        if (form == 3)
          blocks = (fromOff && nodes_[to]->zone == second) || (toOff && nodes_[from]->zone == second);  // a bridge
        blocked_[from][to] = from != to && blocks;
      }
    for (std::unique_ptr<Node> const& node : nodes_) node->cutOff = form == 1 || node->zone == zone;
    cutEndsAt_ = now_ + Ms(1000 + pick(pick(2) ? 25000 : 3000));
    lastCutAt_ = now_;
  }

  void heal() {
    if (!cutEndsAt_) return;
    cutEndsAt_.reset();
    for (vector<bool>& row : blocked_) row.assign(row.size(), false);
    for (std::unique_ptr<Node> const& node : nodes_) node->cutOff = false;
    freshlyHealedUntil_ = now_ + mergeTime;
    lastCutAt_ = now_;
  }

  void checkEnd() {
    for (std::unique_ptr<Node> const& node : nodes_) {
      if (!node->up) return fail("a node isn't up at the end");
      if (node->isNewcomer) return fail("a node wasn't admitted at the end");
      if (!node->replica->isServing()) return fail("a node doesn't serve at the end");
      if (node->replica->table().totals() != nodes_[firstMember()]->replica->table().totals())
        return fail("two nodes tell different totals at the end");
      TallyTable table = node->replica->table();
      for (Acknowledged const& added : acknowledged_) {
        if (!isOwed(added)) continue;
        TallyAdd const again{added.call.tally, addKeyOf(added.call.tally, added.call.id), added.call.change, wallMs()};
        if (table.take(OriginId(1), again).result == TallyTable::TakeResult::added)
          return fail("an acknowledged addition is missing at the end");
      }
      for (auto const& [tally, most] : sent_)
        if (node->replica->table().total(tally) > most) return fail("a total is too large at the end");
    }
  }

  std::size_t firstMember() const {
    std::size_t first = 0;
    while (nodes_[first]->isNewcomer) ++first;
    return first;
  }

  void fail(string const& what) {
    if (violation_.empty()) violation_ = what + " at " + std::to_string(elapsed_.count()) + " ms";
  }

  std::mt19937_64 random_;
  Mutation mutation_;
  Ms length_;
  vector<std::unique_ptr<Node>> nodes_;
  vector<Member> members_;
  vector<vector<bool>> blocked_;
  vector<Packet> packets_;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> awaiting_;
  vector<Call> calls_;
  std::map<string, TallyTotal> sent_;
  vector<Acknowledged> acknowledged_;
  std::set<NodeId> wiped_;
  std::optional<TimePoint> cutEndsAt_;
  TimePoint now_ = TimePoint(Ms(1000000)), lastCutAt_, freshlyHealedUntil_;
  Ms elapsed_{0};
  bool finishing_ = false;  ///< no more troubles; all come back
  std::uint64_t lastId_ = 0;
  std::size_t wipesAfterAcknowledgement_ = 0, wipes_ = 0;
  std::optional<std::size_t> acknowledgedNow_;  ///< the node that acknowledged in this step
  Violation violation_;
};

}  // namespace sim
}  // namespace tealshelf
