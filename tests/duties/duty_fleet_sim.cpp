#include "tests/duties/duty_fleet_sim.hpp"

namespace tealshelf::sim {

namespace {
string const duties = "duties";
string const holderKey = "holder";
constexpr std::int64_t startMs = 1000000000000;
/// Turns between two actions of a kind.
constexpr std::uint64_t claimPeriod = 60, closePeriod = 50, callPeriod = 20, forwardPeriod = 50, reportPeriod = 100;
constexpr std::uint64_t turnsWithFaults = 9000, turnsAfterHealing = 6000;
}  // namespace

DutyFleet::DutyFleet(std::uint64_t seed, Mutation mutation)
    : mutation_(mutation), cluster_(seed, nodeCount), ledger_({window, delay, window / 10}), holders_(nodeCount) {
  for (std::size_t edge = 0; edge < edgeCount; ++edge) {
    edges_.emplace_back();
    edges_.back().key = {"edge-" + std::to_string(edge), edge + 1};
  }
}

std::int64_t DutyFleet::clusterTimeMs() const {
  return startMs + std::chrono::duration_cast<Ms>(cluster_.now().time_since_epoch()).count();
}

bool DutyFleet::isRunning(std::size_t node) {
  Cluster::Node const& state = cluster_.nodes()[node];
  return state.up && !state.frozen;
}

void DutyFleet::note(string const& line) {
  trace_.push_back(std::to_string(clusterTimeMs() - startMs) + " " + line);
}

Values DutyFleet::values(std::size_t node) {
  return cluster_.nodes()[node].consensus->lastKnownValues(duties).value_or(Values());
}

TimePoint DutyFleet::leaseClock(std::size_t node) {
  return cluster_.now() + (mutation_ == Mutation::leaseByWallClock ? holders_[node].clockStep : Ms(0));
}

bool DutyFleet::mayAct(std::size_t node) {
  DutyLease const& lease = holders_[node].lease;
  if (mutation_ == Mutation::actsAfterLease) return lease.isClaimedUnder(lease.epoch()) && lease.fence() != 0;
  return lease.mayAct(leaseClock(node));
}

string DutyFleet::run() {
  for (turn_ = 0; turn_ < turnsWithFaults && violation_.empty(); ++turn_) {
    if (cluster_.dice(250) == 0) injectFault();
    advance();
  }
  faultsEnded_ = true;
  cluster_.heal();
  for (; turn_ < turnsWithFaults + turnsAfterHealing && violation_.empty(); ++turn_) advance();
  if (violation_.empty()) checkEnd();
  return violation_.empty() ? cluster_.violation : violation_;
}

void DutyFleet::advance() {
  cluster_.step();
  while (!events_.empty() && events_.begin()->first <= cluster_.now()) {
    std::function<void()> const event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  for (std::size_t node = 0; node < nodeCount; ++node) {
    if (isRunning(node))
      stepHolder(node);
    else
      holders_[node].clockStep -= step;
  }
  for (Edge& edge : edges_) stepEdge(edge);
}

void DutyFleet::injectFault() {
  std::size_t const node = cluster_.dice(nodeCount);
  Cluster::Node& state = cluster_.nodes()[node];
  switch (cluster_.dice(8)) {
    case 0:
      if (state.up) cluster_.kill(node);
      break;
    case 1:
      if (state.up) cluster_.losePower(node);
      break;
    case 2:
      state.frozen = state.frozen || state.up;
      break;
    case 3:
      for (std::size_t other = 0; other < nodeCount; ++other)
        if (other != node) cluster_.cuts.insert({{node, other}, {other, node}});
      break;
    case 4:
      cluster_.cuts.clear();
      break;
    case 5:
      holders_[node].clockStep = Ms(cluster_.dice(8000)) - Ms(4000);
      break;
    default:
      for (std::size_t other = 0; other < nodeCount; ++other) {
        if (!cluster_.nodes()[other].up) cluster_.start(other);
        if (cluster_.nodes()[other].frozen) unfreeze(other);
      }
  }
}

/// A process that is resumed may make a call before it reads the messages that arrived meanwhile.
void DutyFleet::unfreeze(std::size_t node) {
  callPlatform(node);
  cluster_.unfreeze(node);
}

void DutyFleet::stepHolder(std::size_t node) {
  Cluster::Node& state = cluster_.nodes()[node];
  Holder& holder = holders_[node];
  if (holder.life != state.processNumber) {
    Ms const clockStep = holder.clockStep;
    holder = Holder();
    holder.life = state.processNumber;
    holder.clockStep = clockStep;
    state.consensus->addKeyspace(duties);
  }
  bool const owns = state.consensus->owns(duties);
  if (!owns && mutation_ != Mutation::actsAfterLease) holder.lease.drop();
  std::uint64_t const turn = turn_ + node;
  if (owns && turn % claimPeriod == 0 && !holder.isAsking) {
    bool const isClaimed = holder.lease.isClaimedUnder(state.consensus->epochOf(duties));
    isClaimed ? confirm(node) : claim(node);
  }
  if (turn % closePeriod == 0) closeWindow(node);
  if (turn % callPeriod == 0) callPlatform(node);
  if (turn % closePeriod == 1) removeAcceptedReports(node);
  if (turn % forwardPeriod == 0) forward(node);
}

void DutyFleet::claim(std::size_t node) {
  Holder& holder = holders_[node];
  Consensus const& consensus = *cluster_.nodes()[node].consensus;
  holder.lease.drop();
  Epoch const epoch = consensus.epochOf(duties);
  Values const& known = consensus.committedValues(duties);
  auto const former = known.find(holderKey);
  bool const hadPredecessor = former != known.end();
  DutyRecord next;
  if (hadPredecessor) next = deserialize<DutyRecord>(former->second);
  holder.previousFence = next.fence;
  if (mutation_ != Mutation::reusesFence || !hadPredecessor) ++next.fence;
  next.holderName = std::to_string(node);
  holder.isAsking = true;
  vector<KeyChange> const changes(1, KeyChange{holderKey, serialize(next), false});
  cluster_.begin(
      node, [&](Consensus& proposer) { return proposer.propose(duties, changes, cluster_.now(), epoch); },
      [this, node, epoch, fence = next.fence, hadPredecessor](bool isCommitted) {
        holders_[node].isAsking = false;
        if (!isCommitted) return;
        bool const waits = hadPredecessor && mutation_ != Mutation::skipsWait;
        holders_[node].lease.noteClaimed(epoch, fence, waits, leaseClock(node));
        note("node " + std::to_string(node) + " claims under fence " + std::to_string(fence));
      });
}

void DutyFleet::confirm(std::size_t node) {
  Holder& holder = holders_[node];
  Epoch const epoch = holder.lease.epoch();
  TimePoint const askedAt = leaseClock(node);
  holder.isAsking = true;
  cluster_.begin(
      node, [this](Consensus& owner) { return owner.confirmOwnership(duties, cluster_.now()); },
      [this, node, epoch, askedAt](bool isConfirmed) {
        holders_[node].isAsking = false;
        if (isConfirmed) holders_[node].lease.noteConfirmed(epoch, askedAt);
      });
}

void DutyFleet::closeWindow(std::size_t node) {
  Holder& holder = holders_[node];
  if (!mayAct(node) || holder.isWriting) return;
  std::optional<WindowNumber> const next = UsageLedger::nextToClose(values(node), holder.table);
  if (!next) return;
  std::set<string> expected;
  for (Edge const& edge : edges_) expected.insert(edge.key.node);
  vector<string> const unfinished = holder.table.unfinished(*next, expected, cluster_.now() - delay - window);
  if (!ledger_.mayClose(*next, clusterTimeMs(), unfinished)) return;
  vector<KeyChange> const changes = UsageLedger::changesToClose(*next, holder.table.totals(*next));
  Epoch const epoch = holder.lease.epoch();
  holder.isWriting = true;
  cluster_.begin(
      node, [&](Consensus& proposer) { return proposer.propose(duties, changes, cluster_.now(), epoch); },
      [this, node](bool) { holders_[node].isWriting = false; });
}

void DutyFleet::callPlatform(std::size_t node) {
  Holder& holder = holders_[node];
  if (!mayAct(node) || holder.isCalling) return;
  Call call;
  call.node = node;
  call.life = holder.life;
  call.fence = holder.lease.fence();
  call.sentAt = cluster_.now();
  vector<UsageRecord> unsent = UsageLedger::unsent(values(node));
  std::erase_if(unsent, [&holder](UsageRecord const& record) { return holder.taken.contains(record.window); });
  if (!unsent.empty()) {
    call.subject = "usage";
    call.window = unsent.front().window;
    call.body = unsent.front().body;
    if (mutation_ == Mutation::recomputesReport) call.body = usageBody(*call.window, holder.table.totals(*call.window));
  } else {
    call.subject = "zone-" + std::to_string(cluster_.dice(2));
    call.body = std::to_string(cluster_.dice(40));
    if (mutation_ == Mutation::previousFence) call.fence = holder.previousFence;
  }
  if (mutation_ == Mutation::callsThroughOtherNode && cluster_.dice(4) == 0) call.node = (node + 1) % nodeCount;
  holder.isCalling = true;
  send(std::move(call));
}

void DutyFleet::send(Call call) {
  // A real process may be suspended for longer than the lease between checking the lease and sending the call; here a
  // call is sent at once, so a lower fence is a violation.
  if (call.fence < highestSentFence_)
    fail("node " + std::to_string(call.node) + " calls under fence " + std::to_string(call.fence) + " after fence " +
         std::to_string(highestSentFence_) + " was used");
  highestSentFence_ = std::max(highestSentFence_, call.fence);
  Ms arrivesIn(1 + cluster_.dice(40));
  if (!faultsEnded_ && cluster_.dice(12) == 0) arrivesIn = Ms(cluster_.dice(9000));
  bool const isLost = !faultsEnded_ && cluster_.dice(10) == 0;
  events_.emplace(cluster_.now() + arrivesIn, [this, call, isLost] {
    if (isLost)
      answer(call, false);
    else
      arrive(call);
  });
}

void DutyFleet::arrive(Call const& call) {
  std::uint64_t& highest = highestFence_[call.subject];
  bool const isSuperseded = call.fence < highest;
  highest = std::max(highest, call.fence);
  if (isSuperseded)
    ++superseded_;
  else
    checkAccepted(call);
  bool const answerIsLost = !faultsEnded_ && cluster_.dice(6) == 0;
  answer(call, !isSuperseded && !answerIsLost);
}

void DutyFleet::answer(Call const& call, bool isTaken) {
  Holder& holder = holders_[call.node];
  if (holder.life != call.life) return;
  holder.isCalling = false;
  if (isTaken && call.window) holder.taken.insert(*call.window);
}

void DutyFleet::checkAccepted(Call const& call) {
  auto const [holder, isNew] = holderByFence_.emplace(call.fence, call.node);
  if (holder->second != call.node) fail("fence " + std::to_string(call.fence) + " is used by two nodes");
  vector<Accepted>& earlier = accepted_[call.subject];
  bool const wasDelayed = cluster_.now() - call.sentAt >= lease;
  std::size_t callsByOthers = 0;
  for (auto before = earlier.rbegin(); before != earlier.rend() && cluster_.now() - before->at < lease; ++before) {
    if (before->node != call.node) ++callsByOthers;
    if (before->node == call.node && callsByOthers)
      fail(call.subject + ": a former holder acted again within a lease after another one");
  }
  if (!wasDelayed) earlier.push_back({call.node, call.fence, cluster_.now()});
  if (call.window) checkReport(call);
}

void DutyFleet::checkReport(Call const& call) {
  auto const [known, isNew] = reports_.emplace(*call.window, call.body);
  string const name = "window " + std::to_string(call.window->value);
  if (known->second != call.body) fail(name + " is reported as " + known->second + " and as " + call.body);
  std::map<string, std::uint64_t> const& counts = countedRequests_[*call.window];
  // Counts of nodes that were partitioned for long may be missing, but no request may be counted twice.
  for (std::size_t tenant = 0; tenant < tenantCount; ++tenant) {
    string const quotedTenant = "\"t" + std::to_string(tenant) + "\":";
    std::size_t const at = call.body.find(quotedTenant);
    if (at == string::npos) continue;
    std::uint64_t const reported = std::strtoull(call.body.c_str() + at + quotedTenant.size(), nullptr, 10);
    auto const counted = counts.find("t" + std::to_string(tenant));
    if (reported > (counted == counts.end() ? 0 : counted->second)) fail(name + " counts requests twice");
  }
}

void DutyFleet::removeAcceptedReports(std::size_t node) {
  Holder& holder = holders_[node];
  if (!mayAct(node) || holder.isWriting || holder.taken.empty()) return;
  vector<KeyChange> changes;
  for (WindowNumber const window : holder.taken) changes.push_back(UsageLedger::changeToRemove(window));
  Epoch const epoch = holder.lease.epoch();
  holder.isWriting = true;
  cluster_.begin(
      node, [&](Consensus& proposer) { return proposer.propose(duties, changes, cluster_.now(), epoch); },
      [this, node](bool isCommitted) {
        holders_[node].isWriting = false;
        if (isCommitted) holders_[node].taken.clear();
      });
}

void DutyFleet::stepEdge(Edge& edge) {
  std::uint64_t const turn = turn_ + edge.key.incarnation * 7;
  WindowNumber const window = ledger_.windowAt(clusterTimeMs());
  if (cluster_.dice(10) == 0) {
    string const tenant = "t" + std::to_string(cluster_.dice(tenantCount));
    edge.table.count(edge.key, window, tenant);
    ++countedRequests_[window][tenant];
  }
  if (turn % reportPeriod) return;
  edge.table.markFinal(edge.key, ledger_.finalAt(clusterTimeMs()), cluster_.now());
  std::size_t const to = cluster_.dice(nodeCount);
  if (!isRunning(to)) return;
  vector<NodeUsage> const changed = edge.table.changedSince(0);
  std::uint64_t const repeats = 1 + cluster_.dice(2);
  for (std::uint64_t repeat = 0; repeat < repeats; ++repeat)
    for (NodeUsage usage : changed) {
      if (mutation_ == Mutation::countsRepeatsTwice) usage.incarnation += 1000 * (turn_ % 3);
      holders_[to].table.merge(usage, cluster_.now());
    }
  std::optional<UsageProgress> const progress = UsageLedger::progressIn(values(to));
  if (progress) edge.table.forget(progress->closedThrough, TimePoint());
}

void DutyFleet::forward(std::size_t node) {
  Consensus const& consensus = *cluster_.nodes()[node].consensus;
  std::optional<UsageProgress> const progress = UsageLedger::progressIn(values(node));
  if (progress) holders_[node].table.forget(progress->closedThrough, cluster_.now() - 2 * (delay + window));
  Member const* const owner = consensus.preferredOwner(duties, cluster_.now());
  if (!owner) return;
  for (std::size_t other = 0; other < nodeCount; ++other) {
    bool const isOwner = cluster_.nodes()[other].self.id == owner->id && other != node;
    if (!isOwner || !isRunning(other) || cluster_.cuts.count({node, other})) continue;
    for (NodeUsage const& usage : holders_[node].table.changedSince(0))
      holders_[other].table.merge(usage, cluster_.now());
  }
}

/// Long after all faults ended, all windows but the last few are reported, and those since then in full.
void DutyFleet::checkEnd() {
  WindowNumber const last(ledger_.windowAt(clusterTimeMs() - delay.count()).value - 1);
  WindowNumber const healedSince(
      ledger_.windowAt(clusterTimeMs() - static_cast<std::int64_t>(turnsAfterHealing) * step.count() + delay.count())
          .value +
      1);
  for (auto const& [window, counts] : countedRequests_) {
    if (window > last) break;
    auto const report = reports_.find(window);
    string const name = "window " + std::to_string(window.value);
    if (report == reports_.end()) return fail(name + " is never reported");
    bool const isAfterFaults = window >= healedSince;
    if (isAfterFaults && report->second != usageBody(window, counts))
      return fail(name + " is reported as " + report->second + ", expected " + usageBody(window, counts));
  }
}

}  // namespace tealshelf::sim
