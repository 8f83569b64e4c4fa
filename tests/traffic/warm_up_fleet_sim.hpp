#pragma once
#include "fleet/evacuation.hpp"
#include "tenants/warm_up_allowance.hpp"
#include "traffic/warm_up_rule.hpp"

#include <random>

namespace tealshelf::sim {

/// Simulates, on a virtual clock, all nodes of a large fleet, their requests to one worker that goes cold, and the
/// shards that grant credits.
///
/// Nodes get updates late, are partitioned, restart, and use each credit and health answer as late as allowed. Shards
/// crash, restart and are partitioned. The worker starts cold, or goes cold in an evacuated zone just before the
/// evacuation ends.
class WarmUpFleet {
 public:
  struct Faults {
    bool sendsUncounted = false;       ///< mutation: a worker known to be cold gets requests without credits
    bool trustsOldKnowledge = false;   ///< mutation: a partitioned node relies on outdated knowledge
    bool forgetsEvacuations = false;   ///< mutation: a worker counts as warm until it reports otherwise
    bool keepsCreditsForever = false;  ///< mutation: credits don't expire
    bool startsShardsFull = false;     ///< mutation: a shard starts with all its credits available
  };
  static constexpr Ms tick{5}, length{16000}, heartbeatPeriod{1200}, coldFor{3000};
  static constexpr std::size_t nodeCount = 320;

  WarmUpFleet(std::uint64_t seed, Faults faults) : random_(seed), faults_(faults) {
    bounds_.inTouch = Ms(4000);
    bounds_.warmUpOverrun = 1.5;
    bounds_.warmUpMargin = 5;
    service_.warmUp = coldFor;
    service_.warmUpPerSecond = 12;
    startsCold_ = pick(2) == 0;
    hasCrashLoops_ = pick(4) == 0;
    cutShare_ = std::array{0.0, 0.3, 1.0}[pick(3)];
    coldAt_ = startsCold_ ? at(5000) : at(8000);
    addShards(3 + pick(6));
    planUpdates();
    for (std::size_t i = 0; i < nodeCount; ++i) nodes_.push_back(makeNode());
  }

  /// Runs to the end and returns the largest share of the bound that a window used; above 1 the bound is violated.
  double run() {
    for (now_ = at(0); now_ < at(length.count()); now_ += tick) {
      for (Shard& shard : shards_) advance(shard);
      if (pick(hasCrashLoops_ ? 4 : 100) == 0) injectFault();
      // All nodes prefer this worker: it looks idle, and refused requests are retried at other nodes.
      for (std::uint64_t tries = pick(5); tries > 0; --tries) request(nodes_[pick(nodeCount)]);
    }
    return largestShare();
  }
  std::size_t arrivals() const { return arrivals_.size(); }

 private:
  /// A state that the control plane publishes, from a time on.
  struct Update {
    TimePoint at;
    Worker worker;
    std::optional<Evacuation> evacuation;
  };
  struct Node {
    TimePoint cutFrom = TimePoint::max(), cutUntil = TimePoint::max();
    TimePoint restartedAt, informedAt;  ///< between these times it has no knowledge
    Ms delay{0};                        ///< delay of updates
  };
  struct Shard {
    Member self;
    bool up = true, cut = false;
    TimePoint upAgainAt, healsAt, lastContact;
    std::unique_ptr<CreditShard> counts;
  };

  static TimePoint at(std::int64_t milliseconds) { return TimePoint(Ms(1000000 + milliseconds)); }
  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  Ms pickMs(std::int64_t below) { return Ms(static_cast<std::int64_t>(pick(static_cast<std::uint64_t>(below)))); }
  bool isCold(TimePoint time) const { return time >= coldAt_ && time < coldAt_ + coldFor; }

  void addShards(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      shards_.emplace_back();
      shards_.back().self.id = NodeId(i + 1);
      membership_.members.push_back(shards_.back().self);
    }
    membership_.number = MembershipNumber(1);
    membership_.formerMembers = membership_.members;
    for (Shard& shard : shards_) start(shard);
    // They have been counting for a long time.
    for (Shard& shard : shards_) shard.counts->setLimits({}, at(-60000));
  }

  void start(Shard& shard) {
    shard.counts = std::make_unique<CreditShard>(warmUpTiming(bounds_));
    shard.counts->setMembership(membership_, shard.self, now_);
    shard.up = true;
    if (faults_.startsShardsFull) shard.counts->setLimits({}, now_ - 10 * warmUpWindow);
  }

  /// Plans the evacuation and the heartbeats; the registrar learns of changes of the zone with a delay.
  void planUpdates() {
    Update update{at(-1000), Worker(), std::nullopt};
    if (!startsCold_) {
      updates_.push_back(update);
      update.evacuation = Evacuation{"z", true, 1};
      update.at = at(4000);
      updates_.push_back(update);
    }
    TimePoint const restoredAt = coldAt_ + Ms(20) + pickMs(100);
    TimePoint const registrarKnowsAt = restoredAt + pickMs(100);
    bool isRestored = startsCold_;
    TimePoint heartbeatAt = startsCold_ ? coldAt_ + Ms(1) : at(4000) + pickMs(heartbeatPeriod.count());
    while (heartbeatAt < at(length.count())) {
      if (!isRestored && restoredAt < heartbeatAt) {
        isRestored = true;
        update.at = restoredAt;
        update.evacuation = Evacuation{"z", false, 2};
        updates_.push_back(update);
        continue;
      }
      update.at = heartbeatAt;
      update.worker.warmingUp = isCold(heartbeatAt);
      if (!startsCold_) update.worker.evacuationRevision = heartbeatAt >= registrarKnowsAt ? 2 : 1;
      updates_.push_back(update);
      heartbeatAt += heartbeatPeriod;
    }
  }

