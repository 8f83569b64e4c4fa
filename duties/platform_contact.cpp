#include "duties/platform_contact.hpp"

namespace tealshelf {

void PlatformContact::recordPeerSilence(NodeId peer, std::optional<Ms> silence, TimePoint now) {
  if (silence)
    peers_[peer] = Word{*silence, now};
  else
    peers_.erase(peer);
}

std::set<NodeId> PlatformContact::unfit(TimePoint now) const {
  std::map<NodeId, Ms> silences{{self_, silence(now)}};
  for (auto const& [peer, word] : peers_) {
    Ms const age = std::chrono::duration_cast<Ms>(now - word.at);
    // Of a node that is itself silent nothing is known.
    if (age <= lease_ / 2) silences[peer] = word.silence + age;
  }
  std::set<NodeId> unfit;
  bool isReachedByAny = false;
  for (auto const& [node, silence] : silences) {
    isReachedByAny = isReachedByAny || silence < lease_ / 2;
    if (silence > lease_) unfit.insert(node);
  }
  return isReachedByAny ? unfit : std::set<NodeId>();
}

}  // namespace tealshelf
