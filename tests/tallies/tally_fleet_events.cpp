// Callers, fault injection and checks of the simulation.
#include "tests/tallies/tally_fleet_sim.hpp"

namespace tealshelf::sim {

void TallyFleet::admit(Node& node) {
  node.isNewcomer = false;
  note(node.self.name + " is admitted as a member");
  for (Member& member : members_)
    if (member.name == node.self.name) member = node.self;
  for (std::unique_ptr<Node> const& other : nodes_)
    if (other->up) other->replica->setMembers(members_);
}

void TallyFleet::call(Node& node) {
  bool const repeats = !calls_.empty() && pick(3) == 0;
  Call call;
  if (repeats) {
    std::size_t const recent = std::min<std::size_t>(calls_.size(), pick(4) ? 20 : calls_.size());
    call = calls_[calls_.size() - 1 - pick(recent)];
  } else {
    call.tally = "t" + std::to_string(pick(tallies));
    call.id = "id" + std::to_string(calls_.size());
    call.change = 1 + static_cast<std::int64_t>(pick(9));
  }
  if (!node.up || !node.replica->isServing()) return;
  if (!repeats) {
    calls_.push_back(call);
    sent_[call.tally] += call.change;
  }
  TallyAdd add{call.tally, addKeyOf(call.tally, call.id), call.change, wallMs()};
  TallyTable::AddOutcome const outcome = node.replica->add(std::move(add));
  if (outcome.result == TallyTable::AddResult::conflicting)
    return fail("a repeated addition is treated as conflicting");
  flush(node);
  if (!outcome.position)
    acknowledge(node, call);
  else
    node.callers.push_back({call, *outcome.position, now_ + callLimit});
  answerCallers(node);
  sendPushes(node);
}

void TallyFleet::answerCallers(Node& node) {
  for (WaitingCaller const& caller : node.callers)
    if (isAnswered(node, caller)) acknowledge(node, caller.call);
  std::erase_if(node.callers,
                [this, &node](WaitingCaller const& caller) { return isAnswered(node, caller) || now_ >= caller.end; });
}

bool TallyFleet::isAnswered(Node const& node, WaitingCaller const& caller) const {
  if (mutation_ == Mutation::acknowledgesUnsynced) return true;
  if (mutation_ == Mutation::acknowledgesAlone) return isOnOwnDisk(node, caller.position);
  return node.replica->isDurable(caller.position);
}

bool TallyFleet::isOnOwnDisk(Node const& node, AddPosition position) {
  for (PendingSync const& sync : node.pending)
    if (sequenceIn(sync.known, position.origin) >= position.sequence) return false;
  return true;
}

void TallyFleet::acknowledge(Node& node, Call const& call) {
  acknowledged_.push_back({call, now_, node.self.id, cutEndsAt_.has_value() || now_ < recoveringUntil_});
  node.acknowledgedInThisLife[call.id + "/" + call.tally] = call.change;
  acknowledgedNow_ = node.index;
  note(node.self.name + " acknowledged " + call.id + " of " + call.tally + " +" + std::to_string(call.change));
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

void TallyFleet::read(Node& node) {
  bool const answers = mutation_ == Mutation::readsBeforeCatchUp || (node.up && node.replica->isServing());
  if (!node.up || !answers) return;
  std::map<string, std::map<string, std::int64_t>> expectedAdds;
  for (auto const& [id, change] : node.acknowledgedInThisLife)
    expectedAdds[id.substr(id.find('/') + 1)][id.substr(0, id.find('/'))] = change;
  // Additions acknowledged by other nodes are expected too, even if this node lost its disk meanwhile.
  bool const hasNoRecentCut = !cutEndsAt_ && now_ - lastCutAt_ > mergeTime;
  if (hasNoRecentCut)
    for (Acknowledged const& added : acknowledged_)
      if (now_ - added.at > mergeTime && mustBeVisible(added) && hasBeenUp(added.by))
        expectedAdds[added.call.tally][added.call.id] = added.call.change;
  for (auto const& [tally, adds] : expectedAdds) {
    TallyTotal expectedTotal = 0;
    for (auto const& [id, change] : adds) expectedTotal += change;
    if (node.replica->table().total(tally) >= expectedTotal) continue;
    noteMissing(node, tally);
    note(node.self.name + " reads " + std::to_string(static_cast<std::int64_t>(node.replica->table().total(tally))) +
         " of " + tally + ", expected " + std::to_string(static_cast<std::int64_t>(expectedTotal)));
    return fail("a read misses an acknowledged addition");
  }
  for (auto const& [tally, sent] : sent_)
    if (node.replica->table().total(tally) > sent) return fail("a read is larger than the sum of all additions");
}

/// An acknowledged addition must be visible everywhere once `mergeMs` has passed without faults. Besides partitions,
/// only a recent outage of the acknowledging machine excuses a missing one: after a partition it may have the only
/// copy.
bool TallyFleet::hasBeenUp(NodeId id) const {
  return std::none_of(nodes_.begin(), nodes_.end(), [this, id](std::unique_ptr<Node> const& node) {
    return node->self.id == id && (!node->up || now_ - node->upSince <= mergeTime);
  });
}

void TallyFleet::injectFault() {
  switch (pick(6)) {
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

void TallyFleet::wipe(Node& node) {
  std::size_t lost = 1;
  for (std::unique_ptr<Node> const& other : nodes_) {
    bool const isLost = !other->up || other->isNewcomer || !other->replica->isServing() || mayLackAdditions(*other);
    if (isLost && other->index != node.index) ++lost;
  }
  if (lost > survive || !node.up) return;
  ++wipes_;
  stop(node, true);
  wiped_.insert(node.self.id);
  node.disk.clear();
  assignNewIdentity(node);
  node.isNewcomer = true;
  note(node.self.name + " loses its disk");
}

bool TallyFleet::mayLackAdditions(Node const& node) const {
  bool const isRecent = cutEndsAt_.has_value() || now_ - lastCutAt_ < mergeTime;
  return isRecent && node.isPartitioned;
}

void TallyFleet::cut() {
  std::size_t const count = nodes_.size();
  string const zone = nodes_[pick(count)]->zone, second = nodes_[pick(count)]->zone;
  std::uint64_t const form = pick(4);
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
  lastCutAt_ = now_;
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
}

void TallyFleet::checkEnd() {
  for (std::unique_ptr<Node> const& node : nodes_) {
    if (!node->up) return fail("a node isn't up at the end");
    if (node->isNewcomer) return fail("a node wasn't admitted at the end");
    if (!node->replica->isServing()) return fail("a node doesn't serve at the end");
    if (node->replica->table().totals() != nodes_[firstMember()]->replica->table().totals())
      return fail("two nodes have different totals at the end");
    TallyTable table = node->replica->table();
    for (Acknowledged const& added : acknowledged_) {
      if (!mustBeVisible(added)) continue;
      TallyAdd const repeated{added.call.tally, addKeyOf(added.call.tally, added.call.id), added.call.change, wallMs()};
      if (table.add(OriginId(1), repeated).result == TallyTable::AddResult::added)
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
