#include "lots/execution/item_queue.hpp"

namespace tealshelf {

ItemQueue::ItemQueue(vector<ItemRecord> records) : items_(records.size()) {
  for (std::uint32_t item = 0; item < items_.size(); ++item) {
    items_[item].record = std::move(records[item]);
    queued_.insert(item);
  }
}

void ItemQueue::setState(std::uint32_t item, ItemState next) {
  Item& changed = items_.at(item);
  if (changed.state == ItemState::queued) queued_.erase(item);
  if (changed.state == ItemState::running && !--runningByService_[changed.service])
    runningByService_.erase(changed.service);
  if (changed.state == ItemState::done) {
    --done_;
    doneTokens_ -= changed.record.tokens;
  }
  changed.state = next;
  if (next == ItemState::queued) queued_.insert(item);
  if (next == ItemState::running) ++runningByService_[changed.service];
  if (next == ItemState::done) {
    ++done_;
    doneTokens_ += changed.record.tokens;
  }
}

ItemClaim ItemQueue::start(std::uint32_t item, string service) {
  if (!queued_.contains(item)) throw std::logic_error("started an item that isn't queued");
  items_[item].service = std::move(service);
  items_[item].claim = ++lastClaim_;
  setState(item, ItemState::running);
  return {item, lastClaim_};
}

bool ItemQueue::isHeld(ItemClaim claim) const {
  Item const& item = items_.at(claim.item);
  return item.state == ItemState::running && item.claim == claim.number;
}

void ItemQueue::release(ItemClaim claim) {
  if (isHeld(claim)) setState(claim.item, ItemState::queued);
}

bool ItemQueue::finish(ItemClaim claim) {
  if (!isHeld(claim)) return false;
  markDone(claim.item);
  return true;
}

vector<std::uint32_t> ItemQueue::finishQueued() {
  vector<std::uint32_t> const finished(queued_.begin(), queued_.end());
  for (std::uint32_t const item : finished) markDone(item);
  return finished;
}

void ItemQueue::markDone(std::uint32_t item) {
  setState(item, ItemState::done);
  string().swap(items_[item].record.body);
}

void ItemQueue::restore(std::set<std::uint32_t> const& withResult, std::function<vector<ItemRecord>()> const& load) {
  bool lostResults = false;
  for (std::uint32_t item = 0; item < items_.size(); ++item) {
    bool const wasDone = items_[item].state == ItemState::done;
    if (withResult.contains(item) == wasDone) continue;
    if (!wasDone) {
      setState(item, ItemState::done);
      continue;
    }
    setState(item, ItemState::queued);
    lostResults = true;
  }
  if (!lostResults) return;
  vector<ItemRecord> records = load();
  for (std::uint32_t item = 0; item < items_.size(); ++item) items_[item].record = std::move(records.at(item));
}

}  // namespace tealshelf
