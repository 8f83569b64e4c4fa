#pragma once
#include "tenants/quota_shard.hpp"

#include <random>

namespace tealshelf::sim {

/// Shards of a tenant's limit on a virtual clock, with worst-case edges: they ask every running node for credits,
/// including isolated and removed members, and spend each credit at any time of its life.
///
/// Members are killed, restarted, isolated, and replaced while they may still be running; their clocks run at different
/// rates, and they receive memberships and configurations late.
class QuotaFleet {
 public:
  struct Faults {
    bool skipsTakeoverDelay = false;       ///< injected fault: a share that another node may still use is used at once
    bool restartsWithFullBuckets = false;  ///< injected fault: a process starts with full buckets
    bool ignoresLease = false;             ///< injected fault: a shard goes on granting without a majority
    bool limitIsLowered = false;           ///< the rate is halved midway, and restored later
  };
  static constexpr Ms tick{20}, length{60000};

  QuotaFleet(std::uint64_t seed, Faults faults) : random_(seed), faults_(faults) {
    bounds_.quotaWindow = Ms(5000);
    bounds_.inTouch = Ms(4000);
    bounds_.quotaOverrun = 0.1;
    bounds_.quotaMargin = 20;
    rate_ = pick(2) ? 200 : 3;
    burst_ = pick(2) ? rate_ : 0;
    hasCrashLoops_ = pick(4) == 0;
    configure(rate_);
    std::size_t const members = 3 + pick(6);
    for (std::size_t i = 0; i < members; ++i) addNode();
    membership_.number = MembershipNumber(1);
    for (Node const& node : nodes_) membership_.members.push_back(node.self);
    membership_.formerMembers = membership_.members;
    for (Node& node : nodes_) install(node);
  }

  /// Runs the simulation; returns the largest share of the bound that a window used, 1 being the bound.
  double run() {
    for (Ms now(0); now < length; now += tick) {
      now_ = TimePoint(Ms(1000000) + now);
      if (faults_.limitIsLowered && now == length / 3) configure(rate_ / 2);
      if (faults_.limitIsLowered && now == 2 * length / 3) configure(rate_);
      for (Node& node : nodes_) advance(node);
      if (pick(hasCrashLoops_ ? 8 : 40) == 0) injectFault();
      replaceUnreachable();
      // Edges pause at times, so that buckets fill.
      bool const idle = (now / Ms(4000)) % 4 == 3;
      if (!idle) requestCredits();
    }
    return largestShare();
  }
  std::size_t spends() const { return spends_.size(); }

 private:
  struct Node {
    Member self;
    double clockRate = 1;
    bool up = true, cut = false;
    TimePoint restartsAt, healsAt, lastContact;
    std::unique_ptr<QuotaShard> shard;
    Membership known;
    std::uint64_t configurationSeen = 0;
  };

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }
  /// A time by the node's own clock.
  TimePoint localTime(Node const& node, TimePoint at) const {
    return TimePoint(std::chrono::duration_cast<Clock::duration>(node.clockRate * at.time_since_epoch()));
  }

  void configure(double rate) {
    std::shared_ptr<Configuration> const next = std::make_shared<Configuration>();
    next->version = ++version_;
    next->tenants.push_back(Tenant{"t", std::nullopt, rate, burst_});
    next->tenantsByName["t"] = 0;
    configuration_ = next;
  }

  void addNode() {
    Node node;
    node.self.id = NodeId(nodes_.size() + 1);
    node.self.name = "c-" + std::to_string(nodes_.size());
    node.clockRate = 0.995 + 0.01 * static_cast<double>(pick(100)) / 100;
    nodes_.push_back(std::move(node));
    start(nodes_.back());
  }

  void start(Node& node) {
    ShardTiming timing = ShardTiming::of(bounds_);
    if (faults_.skipsTakeoverDelay) timing.takeoverDelay = Ms(0);
    node.shard = std::make_unique<QuotaShard>(bounds_, timing);
    node.configurationSeen = 0;
    node.up = true;
    // A restarted node reads the membership from its disk.
    if (node.known.exists()) node.shard->setMembership(node.known, node.self, localTime(node, now_));
    // A process that has counted for long gives a new subject a full bucket.
    if (faults_.restartsWithFullBuckets) {
      node.shard->setConfiguration(std::make_shared<Configuration>(), localTime(node, now_) - 3 * bounds_.quotaWindow);
    }
  }

