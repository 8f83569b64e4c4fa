#pragma once
#include "consensus/membership.hpp"

namespace tealshelf {

/// The addresses to which a control node sends its heartbeats: all other members, and all seeds, a member's too. Nodes
/// without a disk forget the membership when they restart and know nothing but their seeds; if those have no disk
/// either, they learn of the membership only from members that call them.
inline std::set<string> heartbeatTargets(Membership const& membership, string const& ownIp,
                                         vector<Address> const& seeds) {
  std::set<string> targets;
  for (Member const& member : membership.members) targets.insert(member.ip);
  for (Address const& seed : seeds) targets.insert(seed.ip);
  targets.erase(ownIp);
  return targets;
}

}  // namespace tealshelf
