#pragma once
#include "consensus/membership.hpp"

namespace tealshelf {

/// The addresses to which a control node sends heartbeats: all other members and all seeds. Members send to the seeds
/// too, because a node without a disk forgets the membership at a restart and knows only its seeds. If those have no
/// disk either, they can learn the membership only from members that contact them.
inline std::set<string> heartbeatTargets(Membership const& membership, string const& ownIp,
                                         vector<Address> const& seeds) {
  std::set<string> targets;
  for (Member const& member : membership.members) targets.insert(member.ip);
  for (Address const& seed : seeds) targets.insert(seed.ip);
  targets.erase(ownIp);
  return targets;
}

}  // namespace tealshelf
