#include "consensus/membership_manager.hpp"

#include "consensus/consensus_driver.hpp"

namespace tealshelf {

namespace {
/// How often a change request is forwarded at most.
constexpr int maxChangeRequestHops = 2;
/// The join loop pauses for bounds.inTouch divided by one of these: after a promotion, which is followed by the new
/// membership and a copy that this node needs to vote; as a voting member; otherwise.
constexpr int promotedPauseDivisor = 300, voterPauseDivisor = 10, otherPauseDivisor = 30;

/// Fills in the entries of unchanged keyspaces, which the reply left out, from the copy held before.
DiskCopy fillUnchanged(DiskCopy copy, DiskCopy const& held) {
  for (KeyspaceCopy& keyspace : copy) {
    if (!keyspace.unchanged) continue;
    for (KeyspaceCopy const& known : held)
      if (known.keyspace == keyspace.keyspace) keyspace.entries = known.entries;
    keyspace.unchanged = false;
  }
  return copy;
}
}  // namespace

MembershipManager::MembershipManager(asio::io_context& io, Settings const& settings, RpcClient& rpc,
                                     ConsensusDriver& driver)
    : io_(io), settings_(settings), rpc_(rpc), driver_(driver), consensus_(driver.consensus()) {}

void MembershipManager::start(RpcServer& server) {
  server.on<Hello>([this](Hello) -> Task<HelloReply> {
    co_return HelloReply{consensus_.self(), consensus_.membership(), settings_.firstBoot, !settings_.dataFolder.empty(),
                         consensus_.holdsAllKeys()};
  });
  server.on<CopyRequest>(
      [this](CopyRequest request) -> Task<CopyReply> { co_return co_await handleCopyRequest(request); });
  server.on<MembershipChangeRequest>([this](MembershipChangeRequest request) -> Task<Acknowledgement> {
    co_return Acknowledgement{co_await handleChangeRequest(request)};
  });
  spawnTask(io_, "membership join", joinLoop());
  spawnTask(io_, "membership maintenance", maintenanceLoop());
}

std::size_t MembershipManager::minMembers() const {
  return std::max<std::size_t>(3, MembershipPolicy::membersToSurvive(settings_.surviveMachines));
}

void MembershipManager::publish() {
  driver_.flush();
  driver_.sendHeartbeats();
}

Task<void> MembershipManager::joinLoop() {
  for (;;) {
    bool const promoted = co_await joinStep();
    warnIfTooSmall();
    bool const voter = consensus_.isMember() && consensus_.holdsAllKeys();
    int const divisor = promoted ? promotedPauseDivisor : voter ? voterPauseDivisor : otherPauseDivisor;
    co_await sleepFor(settings_.bounds.inTouch / divisor);
  }
}

Task<bool> MembershipManager::joinStep() {
  bool const member = consensus_.isMember();
  bool promoted = false;
  if (!consensus_.membership().exists()) {
    co_await discoverOrBootstrap();
    publish();
  } else if (!member && !driver_.isLeaving() && mayJoin()) {
    promoted = co_await requestJoin();
    driver_.flush();
  } else if (member && driver_.isLeaving()) {
    co_await requestRemoval();
  } else if (member && !consensus_.holdsAllKeys()) {
    co_await copyAll();
    publish();
  }
  co_return promoted;
}

Task<void> MembershipManager::discoverOrBootstrap() {
  Ms const limit = settings_.bounds.inTouch / 6;
  Membership first;
  first.number = MembershipNumber(1);
  bool isSeed = false;
  for (Address const& seed : settings_.seeds) {
    if (seed.ip == settings_.ip) {
      first.members.push_back(consensus_.self());
      isSeed = true;
      continue;
    }
    HelloReply answer;
    try {
      Hello const request{consensus_.self()};
      answer = co_await rpc_.call(settings_.controlAddress(seed.ip), request, limit);
    } catch (Error const& error) {
      logDebug("membership",
               "asking seed " + seed.text() + " for the membership failed: " + error.what() + "; retrying");
      co_return;
    }
    if (answer.membership.exists()) {
      consensus_.installMembership(answer.membership, false);
      co_return;
    }
    if (!answer.mayBootstrap) co_return;
    first.members.push_back(answer.self);
  }
  if (!isSeed || !settings_.firstBoot) co_return;
  std::sort(first.members.begin(), first.members.end(),
            [](Member const& left, Member const& right) { return left.ip < right.ip; });
  for (Member& member : first.members) member.founder = true;
  first.formerMembers = first.members;
  consensus_.installMembership(first, true);
  logInfo("membership", "the first membership was created with " + std::to_string(first.members.size()) + " members");
}

/// A node without a disk joins only if no member has a disk. Otherwise it only forwards calls and keeps soft state.
bool MembershipManager::mayJoin() const {
  if (!settings_.dataFolder.empty()) return true;
  vector<Member> const& members = consensus_.membership().members;
  return std::none_of(members.begin(), members.end(), [](Member const& member) { return member.hasDisk; });
}

Task<bool> MembershipManager::requestJoin() {
  if (consensus_.isRetired()) consensus_.rejoin(randomId());
  if (learnerCopiedUnder_ != consensus_.membership().number) co_await copyAll();
  MembershipChangeRequest request;
  request.member = consensus_.self();
  request.copiedUnder = learnerCopiedUnder_;
  vector<string> ips;
  for (Member const& member : consensus_.membership().members) ips.push_back(member.ip);
  for (Address const& seed : settings_.seeds) ips.push_back(seed.ip);
  for (string const& ip : ips) {
    if (ip == settings_.ip) continue;
    try {
      Address const to = settings_.controlAddress(ip);
      Acknowledgement const answer = co_await rpc_.call(to, request, settings_.bounds.inTouch / 2);
      if (answer.ok) co_return true;
    } catch (Error const&) {
      // The next address is tried.
    }
  }
  co_return false;
}

Task<void> MembershipManager::requestRemoval() {
  if (consensus_.membership().members.size() <= minMembers()) co_return;
  NodeId const self = consensus_.self().id;
  if (!MembershipPolicy::lacksFaultTolerance(consensus_, self, settings_.surviveMachines, Clock::now())) co_return;
  std::optional<Address> const owner = driver_.ownerAddress(membersKeyspace);
  if (!owner || owner->ip == settings_.ip) co_return;
  MembershipChangeRequest request;
  request.member = consensus_.self();
  request.isRemoval = true;
  try {
    co_await rpc_.call(*owner, request, settings_.bounds.inTouch / 2);
  } catch (Error const&) {
    // The join loop retries.
  }
}

void MembershipManager::warnIfTooSmall() {
  bool const due = consensus_.membership().exists() && Clock::now() - startedAt_ > settings_.bounds.confirmWithin;
  if (sizeChecked_ || !due) return;
  sizeChecked_ = true;
  if (driver_.survivesRequiredLosses()) return;
  logWarning("membership", "the " + std::to_string(consensus_.membership().members.size()) +
                               " members can't survive the loss of " + std::to_string(settings_.surviveMachines) +
                               " machines; " +
                               std::to_string(MembershipPolicy::membersToSurvive(settings_.surviveMachines)) +
                               " members with disks are needed");
}

Task<CopyReply> MembershipManager::handleCopyRequest(CopyRequest const& request) {
  std::optional<Member> const source = consensus_.copySource();
  if (request.membership != consensus_.membership().number || !source) throw Error(ErrorCode::notMember);
  CopyReply answer;
  answer.source = *source;
  answer.keyspaces = consensus_.exportKeyspaces();
  for (KeyspaceCopy& copy : answer.keyspaces) {
    auto const digest = request.digests.find(copy.keyspace);
    copy.unchanged = digest != request.digests.end() && digest->second == copy.digest();
    if (copy.unchanged) copy.entries.clear();
  }
  // The membership must be durable before the copy is sent: from then on this node must not acknowledge anything under
  // an older one.
  co_await driver_.waitSynced();
  co_return answer;
}

void MembershipManager::requestCopy(Member const& source, MembershipNumber membership,
                                    std::shared_ptr<PendingCopies> copies, std::size_t needed) {
  CopyRequest request;
  request.membership = membership;
  for (KeyspaceCopy const& held : learnerCopies_[source.id]) request.digests[held.keyspace] = held.digest();
  ++copies->outstanding;
  asio::co_spawn(io_, rpc_.call(settings_.controlAddress(source.ip), request, settings_.bounds.inTouch / 2),
                 [copies, needed, source](std::exception_ptr failure, CopyReply answer) {
                   --copies->outstanding;
                   bool const sameMember =
                       answer.source.id == source.id && answer.source.incarnation == source.incarnation;
                   if (!failure && sameMember) copies->received[source.id] = std::move(answer.keyspaces);
                   if (!copies->outstanding || copies->received.size() >= needed) copies->timer.cancel();
                 });
}

Task<void> MembershipManager::copyAll() {
  Membership const membership = consensus_.membership();
  bool const member = consensus_.isMember();
  vector<Member> const sources = member ? membership.formerMembers : membership.members;
  std::size_t const needed = member ? membership.formerQuorum() : membership.quorum();
  std::shared_ptr<PendingCopies> const copies = std::make_shared<PendingCopies>(io_);
  for (Member const& source : sources)
    if (source.ip != settings_.ip) requestCopy(source, membership.number, copies, needed);
  error_code ignored;
  if (copies->outstanding) co_await copies->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  // Taken as a snapshot: replies that arrive later must not change what is installed.
  std::map<NodeId, DiskCopy> const received = copies->received;
  bool const unchanged = consensus_.membership().number == membership.number && consensus_.isMember() == member;
  if (received.size() < needed || !unchanged) co_return;
  std::map<NodeId, DiskCopy> whole;
  for (auto const& [source, copy] : received) whole[source] = fillUnchanged(copy, learnerCopies_[source]);
  if (member) {
    installCopies(std::move(whole));
  } else {
    learnerCopies_ = std::move(whole);
    learnerCopiedUnder_ = membership.number;
  }
}

void MembershipManager::installCopies(std::map<NodeId, DiskCopy> copies) {
  vector<DiskCopy> disks;
  for (auto& [source, copy] : copies) disks.push_back(std::move(copy));
  consensus_.installCopies(disks);
  learnerCopies_.clear();
  logInfo("membership", "all keys were copied from " + std::to_string(disks.size()) + " nodes; this node votes now");
}

Task<bool> MembershipManager::handleChangeRequest(MembershipChangeRequest request) {
  Member const* const known = consensus_.membership().find(request.member.id);
  if (!request.isRemoval && known && known->incarnation == request.member.incarnation) co_return true;
  if (!consensus_.owns(membersKeyspace)) {
    std::optional<Address> const owner = driver_.ownerAddress(membersKeyspace);
    if (!owner || request.hops >= maxChangeRequestHops || owner->ip == settings_.ip) co_return false;
    ++request.hops;
    Acknowledgement const answer = co_await rpc_.call(*owner, request, settings_.bounds.inTouch / 2);
    co_return answer.ok;
  }
  if (changing_) co_return false;
  changing_ = true;
  bool changed = false;
  try {
    changed = co_await changeMembership(request);
  } catch (Error const&) {
    // The membership stays as it is; the requester retries.
  }
  changing_ = false;
  publish();
  co_return changed;
}

Task<bool> MembershipManager::changeMembership(MembershipChangeRequest const& request) {
  MembershipNumber const previous = consensus_.membership().number;
  MembershipPolicy const policy{MembershipPolicy::deadAfterFor(settings_.bounds), minMembers()};
  MembershipChange const change{request.member, request.isRemoval, request.copiedUnder};
  std::optional<Membership> const next = policy.next(consensus_, change, Clock::now());
  if (!next) co_return false;
  vector<KeyChange> changes(1, KeyChange{membershipKey, serialize(*next), false});
  OperationResult const result = co_await driver_.propose(membersKeyspace, std::move(changes));
  if (result != OperationResult::committed || consensus_.membership().number != previous) co_return false;
  consensus_.installMembership(*next, false);
  logInfo("membership", "membership " + std::to_string(next->number.value) + " has " +
                            std::to_string(next->members.size()) + " members; " + request.member.name +
                            (request.isRemoval ? " left" : " joined"));
  co_return true;
}

Task<void> MembershipManager::maintenanceLoop() {
  for (;;) {
    co_await sleepFor(settings_.bounds.inTouch / 3);
    if (!consensus_.owns(membersKeyspace)) continue;
    Membership const newest = committedMembership(consensus_);
    if (newest.number > consensus_.membership().number) {
      consensus_.installMembership(newest, false);
      publish();
      continue;
    }
    co_await removeSilentMember();
  }
}

Task<void> MembershipManager::removeSilentMember() {
  TimePoint const now = Clock::now();
  if (consensus_.membership().members.size() <= minMembers() || changing_) co_return;
  vector<Member> const members = consensus_.membership().members;
  for (Member const& member : members) {
    bool const urgent = MembershipPolicy::lacksFaultTolerance(consensus_, member.id, settings_.surviveMachines, now);
    Ms const limit = urgent ? MembershipPolicy::deadAfterFor(settings_.bounds) : Ms(2 * settings_.bounds.catchUp);
    if (consensus_.silentFor(member.id, now) <= limit) continue;
    MembershipChangeRequest request;
    request.member = member;
    request.hops = maxChangeRequestHops;  // prevents forwarding if this node has lost the keyspace meanwhile
    request.isRemoval = true;
    co_await handleChangeRequest(request);
    co_return;
  }
}

}  // namespace tealshelf
