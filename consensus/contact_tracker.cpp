#include "consensus/contact_tracker.hpp"

namespace tealshelf {

bool Heartbeat::hears(NodeId node) const {
  return std::any_of(echoes.begin(), echoes.end(), [node](Echo const& echo) { return echo.node == node; });
}

bool ContactTracker::receive(Heartbeat const& heartbeat, TimePoint now) {
  NodeId const sender = heartbeat.sender.id;
  for (Echo const& echo : heartbeat.echoes)
    if (echo.node == self_) receiveEcho(sender, echo.sentAt, now);
  Peer& peer = peers_[sender];
  ProcessTime const& previous = peer.heartbeat.sentAt;
  if (previous.process == heartbeat.sentAt.process && heartbeat.sentAt.ticks < previous.ticks) return false;
  peer.lastArrival = now;
  peer.heartbeat = heartbeat;
  lastHeard_[sender] = now;
  for (Echo const& echo : heartbeat.echoes) lastHeard_[echo.node] = now;
  return true;
}

void ContactTracker::receiveEcho(NodeId from, ProcessTime const& sentAt, TimePoint now) {
  TimePoint const at = TimePoint(TimePoint::duration(sentAt.ticks));
  if (sentAt.process != processId_ || at > now) return;
  Peer& peer = peers_[from];
  peer.lastContact = std::max(peer.lastContact, at);
}

void ContactTracker::recordTick(TimePoint now) {
  if (runningSince_ == TimePoint() || now - lastTick_ > expiry_) runningSince_ = now;
  lastTick_ = now;
}

bool ContactTracker::isAlive(NodeId node, Membership const& membership, TimePoint now) const {
  if (node == self_) return true;
  auto const found = peers_.find(node);
  if (found == peers_.end() || found->second.lastContact == TimePoint()) return false;
  Peer const& peer = found->second;
  if (now - peer.lastContact > expiry_ || now - peer.lastArrival > expiry_) return false;
  std::size_t heardMembers = 1;
  for (Echo const& echo : peer.heartbeat.echoes)
    if (echo.node != node && membership.find(echo.node)) ++heardMembers;
  return heardMembers >= membership.quorum();
}

TimePoint ContactTracker::majorityContact(Membership const& membership, TimePoint now) const {
  vector<TimePoint> contacts;
  for (Member const& member : membership.members) {
    auto const peer = peers_.find(member.id);
    if (member.id == self_)
      contacts.push_back(now);
    else if (peer != peers_.end())
      contacts.push_back(peer->second.lastContact);
  }
  if (membership.members.empty() || contacts.size() < membership.quorum()) return TimePoint();
  std::sort(contacts.begin(), contacts.end(), std::greater<TimePoint>());
  return contacts[membership.quorum() - 1];
}

Ms ContactTracker::silentFor(NodeId node, TimePoint now) const {
  bool const wasSuspended = runningSince_ == TimePoint() || now - lastTick_ > expiry_;
  if (node == self_ || wasSuspended) return Ms(0);
  auto const heard = lastHeard_.find(node);
  TimePoint const last = heard == lastHeard_.end() ? runningSince_ : std::max(runningSince_, heard->second);
  return std::chrono::duration_cast<Ms>(now - last);
}

vector<Echo> ContactTracker::echoes(TimePoint now) const {
  vector<Echo> echoes;
  for (auto const& [node, peer] : peers_)
    if (now - peer.lastArrival <= expiry_) echoes.push_back(Echo{node, peer.heartbeat.sentAt});
  return echoes;
}

Heartbeat const* ContactTracker::lastHeartbeat(NodeId node) const {
  auto const peer = peers_.find(node);
  return peer == peers_.end() ? nullptr : &peer->second.heartbeat;
}

void ContactTracker::reset(TimePoint runningSince, TimePoint now) {
  peers_.clear();
  lastHeard_.clear();
  runningSince_ = runningSince;
  lastTick_ = now;
}

}  // namespace tealshelf
