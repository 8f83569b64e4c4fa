#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

enum class ItemState : char { queued, running, done };

/// One start of an item. It ends once the item is queued again or done; a later start of the item is another one.
struct ItemClaim {
  std::uint32_t item = 0;
  std::uint64_t number = 0;
};

/// The items of a lot at its primary: the only owner of their states.
///
/// What follows from the states, as the order in which items start, is kept here and changes with them. Performs no
/// I/O.
class ItemQueue {
 public:
  ItemQueue() = default;
  /// All items are queued.
  explicit ItemQueue(vector<ItemRecord> records);

  std::size_t size() const { return items_.size(); }
  /// The body is dropped once the item is done.
  ItemRecord const& record(std::uint32_t item) const { return items_.at(item).record; }
  /// True until the claim ends.
  bool isHeld(ItemClaim claim) const;
  /// The service for which an item was started last.
  string const& service(std::uint32_t item) const { return items_.at(item).service; }
  /// The queued items, in the order in which they start.
  std::set<std::uint32_t> const& queued() const { return queued_; }
  std::size_t running() const { return items_.size() - queued_.size() - done_; }
  /// Running items of each service that has any.
  std::map<string, std::size_t> const& runningByService() const { return runningByService_; }
  std::size_t unfinished() const { return items_.size() - done_; }
  /// Tokens of the items that are done.
  std::uint64_t doneTokens() const { return doneTokens_; }

  /// Starts a queued item for a service; throws std::logic_error if it isn't queued.
  ItemClaim start(std::uint32_t item, string service);
  /// Puts a running item back into the queue; no effect if the claim has ended.
  void release(ItemClaim claim);
  /// Marks a running item as done; false, without effect, if the claim has ended.
  bool finish(ItemClaim claim);
  /// Marks all queued items as done; returns them.
  vector<std::uint32_t> finishQueued();
  /// Counts an answer with status 500; returns the number of them.
  std::uint64_t addFailure(std::uint32_t item) { return ++items_.at(item).failures; }
  /// Marks exactly the items that have a result as done, after a recovery. Items that were done and lost their result
  /// are queued again, with the records that `load` returns; running items without a result keep running.
  void restore(std::set<std::uint32_t> const& withResult, std::function<vector<ItemRecord>()> const& load);

 private:
  struct Item {
    ItemRecord record;
    ItemState state = ItemState::queued;
    string service;              ///< that runs it
    std::uint64_t claim = 0;     ///< number of its last start
    std::uint64_t failures = 0;  ///< answers with status 500
  };
  /// The only place at which an item changes its state.
  void setState(std::uint32_t item, ItemState next);
  void markDone(std::uint32_t item);

  vector<Item> items_;
  std::set<std::uint32_t> queued_;
  std::map<string, std::size_t> runningByService_;
  std::size_t done_ = 0;
  std::uint64_t lastClaim_ = 0;
  std::uint64_t doneTokens_ = 0;
};

}  // namespace tealshelf