  void install(Node& node) {
    node.known = membership_;
    node.shard->setMembership(membership_, node.self, localTime(node, now_));
  }

  void advance(Node& node) {
    if (!node.up && now_ >= node.restartsAt) start(node);
    if (node.cut && now_ >= node.healsAt) node.cut = false;
    if (!node.up || node.cut) return;
    node.lastContact = now_;
    bool const learns = pick(5) == 0;
    if (learns && node.known.number != membership_.number) install(node);
    if (learns && node.configurationSeen != version_) {
      node.configurationSeen = version_;
      node.shard->setConfiguration(configuration_, localTime(node, now_));
    }
  }

  bool isMember(Node const& node) const {
    Member const* const member = membership_.find(node.self.id);
    return member && member->incarnation == node.self.incarnation;
  }

  /// Kills or isolates a node, at times for longer than it takes to replace it.
  void injectFault() {
    Node& node = nodes_[pick(nodes_.size())];
    Ms const duration(hasCrashLoops_ ? 40 + pick(100) : 200 + pick(20000));
    if (hasCrashLoops_ || pick(2)) {
      node.up = false;
      node.restartsAt = now_ + duration;
    } else {
      node.cut = true;
      node.healsAt = now_ + duration;
    }
  }

  void replaceUnreachable() {
    constexpr Ms deadAfter{4000};
    constexpr std::size_t maxNodes = 40;
    for (std::size_t i = 0; i < nodes_.size() && nodes_.size() < maxNodes; ++i) {
      bool const silent = isMember(nodes_[i]) && now_ - nodes_[i].lastContact > deadAfter;
      if (!silent || nodes_[i].lastContact == TimePoint()) continue;
      NodeId const replaced = nodes_[i].self.id;
      Membership next;
      next.number = MembershipNumber(membership_.number.value + 1);
      next.formerMembers = membership_.members;
      next.members = membership_.members;
      if (pick(2) && next.members.size() > 3) {
        std::erase_if(next.members, [replaced](Member const& member) { return member.id == replaced; });
      } else {
        addNode();
        for (Member& member : next.members)
          if (member.id == replaced) member = nodes_.back().self;
      }
      membership_ = next;
      if (isMember(nodes_.back())) install(nodes_.back());
      return;
    }
  }

  void requestCredits() {
    int const asks = rate_ > 100 ? 12 : 2;
    for (int i = 0; i < asks; ++i)
      for (Node& node : nodes_) {
        if (!node.up) continue;
        TimePoint const contact = faults_.ignoresLease ? now_ : node.lastContact;
        TakeCreditReply const reply = node.shard->take("t", localTime(node, contact), localTime(node, now_));
        if (reply.verdict != CreditVerdict::granted) continue;
        Ms const delay(static_cast<std::int64_t>(pick(static_cast<std::uint64_t>(creditLife(bounds_).count()))));
        spends_.push_back(now_ + delay);
      }
  }

  double largestShare() {
    std::sort(spends_.begin(), spends_.end());
    double const seconds = std::chrono::duration<double>(bounds_.quotaWindow).count();
    double const bound = (rate_ * seconds + burst_) * (1 + bounds_.quotaOverrun) + bounds_.quotaMargin;
    std::size_t first = 0, most = 0;
    for (std::size_t last = 0; last < spends_.size(); ++last) {
      while (spends_[last] - spends_[first] > bounds_.quotaWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / bound;
  }

  std::mt19937_64 random_;
  Faults faults_;
  Bounds bounds_;
  double rate_ = 0, burst_ = 0;
  bool hasCrashLoops_ = false;  ///< members crash repeatedly and restart within moments
  std::uint64_t version_ = 0;
  std::shared_ptr<Configuration const> configuration_;
  Membership membership_;
  std::deque<Node> nodes_;
  TimePoint now_ = TimePoint(Ms(1000000));
  vector<TimePoint> spends_;
};

}  // namespace tealshelf::sim
