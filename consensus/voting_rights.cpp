// Installation of memberships, and how a node gains and loses its vote.
#include "base/invariant.hpp"
#include "consensus/consensus.hpp"
#include "consensus/keyspace_names.hpp"

namespace tealshelf {

namespace {
/// The number of members that aren't among the others under the same incarnation.
std::ptrdiff_t countMissing(vector<Member> const& members, vector<Member> const& others) {
  return std::count_if(members.begin(), members.end(), [&others](Member const& member) {
    return std::none_of(others.begin(), others.end(), [&member](Member const& other) {
      return other.id == member.id && other.incarnation == member.incarnation;
    });
  });
}

void checkOverlap(Membership const& membership) {
  std::ptrdiff_t const joined = countMissing(membership.members, membership.formerMembers);
  std::ptrdiff_t const left = countMissing(membership.formerMembers, membership.members);
  checkInvariant(Invariant::membershipOverlaps, joined <= 1 && left <= 1, [&] {
    return "membership " + std::to_string(membership.number.value) + ": " + std::to_string(joined) + " joined and " +
           std::to_string(left) + " left, expected at most one each";
  });
}
}  // namespace

std::uint64_t KeyspaceCopy::digest() const {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, votedEpoch);
  msgpack::pack(buffer, entries);
  return hash64(string(buffer.data(), buffer.size()));
}

bool Consensus::isMember() const {
  Member const* const member = membership_.find(self_.id);
  return member && member->incarnation == self_.incarnation;
}

MembershipRecord Consensus::membershipRecord() const {
  MembershipRecord record;
  record.membership = membership_;
  record.holdsAllKeys = holdsAllKeys_;
  record.retired = retired_;
  record.incarnation = self_.incarnation;
  record.formerVoter = formerVoter_;
  return record;
}

void Consensus::installMembership(Membership const& membership, bool holdsAllKeys) {
  if (membership.number <= membership_.number && membership_.exists()) return;
  bool const wasMember = isMember();
  bool const voted = mayVote();
  membership_ = membership;
  checkOverlap(membership_);
  bool const isMemberNow = isMember();
  retired_ = retired_ || (wasMember && !isMemberNow);
  bool const founder = isMemberNow && membership_.find(self_.id)->founder;
  holdsAllKeys_ = isMemberNow && (holdsAllKeys_ || holdsAllKeys || founder);
  formerVoter_.clear();
  for (Member const& former : membership_.formerMembers)
    if (voted && former.id == self_.id && former.incarnation == self_.incarnation) formerVoter_.push_back(former);
  record(LogRecord::membershipChange(membershipRecord()));
  stepDownEverywhere();
}

void Consensus::giveUpVote(std::uint64_t newIncarnation) {
  self_.incarnation = newIncarnation;
  self_.founder = false;
  holdsAllKeys_ = false;
  retired_ = false;
  formerVoter_.clear();
  record(LogRecord::membershipChange(membershipRecord()));
  stepDownEverywhere();
}

void Consensus::rejoin(std::uint64_t newIncarnation) {
  if (!retired_) return;
  self_.incarnation = newIncarnation;
  self_.founder = false;
  retired_ = false;
  record(LogRecord::membershipChange(membershipRecord()));
}

void Consensus::installCopies(vector<DiskCopy> const& copies) {
  // Entries stored earlier are discarded: they could restore a key that all members have deleted since.
  std::map<string, Entries> merged;
  for (DiskCopy const& disk : copies)
    for (KeyspaceCopy const& copy : disk) {
      if (copy.keyspace == droppedKeyspaces) continue;
      copyVote(stateOf(copy.keyspace), copy.votedEpoch);
      mergeNewer(merged[copy.keyspace], copy.entries);
    }
  for (DiskCopy const& disk : copies) copyDroppedVotes(disk);
  for (auto& [name, keyspace] : keyspaces_) {
    keyspace.replica.reset(Position(), merged[name]);
    record(LogRecord::wholeKeyspace(name, keyspace.votedEpoch, keyspace.replica.entries(), Position()));
  }
  holdsAllKeys_ = true;
  record(LogRecord::membershipChange(membershipRecord()));
}

void Consensus::copyVote(KeyspaceState& keyspace, Epoch votedEpoch) {
  keyspace.votedEpoch = std::max(keyspace.votedEpoch, votedEpoch);
  keyspace.highestSeenEpoch = std::max(keyspace.highestSeenEpoch, keyspace.votedEpoch);
}

/// The node that a copy comes from may have voted for any keyspace that it doesn't have, up to the vote that stands for
/// those it dropped.
void Consensus::copyDroppedVotes(DiskCopy const& disk) {
  Epoch dropped;
  std::set<string> present;
  for (KeyspaceCopy const& copy : disk) {
    present.insert(copy.keyspace);
    if (copy.keyspace == droppedKeyspaces) dropped = copy.votedEpoch;
  }
  if (dropped == Epoch()) return;
  for (auto& [name, keyspace] : keyspaces_)
    if (!present.contains(name)) copyVote(keyspace, dropped);
  if (dropped > droppedVote_) setDroppedVote(dropped);
}

DiskCopy Consensus::exportKeyspaces() const {
  DiskCopy disk;
  if (droppedVote_ != Epoch()) disk.push_back(KeyspaceCopy{droppedKeyspaces, droppedVote_, {}, false});
  for (auto const& [name, keyspace] : keyspaces_)
    disk.push_back(KeyspaceCopy{name, keyspace.votedEpoch, keyspace.replica.entries(), false});
  return disk;
}

std::optional<Member> Consensus::copySource() const {
  if (mayVote()) return *membership_.find(self_.id);
  if (!formerVoter_.empty()) return formerVoter_.front();
  return std::nullopt;
}

bool Consensus::allKeyspacesRewritten(TimePoint now) const {
  std::size_t voters = 0;
  std::set<string> known;
  std::set<string> owned;
  for (Member const& member : membership_.members) {
    if (!isReady(member.id, now)) continue;
    ++voters;
    Heartbeat const latest = member.id == self_.id ? heartbeat(now) : *contacts_.lastHeartbeat(member.id);
    for (KeyspaceProgress const& progress : latest.keyspaces) {
      known.insert(progress.keyspace);
      if (progress.owned) owned.insert(progress.keyspace);
    }
  }
  return voters >= membership_.quorum() && known == owned;
}

}  // namespace tealshelf
