// Fault injection and the checks at the end of the simulation.
#include "tests/tallies/tally_fleet_sim.hpp"

namespace tealshelf::sim {

void TallyFleet::admit(Node& node) {
  node.isNewcomer = false;
  note(node.self.name + " is admitted as a member");
  std::erase_if(members_, [&node](Member const& member) { return member.name == node.self.name; });
  members_.push_back(node.self);
  for (std::unique_ptr<Node> const& other : nodes_) installMembers(*other);
}

void TallyFleet::installMembers(Node& node) {
  if (cutEndsAt_ && node.isPartitioned) return;
  node.installedMembers = members_;
  if (node.up) node.replica->setMembers(members_);
}

void TallyFleet::removeIsolated() {
  bool const mayRemove = cutEndsAt_ && cutIsolatesZone_ && now_ - cutBeganAt_ > removalDelay;
  if (!mayRemove || pick(50) != 0) return;
  std::size_t const remaining =
      static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](std::unique_ptr<Node> const& node) {
        return node->hasDisk && node->up && !node->isPartitioned && !node->isNewcomer;
      }));
  for (std::unique_ptr<Node> const& node : nodes_) {
    bool const isRemovable = node->hasDisk && node->isPartitioned && !node->isNewcomer;
    bool const hasMajority = remaining > members_.size() / 2;
    if (!isRemovable || !hasMajority || members_.size() <= minMembers) continue;
    node->isNewcomer = true;
    ++removals_;
    note(node->self.name + " is removed");
    std::erase_if(members_, [&node](Member const& member) { return member.name == node->self.name; });
    for (std::unique_ptr<Node> const& other : nodes_) installMembers(*other);
    return;
  }
}

void TallyFleet::wipeAfterAcknowledgement() {
  if (!acknowledgedNow_) return;
  std::size_t node = *acknowledgedNow_;
  acknowledgedNow_.reset();
  for (; pendingWipes_; --pendingWipes_) {
    wipe(*nodes_[node]);
    node = pick(nodes_.size());
  }
}

void TallyFleet::injectFault() {
  switch (pick(12)) {
    case 0:
    case 1:
      if (!cutEndsAt_) cut();
      return;
    case 2:
      return stop(*nodes_[pick(nodes_.size())], false);
    case 3:
      return stop(*nodes_[pick(nodes_.size())], true);
    case 4:
      return wipe(*nodes_[pick(nodes_.size())]);
    case 5:
    case 6:
      return freeze(*nodes_[pick(nodes_.size())]);
    case 7:
    case 8:
      killsNextCounting_ = true;
      return;
    case 9:
      return wipeIsolatedZone();
    default:
      pendingWipes_ = 1 + pick(survive);
  }
}

void TallyFleet::stop(Node& node, bool losesPower) {
  if (!node.up) return;
  // All writes of a killed process survive; after a power loss any prefix of the unsynced ones does.
  std::size_t keep = losesPower ? pick(node.pending.size() + 1) : node.pending.size();
  for (PendingSync const& sync : node.pending) {
    if (!keep--) break;
    node.disk.insert(node.disk.end(), sync.records.begin(), sync.records.end());
  }
  node.up = false;
  node.restartAt = now_ + Ms(300 + pick(3000));
  note(node.self.name + (losesPower ? " loses power" : " is killed"));
}

void TallyFleet::freeze(Node& node) {
  if (!node.up || isFrozen(node)) return;
  node.frozenUntil = now_ + Ms(300 + pick(4000));
  note(node.self.name + " freezes");
}

void TallyFleet::wipeIsolatedZone() {
  if (!cutEndsAt_ || !cutIsolatesZone_) return;
  for (std::unique_ptr<Node> const& node : nodes_)
    if (node->isPartitioned) wipe(*node);
}

void TallyFleet::wipe(Node& node) {
  if (!node.hasDisk) return;
  std::size_t const others = lostMembers() - (isLost(node) ? 1 : 0);
  if (others + 1 > survive || !node.up) return;
  ++wipes_;
  stop(node, true);
  wiped_.insert(node.self.id);
  node.disk.clear();
  assignNewIdentity(node);
  node.isNewcomer = true;
  note(node.self.name + " loses its disk");
}

bool TallyFleet::isLost(Node const& node) const {
  if (!node.hasDisk) return false;
  return !node.up || node.isNewcomer || !node.replica->isServing() || mayLackAdditions(node);
}

std::size_t TallyFleet::lostMembers() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [this](std::unique_ptr<Node> const& node) { return isLost(*node); }));
}

bool TallyFleet::mayLackAdditions(Node const& node) const {
  bool const wasFrozen = now_ - node.frozenUntil < mergeTime && node.frozenUntil > node.upSince;
  bool const isRecent = cutEndsAt_.has_value() || now_ - lastCutAt_ < mergeTime;
  return wasFrozen || (isRecent && node.isPartitioned);
}

