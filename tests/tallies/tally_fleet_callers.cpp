// Callers of the simulated nodes, and the checks of what they read.
#include "tests/tallies/tally_fleet_sim.hpp"

namespace tealshelf::sim {

bool TallyFleet::canCall(Node const& from, Node const& to) const {
  return to.up && !blocked_[from.index][to.index] && !blocked_[to.index][from.index];
}

vector<TallyFleet::Node*> TallyFleet::membersToAsk(Node const& node) {
  vector<Node*> members;
  for (Member const& member : node.installedMembers)
    if (member.name != node.self.name) members.push_back(nodes_[indexOf(member.name)].get());
  std::stable_partition(members.begin(), members.end(),
                        [&node](Node const* member) { return member->zone == node.zone; });
  return members;
}

TallyFleet::Node& TallyFleet::calledNode() {
  vector<Node*> forwarding;
  for (std::unique_ptr<Node> const& node : nodes_)
    if (!node->replica->isServing()) forwarding.push_back(node.get());
  bool const forwards = !forwarding.empty() && pick(2) == 0;
  return forwards ? *forwarding[pick(forwarding.size())] : *nodes_[pick(nodes_.size())];
}

TallyFleet::Call TallyFleet::nextCall() {
  bool const repeats = !calls_.empty() && pick(3) == 0;
  if (repeats) {
    std::size_t const recent = std::min<std::size_t>(calls_.size(), pick(4) ? 20 : calls_.size());
    return calls_[calls_.size() - 1 - pick(recent)];
  }
  Call call;
  call.tally = "t" + std::to_string(pick(tallies));
  call.id = "id" + std::to_string(calls_.size());
  call.change = 1 + static_cast<std::int64_t>(pick(9));
  calls_.push_back(call);
  sent_[call.tally] += call.change;
  return call;
}

void TallyFleet::call(Node& node) {
  if (!node.up || isFrozen(node)) return;
  if (node.replica->isServing()) return addAt(node, nextCall(), std::nullopt);
  for (Node* const member : membersToAsk(node)) {
    if (!canCall(node, *member)) continue;
    // The outcome at a frozen member is unknown, so the call isn't forwarded to another one.
    if (isFrozen(*member)) return;
    if (!member->replica->isServing()) continue;
    return addAt(*member, nextCall(), Forwarder{node.index, node.life});
  }
}

void TallyFleet::addAt(Node& node, Call const& call, std::optional<Forwarder> forwarder) {
  TallyAdd add{call.tally, addKeyOf(call.tally, call.id), call.change, wallMs()};
  TallyTable::AddOutcome const outcome = node.replica->add(std::move(add));
  if (outcome.result == TallyTable::AddResult::conflicting)
    return fail("a repeated addition is treated as conflicting");
  flush(node);
  WaitingCaller const caller{call, outcome.position.value_or(AddPosition()), now_ + callLimit, forwarder};
  if (!outcome.position)
    acknowledge(node, caller, std::nullopt);
  else
    node.callers.push_back(caller);
  answerCallers(node);
  sendPushes(node);
}

void TallyFleet::answerCallers(Node& node) {
  for (WaitingCaller const& caller : node.callers)
    if (isAnswered(node, caller)) acknowledge(node, caller, caller.position);
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

void TallyFleet::acknowledge(Node& node, WaitingCaller const& caller, std::optional<AddPosition> position) {
  Node& answering = caller.forwarder ? *nodes_[caller.forwarder->index] : node;
  VersionVector const including = node.replica->including(position);
  node.session.noteAcknowledged(including);
  if (caller.forwarder) {
    bool const arrives = canCall(node, answering) && answering.life == caller.forwarder->life && !isFrozen(answering);
    if (!arrives) return;
    answering.session.noteAcknowledged(including);
  }
  Call const& call = caller.call;
  bool const mayBeLost = cutEndsAt_.has_value() || now_ < recoveringUntil_ || lostMembers() > survive;
  Acknowledged const added{call, now_, node.self.id, mayBeLost};
  acknowledged_.push_back(added);
  answering.acknowledgedInThisLife.insert_or_assign({call.tally, call.id}, added);
  acknowledgedNow_ = node.index;
  if (caller.forwarder && std::exchange(killsNextCounting_, false)) stop(node, false);
  note(answering.self.name + " acknowledged " + call.id + " of " + call.tally + " +" + std::to_string(call.change) +
       (caller.forwarder ? ", counted by " + node.self.name : ""));
}

TallyFleet::Node* TallyFleet::answeringNode(Node& node) {
  if (mutation_ == Mutation::readsBeforeCatchUp && node.hasDisk) return &node;
  VersionVector const& required = node.session.required();
  bool const hasAll = includes(node.replica->knownOf(required), required);
  if (node.replica->isServing() && hasAll) return &node;
  return forwardRead(node);
}

TallyFleet::Node* TallyFleet::forwardRead(Node& node) {
  ++forwardedReads_;
  TallySurvey survey;
  survey.required = node.session.required();
  survey.add(node.replica->knownOf(survey.required));
  for (Node* const member : membersToAsk(node)) {
    if (!canCall(node, *member) || isFrozen(*member) || !member->replica->isServing()) {
      survey.isComplete = false;
      continue;
    }
    VersionVector const known = member->replica->knownOf(survey.required);
    if (mutation_ == Mutation::readsAtAnyMember) return member;
    if (includes(known, survey.required)) {
      node.session.noteMet();
      return member;
    }
    survey.hasAnswer = true;
    survey.add(known);
  }
  if (survey.hasAnswer) node.session.noteUnmet(survey, now_);
  return nullptr;
}

void TallyFleet::read(Node& node) {
  if (!node.up || isFrozen(node)) return;
  Node const* const answering = answeringNode(node);
  if (answering) return checkRead(node, answering->replica->table());
  ++refusedReads_;
  checkRefusal(node);
}

void TallyFleet::checkRead(Node const& reader, TallyTable const& table) {
  std::map<string, std::map<string, std::int64_t>> expectedAdds;
  for (auto const& [key, added] : reader.acknowledgedInThisLife)
    if (mustBeVisible(added)) expectedAdds[added.call.tally][added.call.id] = added.call.change;
  // Additions acknowledged by other nodes are expected too, even if this node lost its disk meanwhile.
  bool const hasNoRecentCut = !cutEndsAt_ && now_ - lastCutAt_ > mergeTime && now_ - lastThawAt_ > mergeTime;
  if (hasNoRecentCut)
    for (Acknowledged const& added : acknowledged_)
      if (now_ - added.at > mergeTime && mustBeVisible(added) && hasBeenUp(added.by))
        expectedAdds[added.call.tally][added.call.id] = added.call.change;
  for (auto const& [tally, adds] : expectedAdds) {
    TallyTotal expectedTotal = 0;
    for (auto const& [id, change] : adds) expectedTotal += change;
    if (table.total(tally) >= expectedTotal) continue;
    noteMissing(reader, tally);
    note(reader.self.name + " reads " + std::to_string(static_cast<std::int64_t>(table.total(tally))) + " of " + tally +
         ", expected " + std::to_string(static_cast<std::int64_t>(expectedTotal)));
    return fail("a read misses an acknowledged addition");
  }
  for (auto const& [tally, sent] : sent_)
    if (table.total(tally) > sent) return fail("a read is larger than the sum of all additions");
}

void TallyFleet::checkRefusal(Node const& reader) {
  if (!isCalm() || hasLostAdditions(reader)) return;
  noteMissing(reader, "");
  fail(reader.self.name + " refuses a read in calm");
}

bool TallyFleet::isCalm() const {
  bool const hasNoRecentCut = !cutEndsAt_ && now_ - lastCutAt_ > mergeTime && now_ - lastThawAt_ > mergeTime;
  return hasNoRecentCut && std::all_of(nodes_.begin(), nodes_.end(), [this](std::unique_ptr<Node> const& node) {
           return node->up && !node->isNewcomer && now_ - node->upSince > mergeTime;
         });
}

bool TallyFleet::hasLostAdditions(Node const& node) const {
  return std::any_of(node.acknowledgedInThisLife.begin(), node.acknowledgedInThisLife.end(),
                     [this](auto const& entry) { return !mustBeVisible(entry.second); });
}

/// An acknowledged addition must be visible everywhere once `mergeMs` has passed without faults. Besides partitions,
/// only a recent outage of the acknowledging machine excuses a missing one: after a partition it may have the only
/// copy.
bool TallyFleet::hasBeenUp(NodeId id) const {
  return std::none_of(nodes_.begin(), nodes_.end(), [this, id](std::unique_ptr<Node> const& node) {
    return node->self.id == id && (!node->up || now_ - node->upSince <= mergeTime);
  });
}

}  // namespace tealshelf::sim
