// Coordinators and clients of the simulated lots.
#include "tests/lots/lot_fleet_sim.hpp"

namespace tealshelf::sim {

bool LotFleet::isDead(Control const& node, NodeId store) const {
  auto const last = node.lastHeartbeats.find(store);
  return last == node.lastHeartbeats.end() || now_ - last->second.second > inTouch * 3 / 10;
}

bool LotFleet::isDiskReplaced(Control const& node, StoreRef const& holder) const {
  auto const last = node.lastHeartbeats.find(holder.id);
  TimePoint const lastAt = last == node.lastHeartbeats.end() ? TimePoint() : last->second.second;
  return std::any_of(node.lastHeartbeats.begin(), node.lastHeartbeats.end(), [&](auto const& item) {
    auto const& [ref, at] = item.second;
    return ref.name == holder.name && ref.id != holder.id && at > lastAt;
  });
}

vector<StoreRef> LotFleet::chooseHolders(Control const& node, string const& lot, std::set<NodeId> const& excluded,
                                         vector<StoreRef> holders) const {
  vector<StoreRef> live;
  for (auto const& [id, last] : node.lastHeartbeats)
    if (now_ - last.second <= inTouch / 4 && !excluded.contains(id)) live.push_back(last.first);
  std::sort(live.begin(), live.end(), [seed = hash64(lot)](StoreRef const& left, StoreRef const& right) {
    return hash64(left.name, seed) > hash64(right.name, seed);
  });
  for (bool const otherZonesOnly : {true, false})
    for (StoreRef const& store : live) {
      auto const shares = [&store, otherZonesOnly](StoreRef const& holder) {
        return holder.name == store.name || (otherZonesOnly && holder.zone == store.zone);
      };
      if (holders.size() < neededCopies && std::none_of(holders.begin(), holders.end(), shares))
        holders.push_back(store);
    }
  return holders;
}

std::set<NodeId> LotFleet::failedHoldersOf(LotStatus const& status, GenerationStamp stamp) const {
  return mutation_ == Mutation::reportsOutliveStamps ? status.everFailed : status.reports.failedUnder(stamp);
}

bool LotFleet::needsRecovery(Control const& node, LotRecord const& lot, LotStatus const& status) const {
  if (lot.state != LotState::accepted) return false;
  if (status.reports.requireRecovery(lot.stamp) || lot.holders.size() < neededCopies) return true;
  if (!failedHoldersOf(status, lot.stamp).empty()) return true;
  return std::any_of(lot.holders.begin(), lot.holders.end(),
                     [&](StoreRef const& holder) { return isDead(node, holder.id) || isDiskReplaced(node, holder); });
}

void LotFleet::startDueRecoveries(Control& node) {
  for (auto const& [id, lot] : node.records) {
    LotStatus& status = node.lots[id];
    bool const mayTry = !status.recovering && now_ - status.lastTriedAt >= inTouch / 10;
    bool const isSkipped = mutation_ == Mutation::failedRecoveryIsNotRetried && status.lastRecoveryFailed;
    if (mayTry && !isSkipped && needsRecovery(node, lot, status)) startRecovery(node, lot);
  }
}

void LotFleet::startRecovery(Control& node, LotRecord const& lot) {
  LotStatus& status = node.lots[lot.id];
  RecoveryStart start{lot, {}, 0, failedHoldersOf(status, lot.stamp), {}, neededCopies};
  for (StoreRef const& holder : lot.holders) {
    if (isDiskReplaced(node, holder))
      ++start.lostDisks;
    else if (!isDead(node, holder.id) && !start.failed.contains(holder.id))
      start.live.push_back(holder);
  }
  status.recovering = true;
  RecoveryTask task;
  task.node = node.index;
  task.incarnation = node.incarnation;
  task.epoch = *node.epoch;
  task.lot = lot.id;
  task.dueAt = now_;
  task.recovery = std::make_unique<LotRecovery>(std::move(start));
  tasks_.push_back(std::move(task));
}

void LotFleet::advanceRecovery(RecoveryTask& task) {
  Control& node = *controls_[task.node];
  if (node.incarnation != task.incarnation) task.ended = true;
  if (task.ended || !runs(node) || now_ < task.dueAt) return;
  namespace action = recovery_step;
  RecoveryStep const step = task.recovery->step();
  if (action::InspectHolders const* const inspect = std::get_if<action::InspectHolders>(&step))
    return advanceInspect(task, *inspect);
  if (action::MakeCopies const* const make = std::get_if<action::MakeCopies>(&step)) return advanceCopies(task, *make);
  if (action::SettleHolders const* const settle = std::get_if<action::SettleHolders>(&step))
    return advanceSettle(task, *settle);
  if (action::FenceStore const* const fence = std::get_if<action::FenceStore>(&step)) {
    task.recovery->fenced(fenceAtMajority(node, fence->store) || mutation_ == Mutation::skipsFence);
  } else if (std::holds_alternative<action::AllocateStamp>(step)) {
    task.recovery->stamped(freshStamp(node, task.epoch));
  } else if (action::SaveRecord const* const save = std::get_if<action::SaveRecord>(&step)) {
    std::uint64_t const under = mutation_ == Mutation::staleOwnerWrites ? node.epoch.value_or(task.epoch) : task.epoch;
    bool const saved = commit(node, save->lot, under);
    if (saved && pick(12) == 0) powerOff_ = save->lot;
    if (saved)
      note(task.lot + " recovered by control " + std::to_string(task.node) + " under stamp " +
           hex(save->lot.stamp.value));
    task.recovery->saved(saved);
  } else {
    return endRecovery(task, std::get<action::End>(step).outcome);
  }
  beginNextStep(task);
}

void LotFleet::beginNextStep(RecoveryTask& task) {
  task.holderIndex = 0;
  task.call.reset();
  task.replies.clear();
  task.settled.clear();
  task.copies.reset();
  task.dueAt = now_ + Ms(10 + static_cast<std::int64_t>(pick(50)));
}

void LotFleet::endRecovery(RecoveryTask& task, RecoveryOutcome outcome) {
  Control& node = *controls_[task.node];
  LotStatus& status = node.lots[task.lot];
  status.recovering = false;
  status.lastTriedAt = now_;
  bool const isDone = outcome == RecoveryOutcome::done || outcome == RecoveryOutcome::copiesRefused;
  status.lastRecoveryFailed = !isDone;
  if (isDone) ++recoveries_;
  if (isDone) status.everFailed.clear();
  if (outcome == RecoveryOutcome::noLiveHolder) {
    status.reports.clear();
    status.everFailed.clear();
  }
  if (!isDone)
    note("recovery of " + task.lot + " failed at control " + std::to_string(task.node) + ": " +
         string(nameOf(outcome)) + "; " + task.recovery->describe());
  task.ended = true;
}

void LotFleet::advanceInspect(RecoveryTask& task, recovery_step::InspectHolders const& step) {
  if (task.call && !task.call->done) return;
  if (task.call) {
    if (task.call->accepted) task.replies.back() = *task.reply;
    ++task.holderIndex;
    task.call.reset();
  }
  if (task.holderIndex == step.holders.size()) {
    task.recovery->inspected(task.replies);
    return beginNextStep(task);
  }
  LotKey const key{"", task.lot};
  task.replies.emplace_back();
  task.reply = std::make_shared<InspectReplicaReply>();
  task.call = callStore(
      task.node, step.holders[task.holderIndex],
      [reply = task.reply, key](Store& store) {
        *reply = store.table.inspect(key);
        reply->self = store.self.id;
        if (store.runs.contains(key)) store.runs[key].stalled = true;
        return true;
      },
      inTouch / 4);
}

void LotFleet::advanceCopies(RecoveryTask& task, recovery_step::MakeCopies const& step) {
  if (task.call && !task.call->done) return;
  if (!task.copies) {
    task.copies = RecoveryCopies{step.holders, 0, 0};
    task.excluded = step.excluded;
  }
  if (task.call) {
    (task.call->accepted ? task.copies->made : task.copies->refused) += 1;
    if (task.call->accepted)
      task.copies->holders.push_back(*task.target);
    else
      task.excluded.insert(task.target->id);
    task.call.reset();
  }
  Control const& node = *controls_[task.node];
  vector<StoreRef> const chosen = chooseHolders(node, task.lot, task.excluded, task.copies->holders);
  if (chosen.size() <= task.copies->holders.size()) {
    RecoveryCopies const copies = *task.copies;
    task.recovery->copied(copies);
    return beginNextStep(task);
  }
  task.target = chosen[task.copies->holders.size()];
  StoreRef const sourceRef = step.sources[(task.copies->made + task.copies->refused) % step.sources.size()];
  task.call = callStore(
      task.node, *task.target,
      [this, request = step.request, sourceRef](Store& store) {
        Store const& source = *storeOf(sourceRef);
        if (!source.up || source.self.id != sourceRef.id || !linked(machineOf(source), machineOf(store))) return false;
        Replica const& replica = source.table.readAtLeast(request.lot.key(), request.minSourceStamp, request.results);
        vector<string> results = replica.results;
        results.resize(request.results);
        store.table.create(request.lot, replica.items, std::move(results));
        return true;
      },
      inTouch / 2, mutation_ != Mutation::namesUnsyncedCopies);
}

void LotFleet::advanceSettle(RecoveryTask& task, recovery_step::SettleHolders const& step) {
  if (task.call && !task.call->done) return;
  if (task.call) {
    if (task.call->accepted) task.settled.push_back(step.holders[task.holderIndex]);
    ++task.holderIndex;
    task.call.reset();
  }
  if (task.holderIndex == step.holders.size()) {
    vector<StoreRef> const settled = task.settled;
    task.recovery->settled(settled);
    return beginNextStep(task);
  }
  task.call = callStore(
      task.node, step.holders[task.holderIndex],
      [request = step.request](Store& store) {
        store.table.settle(request.key(), request.oldStamp, request.newStamp, request.length);
        if (store.runs.contains(request.key())) store.runs[request.key()].stalled = true;
        return true;
      },
      inTouch / 4);
}

bool LotFleet::fenceAtMajority(Control& node, NodeId store) {
  std::size_t fencedAt = 0;
  for (std::unique_ptr<Control> const& other : controls_)
    if (runs(*other) && linked(node.index, other->index)) fencedAt += other->leases->fence(store, now_);
  return fencedAt > controls_.size() / 2;
}

std::optional<GenerationStamp> LotFleet::freshStamp(Control& node, std::uint64_t epoch) {
  bool const ignoresEpoch = mutation_ == Mutation::staleOwnerWrites;
  if (node.epoch != epoch && !ignoresEpoch) return std::nullopt;
  return GenerationStamp(epoch << 32 | ++node.stamps);
}

void LotFleet::submit() {
  Control& node = *controls_[committed_.owner];
  if (!node.epoch || !runs(node)) return;
  Submission submission;
  submission.node = node.index;
  submission.lot.id = "lot-" + std::to_string(lotCount_);
  submission.lot.itemCount = items;
  submission.lot.holders = chooseHolders(node, submission.lot.id, {}, {});
  if (submission.lot.holders.size() < neededCopies) return;
  ++lotCount_;
  submission.lot.stamp = *freshStamp(node, *node.epoch);
  node.lots[submission.lot.id].openedAt = now_;
  if (!commit(node, submission.lot, *node.epoch)) return;
  submission.dueAt = now_ + randomDelay();
  submissions_.push_back(std::move(submission));
}

void LotFleet::advanceSubmission(Submission& submission) {
  if (now_ < submission.dueAt || (submission.call && !submission.call->done)) return;
  if (submission.call) submission.synced += submission.call->accepted;
  submission.call.reset();
  LotRecord const& lot = submission.lot;
  if (submission.holderIndex < lot.holders.size()) {
    submission.call = callStore(
        submission.node, lot.holders[submission.holderIndex++],
        [lot](Store& store) {
          store.table.create(lot, "items", {});
          return true;
        },
        inTouch / 4);
    return;
  }
  submission.ended = true;
  Control& node = *controls_[committed_.owner];
  if (submission.synced < neededCopies || !runs(node) || !node.epoch) return;
  auto const record = node.records.find(lot.id);
  bool const isOpen =
      record != node.records.end() && record->second.state == LotState::opening && record->second.stamp == lot.stamp;
  if (!isOpen || now_ - node.lots[lot.id].openedAt >= inTouch / 2) return;
  LotRecord next = lot;
  next.state = LotState::accepted;
  if (!commit(node, next, *node.epoch)) return;
  accepted_.insert(lot.id);
  note(lot.id + " accepted");
  if (pick(4) == 0) nextFaultAt_ = now_ + Ms(static_cast<std::int64_t>(pick(1500)));
  if (pick(12) == 0) powerOff_ = next;
}

void LotFleet::startRead() {
  if (accepted_.empty()) return;
  auto lot = accepted_.begin();
  std::advance(lot, static_cast<std::ptrdiff_t>(pick(accepted_.size())));
  Reader reader{{}, pick(edges), seen_[*lot].size(), now_ + randomDelay()};
  auto const cached = cachedRecords_.find({reader.edge, *lot});
  Control const& node = *controls_[committed_.owner];
  if (cached == cachedRecords_.end() && !confirmsOwnership(node)) return;
  reader.lot = cached == cachedRecords_.end() ? node.records.at(*lot) : cached->second;
  cachedRecords_[{reader.edge, *lot}] = reader.lot;
  readers_.push_back(std::move(reader));
}

void LotFleet::finishRead(Reader const& reader) {
  std::optional<std::size_t> const listed = read(reader.lot);
  if (!listed)
    cachedRecords_.erase({reader.edge, reader.lot.id});
  else if (*listed < reader.seenAtStart)
    fail("a listed result disappeared from " + reader.lot.id);
}

std::optional<std::size_t> LotFleet::read(LotRecord const& lot) {
  Store& store = *storeOf(lot.holders[0]);
  auto const run = store.runs.find(lot.key());
  Replica const* const replica = store.table.find(lot.key());
  bool const answers = store.up && store.self.id == lot.holders[0].id && run != store.runs.end() &&
                       run->second.lot.stamp == lot.stamp && hasLease(store) && replica &&
                       replica->lot.stamp == lot.stamp && replica->settledSinceStart;
  if (!answers) return std::nullopt;
  vector<string>& seen = seen_[lot.id];
  std::size_t const listed = std::min(run->second.listed, replica->results.size());
  for (std::size_t position = 0; position < listed; ++position) {
    if (position == seen.size()) seen.push_back(replica->results[position]);
    if (seen[position] != replica->results[position]) fail("a listed result changed in " + lot.id);
  }
  return listed;
}

}  // namespace tealshelf::sim