void TallyFleet::cut() {
  std::size_t const count = nodes_.size();
  string const zone = nodes_[pick(count)]->zone, second = nodes_[pick(count)]->zone;
  // Of these the isolated zone is the likeliest, since only its members are removed.
  std::uint64_t const form = pick(2) * pick(4);
  for (std::size_t from = 0; from < count; ++from)
    for (std::size_t to = 0; to < count; ++to) {
      bool const fromOff = nodes_[from]->zone == zone, toOff = nodes_[to]->zone == zone;
      bool blocks = fromOff != toOff;                                  // a zone is isolated
      if (form == 1) blocks = (from < count / 2) != (to < count / 2);  // halves
      if (form == 2) blocks = fromOff && !toOff;                       // nothing gets out of the zone
      if (form == 3)
        blocks = (fromOff && nodes_[to]->zone == second) ||
                 (toOff && nodes_[from]->zone == second);  // two zones can't reach each other
      blocked_[from][to] = from != to && blocks;
    }
  for (std::unique_ptr<Node> const& node : nodes_) node->isPartitioned = form == 1 || node->zone == zone;
  cutEndsAt_ = now_ + Ms(1000 + pick(pick(2) ? 25000 : 3000));
  cutBeganAt_ = lastCutAt_ = now_;
  cutIsolatesZone_ = form == 0;
  note("cut " + std::to_string(form) + " of " + zone + " and " + second + ", for " +
       std::to_string(std::chrono::duration_cast<Ms>(*cutEndsAt_ - now_).count()) + " ms");
}

void TallyFleet::heal() {
  if (!cutEndsAt_) return;
  cutEndsAt_.reset();
  note("healed");
  for (vector<bool>& row : blocked_) row.assign(row.size(), false);
  recoveringUntil_ = now_ + mergeTime;
  lastCutAt_ = now_;
  for (std::unique_ptr<Node> const& node : nodes_) installMembers(*node);
}

void TallyFleet::checkEnd() {
  for (std::unique_ptr<Node> const& node : nodes_) {
    if (!node->up) return fail("a node isn't up at the end");
    if (!answeringNode(*node)) return fail(node->self.name + " refuses reads at the end");
    if (!node->hasDisk) continue;
    if (node->isNewcomer) return fail("a node wasn't admitted at the end");
    if (!node->replica->isServing()) return fail("a node doesn't serve at the end");
    if (node->replica->table().totals() != nodes_[firstMember()]->replica->table().totals())
      return fail("two nodes have different totals at the end");
    TallyTable table = node->replica->table();
    for (Acknowledged const& added : acknowledged_) {
      if (!mustBeVisible(added)) continue;
      TallyAdd const repeated{added.call.tally, addKeyOf(added.call.tally, added.call.id), added.call.change, wallMs()};
      if (table.add(OriginId(1), repeated).result != TallyTable::AddResult::added) continue;
      note(node->self.name + " lacks " + added.call.id + " of " + added.call.tally);
      return fail("an acknowledged addition is missing at the end");
    }
    for (auto const& [tally, sent] : sent_)
      if (node->replica->table().total(tally) > sent) return fail("a total is too large at the end");
  }
}

std::size_t TallyFleet::firstMember() const {
  std::size_t first = 0;
  while (nodes_[first]->isNewcomer) ++first;
  return first;
}

/// Traces the acknowledged additions to a tally that a node lacks, and which nodes have them.
void TallyFleet::noteMissing(Node const& node, string const& tally) {
  for (Acknowledged const& added : acknowledged_) {
    if (added.call.tally != tally) continue;
    TallyAdd const add{tally, addKeyOf(tally, added.call.id), added.call.change, wallMs()};
    string holders;
    for (std::unique_ptr<Node> const& other : nodes_) {
      TallyTable table = other->replica->table();
      if (table.add(OriginId(1), add).result == TallyTable::AddResult::added) continue;
      holders += " " + other->self.name + (other->up ? "" : "(down)");
      if (other->index == node.index) holders = "-";
    }
    if (!holders.starts_with("-")) note(added.call.id + " +" + std::to_string(added.call.change) + " is at" + holders);
  }
  for (std::unique_ptr<Node> const& other : nodes_) {
    string text = other->self.name + " id " + hex(other->self.id.value) + (other->up ? " up" : " down") +
                  (other->replica->isServing() ? " serves;" : " doesn't serve;");
    for (auto const& [origin, number] : other->replica->known())
      text += " " + hex(origin.value).substr(0, 4) + ":" + std::to_string(number);
    for (auto const& [id, peer] : other->replica->peers())
      text += " | " + peer.member.name + " " + hex(id.value).substr(14) + (peer.awaitsReply ? " awaits" : "") +
              (peer.failed ? " failed" : "") + (peer.reported ? " reported" : "") +
              (peer.mayLackSettled ? " lacksSettled" : "") + (peer.outgoing ? " outgoing" : "");
    note(text);
  }
}

void TallyFleet::note(string const& text) {
  trace_.push_back(std::to_string(elapsed_.count()) + " ms: " + text);
}

void TallyFleet::fail(string const& what) {
  if (violation_.empty()) violation_ = what + " at " + std::to_string(elapsed_.count()) + " ms";
}

}  // namespace tealshelf::sim
