#include "consensus/membership_policy.hpp"

#include "wire/serialization.hpp"

namespace tealshelf {

namespace {
bool isNewMember(Membership const& membership, Member const& member) {
  return std::none_of(
      membership.formerMembers.begin(), membership.formerMembers.end(),
      [&member](Member const& former) { return former.id == member.id && former.incarnation == member.incarnation; });
}

/// A change is in progress while its new member is alive but has no vote yet.
bool lastChangeIsInProgress(Consensus const& consensus, TimePoint now) {
  Membership const& membership = consensus.membership();
  return std::any_of(membership.members.begin(), membership.members.end(), [&](Member const& member) {
    return isNewMember(membership, member) && consensus.isAlive(member.id, now) && !consensus.isReady(member.id, now);
  });
}

bool anyHasDisk(Membership const& membership) {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [](Member const& member) { return member.hasDisk; });
}

/// How the members change when a learner is promoted.
struct Promotion {
  enum class Kind { replace, add, wait } kind = Kind::wait;
  NodeId replaced;  ///< the member that the learner replaces; only with `replace`
};

Promotion promotionFor(Consensus const& consensus, Member const& learner, Ms deadAfter, TimePoint now) {
  vector<Member> const& members = consensus.membership().members;
  for (Member const& member : members)
    if (member.ip == learner.ip) return {Promotion::Kind::replace, member.id};
  for (Member const& member : members)
    if (learner.hasDisk && !member.hasDisk && member.id != consensus.self().id)
      return {Promotion::Kind::replace, member.id};
  Member const* longestSilent = nullptr;
  Ms longestSilence{0};
  bool anySilent = false;
  for (Member const& member : members) {
    anySilent = anySilent || !consensus.isAlive(member.id, now);
    Ms const silence = consensus.silentFor(member.id, now);
    if (longestSilent && silence <= longestSilence) continue;
    longestSilent = &member;
    longestSilence = silence;
  }
  if (longestSilent && longestSilence > deadAfter) return {Promotion::Kind::replace, longestSilent->id};
  return {anySilent ? Promotion::Kind::wait : Promotion::Kind::add, NodeId()};
}

/// True if the voting members that remain are a majority of the next membership.
bool remainingVotersAreQuorum(Consensus const& consensus, Membership const& next, TimePoint now) {
  std::size_t voters = 0;
  for (Member const& member : next.members) {
    Member const* const current = consensus.membership().find(member.id);
    bool const remains = current && current->incarnation == member.incarnation;
    if (remains && consensus.isReady(member.id, now)) ++voters;
  }
  return voters >= next.quorum();
}

bool remove(Membership& next, MembershipPolicy const& policy, Consensus const& consensus, Member const& removed,
            TimePoint now) {
  if (next.members.size() <= policy.minMembers || removed.id == consensus.self().id) return false;
  if (!consensus.allKeyspacesRewritten(now)) return false;
  return std::erase_if(next.members, [&removed](Member const& member) { return member.id == removed.id; }) > 0;
}

bool promote(Membership& next, MembershipPolicy const& policy, Consensus const& consensus,
             MembershipChange const& change, TimePoint now) {
  Membership const& current = consensus.membership();
  if (change.copiedUnder != current.number || (!change.member.hasDisk && anyHasDisk(current))) return false;
  Promotion const promotion = promotionFor(consensus, change.member, policy.deadAfter, now);
  if (promotion.kind == Promotion::Kind::wait || promotion.replaced == consensus.self().id) return false;
  if (promotion.kind == Promotion::Kind::add) {
    next.members.push_back(change.member);
    return true;
  }
  for (Member& member : next.members)
    if (member.id == promotion.replaced) member = change.member;
  return true;
}
}  // namespace

Membership committedMembership(Consensus const& consensus) {
  Values const& values = consensus.committedValues(membersKeyspace);
  auto const value = values.find(membershipKey);
  if (value == values.end()) return Membership();
  return deserialize<Membership>(value->second);
}

bool MembershipPolicy::survives(Membership const& membership, std::int64_t losses) {
  std::size_t disks = 0;
  for (Member const& member : membership.members) disks += member.hasDisk;
  return disks == membership.members.size() && disks >= membersToSurvive(losses);
}

bool MembershipPolicy::lacksFaultTolerance(Consensus const& consensus, NodeId without, std::int64_t losses,
                                           TimePoint now) {
  Membership const& membership = consensus.membership();
  std::size_t alive = 0;
  for (Member const& member : membership.members) alive += member.id != without && consensus.isAlive(member.id, now);
  return alive < membership.quorum() + static_cast<std::size_t>(losses);
}

std::optional<Membership> MembershipPolicy::next(Consensus const& consensus, MembershipChange const& change,
                                                 TimePoint now) const {
  Membership const& current = consensus.membership();
  if (!current.exists() || !consensus.owns(membersKeyspace)) return std::nullopt;
  // A membership that is committed but not installed yet comes first: two memberships must not have the same number.
  if (committedMembership(consensus).number > current.number) return std::nullopt;
  if (lastChangeIsInProgress(consensus, now)) return std::nullopt;
  Membership next;
  next.number = MembershipNumber(current.number.value + 1);
  next.members = current.members;
  next.formerMembers = current.members;
  bool const changed = change.isRemoval ? remove(next, *this, consensus, change.member, now)
                                        : promote(next, *this, consensus, change, now);
  if (!changed || !remainingVotersAreQuorum(consensus, next, now)) return std::nullopt;
  return next;
}

}  // namespace tealshelf
