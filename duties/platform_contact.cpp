#include "duties/platform_contact.hpp"

namespace tealshelf {

void PlatformContact::recordPeerSilence(NodeId peer, std::optional<Ms> silence, TimePoint now) {
  if (silence)
    peers_[peer] = PeerReport{*silence, now};
  else
    peers_.erase(peer);
}

std::set<NodeId> PlatformContact::nodesWithoutContact(TimePoint now) const {
  std::map<NodeId, Ms> silences{{self_, silence(now)}};
  for (auto const& [peer, report] : peers_) {
    Ms const age = std::chrono::duration_cast<Ms>(now - report.at);
    // An older report doesn't tell whether the node still reaches the platform.
    if (age <= lease_ / 2) silences[peer] = report.silence + age;
  }
  std::set<NodeId> withoutContact;
  bool hasAnyContact = false;
  for (auto const& [node, silence] : silences) {
    hasAnyContact = hasAnyContact || silence < lease_ / 2;
    if (silence > lease_) withoutContact.insert(node);
  }
  return hasAnyContact ? withoutContact : std::set<NodeId>();
}

}  // namespace tealshelf