  Node makeNode() {
    Node node;
    node.delay = pickMs(200);
    if (static_cast<double>(pick(100)) < 100 * cutShare_) {
      node.cutFrom = at(2000) + pickMs(1900);
      node.cutUntil = node.cutFrom + Ms(4000) + pickMs(8000);
    } else if (pick(10) == 0) {
      node.restartedAt = at(0) + pickMs(length.count());
      node.informedAt = node.restartedAt + Ms(50) + pickMs(200);
    }
    return node;
  }

  bool isCut(Node const& node, TimePoint time) const { return time >= node.cutFrom && time < node.cutUntil; }
  /// The last update that a node has received, or null.
  Update const* lastUpdateOf(Node const& node) const {
    if (now_ >= node.restartedAt && now_ < node.informedAt) return nullptr;
    Update const* last = nullptr;
    for (Update const& update : updates_) {
      bool const isMissed = isCut(node, update.at + node.delay) && now_ < node.cutUntil + node.delay;
      if (update.at + node.delay <= now_ && !isMissed) last = &update;
    }
    return last;
  }
  bool isRecent(Node const& node) const {
    // Corresponds to FleetView::isFresh().
    bool const isOld = now_ - node.cutFrom > bounds_.inTouch / 3 && now_ < node.cutUntil + node.delay;
    return !isOld;
  }

  void request(Node const& node) {
    Update const* const update = lastUpdateOf(node);
    if (!update || (update->evacuation && update->evacuation->isActive)) return;
    bool const forgets = faults_.forgetsEvacuations || !update->evacuation;
    bool const mayBeCold = mayBeWarmingUp(update->worker, forgets ? nullptr : &*update->evacuation);
    WarmUpStep step = warmUpStep({true, mayBeCold, isRecent(node)});
    if (step == WarmUpStep::takeCredit && faults_.sendsUncounted) step = WarmUpStep::send;
    if (step == WarmUpStep::probe && faults_.trustsOldKnowledge) step = WarmUpStep::send;
    if (step == WarmUpStep::send) arrive(now_ + pickMs(10));
    if (step == WarmUpStep::probe && !isCold(now_)) arrive(now_ + pickMs(warmUpProbeTrust(bounds_).count()));
    if (step == WarmUpStep::takeCredit) takeCredit();
  }

  void takeCredit() {
    for (Shard& shard : shards_) {
      if (!shard.up) continue;
      if (shard.counts->take("i-1", shard.lastContact, now_).verdict != CreditVerdict::granted) continue;
      Ms const kept = pickMs(warmUpCreditLife().count());
      // A credit that doesn't expire is kept until the worker is nearly warm.
      arrive(faults_.keepsCreditsForever ? coldAt_ + coldFor - tick : now_ + kept);
      return;
    }
  }
  void arrive(TimePoint time) {
    if (isCold(time)) arrivals_.push_back(time);
  }

  void advance(Shard& shard) {
    if (!shard.up && now_ >= shard.upAgainAt) start(shard);
    if (shard.cut && now_ >= shard.healsAt) shard.cut = false;
    if (!shard.up || shard.cut) return;
    shard.lastContact = now_;
    // The registry lists the worker as cold, or as not heard from since its zone's evacuation ended.
    if (pick(4)) return;
    std::map<string, RateAllowance> limits;
    if (isCold(now_)) limits["i-1"] = warmUpAllowance(service_, bounds_);
    shard.counts->setLimits(limits, now_);
  }

  void injectFault() {
    Shard& shard = shards_[pick(shards_.size())];
    Ms const duration = Ms(20) + pickMs(hasCrashLoops_ ? 40 : 2000);
    if (hasCrashLoops_ || pick(2)) {
      shard.up = false;
      shard.upAgainAt = now_ + duration;
    } else {
      shard.cut = true;
      shard.healsAt = now_ + duration;
    }
  }

  double largestShare() {
    std::sort(arrivals_.begin(), arrivals_.end());
    std::size_t first = 0, most = 0;
    for (std::size_t last = 0; last < arrivals_.size(); ++last) {
      while (arrivals_[last] - arrivals_[first] > warmUpWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / warmUpBound(service_, bounds_);
  }

  std::mt19937_64 random_;
  Faults faults_;
  Bounds bounds_;
  ServiceSettings service_;
  bool startsCold_ = false;
  bool hasCrashLoops_ = false;  ///< shards crash again and again and restart soon
  double cutShare_ = 0;
  TimePoint coldAt_, now_ = TimePoint(Ms(1000000));
  Membership membership_;
  std::deque<Shard> shards_;
  vector<Update> updates_;
  vector<Node> nodes_;
  vector<TimePoint> arrivals_;
};

}  // namespace tealshelf::sim
