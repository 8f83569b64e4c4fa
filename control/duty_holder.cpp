#include "control/duty_holder.hpp"

#include "traffic/connection_probe.hpp"

namespace tealshelf {

namespace {
/// How often the ownership is confirmed, and the platform probed by opening a TCP connection.
constexpr int confirmationsPerLease = 10, probesPerLease = 3;
string const recordKey = "holder";
}  // namespace

DutyHolder::DutyHolder(asio::io_context& io, Settings const& settings, ConsensusDriver& driver)
    : io_(io),
      settings_(settings),
      driver_(driver),
      lease_(settings.bounds.lease),
      platform_(io, settings, lease_),
      contact_(driver.consensus().self().id, settings.bounds.lease, Clock::now()),
      preference_(driver.consensus().self().id, settings.bounds.lease),
      claims_(metrics().counter("tealshelf_duties_claims_total", "Claims of the duties by this node")),
      relinquishments_(metrics().counter("tealshelf_duties_given_up_total", "Duties that this node gave up")),
      holds_(metrics().gauge("tealshelf_duties_held", "1 while this node may call the platform")),
      fence_(metrics().gauge("tealshelf_duties_fence", "Fencing token of this node's last claim")),
      silence_(metrics().gauge("tealshelf_platform_silence_seconds",
                               "Since this node last reached the platform, or started")) {
  sampler_ = metrics().sample([this] { sample(); });
}

void DutyHolder::start() {
  if (!settings_.provider.exists()) return;
  driver_.consensus().addKeyspace(dutiesKeyspace);
  spawnTask(io_, "duties lease", leaseLoop());
  spawnTask(io_, "platform probe", platformProbeLoop());
}

std::optional<DutyRecord> DutyHolder::record() const {
  auto const record = values().find(recordKey);
  if (record == values().end()) return std::nullopt;
  return deserialize<DutyRecord>(record->second);
}

Task<void> DutyHolder::leaseLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.lease / confirmationsPerLease);
    co_await maintainLease();
  }
}

Task<void> DutyHolder::maintainLease() {
  Consensus& consensus = driver_.consensus();
  preference_.noteOwnership(consensus.owns(dutiesKeyspace), Clock::now());
  std::set<NodeId> unfit = contact_.nodesWithoutContact(Clock::now());
  bool const isUnfit = unfit.contains(consensus.self().id);
  applyPreference(std::move(unfit));
  if (!consensus.owns(dutiesKeyspace)) {
    lease_.drop();
    co_return;
  }
  if (isUnfit) {
    relinquish("another node reaches the platform, this one doesn't");
    co_return;
  }
  Epoch const epoch = consensus.epochOf(dutiesKeyspace);
  if (!lease_.isClaimedUnder(epoch)) co_await claim(epoch);
  if (lease_.isClaimedUnder(epoch)) co_await confirm(epoch);
}

Task<void> DutyHolder::claim(Epoch epoch) {
  lease_.drop();
  Consensus const& consensus = driver_.consensus();
  std::optional<DutyRecord> const known = record();
  bool const hadPredecessor = known.has_value();
  DutyRecord next = known.value_or(DutyRecord());
  string const previousHolder = next.holderName;
  ++next.fence;
  next.holder = consensus.self().id;
  next.holderName = settings_.nodeName;
  vector<KeyChange> changes(1, KeyChange{recordKey, serialize(next), false});
  OperationResult const result = co_await driver_.propose(dutiesKeyspace, std::move(changes), epoch);
  if (result != OperationResult::committed) co_return;
  lease_.noteClaimed(epoch, next.fence, hadPredecessor, Clock::now());
  claims_.increment();
  logInfo("duties", "this node holds the duties under fence " + std::to_string(next.fence) +
                        (hadPredecessor ? "; the previous holder was " + previousHolder : string()));
}

Task<void> DutyHolder::confirm(Epoch epoch) {
  TimePoint const requestedAt = Clock::now();
  bool const isConfirmed = co_await driver_.confirmOwnership(dutiesKeyspace, settings_.bounds.lease / 2);
  if (!isConfirmed) co_return;
  lease_.noteConfirmed(epoch, requestedAt);
  platform_.extendCallDeadlines();
}

void DutyHolder::relinquish(string const& reason) {
  lease_.drop();
  relinquishments_.increment();
  logWarning("duties", "this node relinquishes the duties: " + reason);
  driver_.consensus().relinquish(dutiesKeyspace);
  driver_.flush();
  driver_.sendHeartbeats();
}

Task<PlatformAnswer> DutyHolder::call(PlatformCall call) {
  Epoch const epoch = lease_.epoch();
  PlatformAnswer const answer = co_await platform_.call(std::move(call));
  bool const wasReached = answer != PlatformAnswer::unanswered && answer != PlatformAnswer::notHolder;
  if (wasReached) contact_.noteReached(Clock::now());
  // The platform refuses this fence from now on; the next claim takes a higher one.
  bool const isCurrent = driver_.consensus().owns(dutiesKeyspace) && lease_.isClaimedUnder(epoch);
  if (answer == PlatformAnswer::superseded && isCurrent) relinquish("the platform has seen a higher fence");
  co_return answer;
}

Task<bool> DutyHolder::commit(vector<KeyChange> changes) {
  if (!mayAct()) co_return false;
  OperationResult const result = co_await driver_.propose(dutiesKeyspace, std::move(changes), lease_.epoch());
  co_return result == OperationResult::committed;
}

Task<void> DutyHolder::platformProbeLoop() {
  for (;;) {
    Ms const period = settings_.bounds.lease / probesPerLease;
    bool const isReachable = co_await respondsToConnect(io_, settings_.provider.address, period);
    if (isReachable) contact_.noteReached(Clock::now());
    co_await sleepFor(period);
  }
}

void DutyHolder::applyPreference(std::set<NodeId> unfit) {
  TimePoint const now = Clock::now();
  Consensus& consensus = driver_.consensus();
  std::optional<DutyRecord> const known = record();
  std::optional<DutyPreference::Incumbent> incumbent;
  if (known) incumbent = DutyPreference::Incumbent{known->holder, consensus.isAlive(known->holder, now)};
  consensus.setDeprioritizedOwners(
      dutiesKeyspace,
      preference_.deprioritizedOwners(std::move(unfit), incumbent, consensus.membership().members, now));
}

void DutyHolder::receive(HeartbeatMessage const& message) {
  std::optional<Ms> silence;
  if (message.platformSilenceMs >= 0) silence = Ms(message.platformSilenceMs);
  contact_.recordPeerSilence(message.heartbeat.sender.id, silence, Clock::now());
}

void DutyHolder::fillHeartbeat(HeartbeatMessage& message) const {
  if (settings_.provider.exists()) message.platformSilenceMs = platformSilence().count();
}

void DutyHolder::sample() {
  holds_.setCount(mayAct() ? 1 : 0);
  fence_.setCount(lease_.fence());
  if (settings_.provider.exists()) silence_.set(static_cast<double>(platformSilence().count()) / 1000);
}

}  // namespace tealshelf
