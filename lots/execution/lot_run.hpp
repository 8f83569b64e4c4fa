#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

enum class ItemState : char { queued, running, done };

/// State of a lot that this store runs as its primary.
struct LotRun {
  struct Item {
    ItemRecord record;  ///< its body is dropped once the item is done
    ItemState state = ItemState::queued;
    std::uint64_t failures = 0;  ///< answers with status 500
  };

  LotRecord lot;
  vector<Item> items;
  std::size_t nextItem = 0;  ///< all items before it are running or done
  std::uint64_t listedResults = 0;
  std::uint64_t finishedTokens = 0;
  std::deque<ResultRecord> unlistedResults;  ///< results that not all holders have synced yet
  /// No item is started and no result is listed until the coordinator sends a new record.
  bool stalled = false;
  /// The run has ended at this store; results of items still running are discarded.
  bool abandoned = false;
  /// An append to this store's own replica failed; the replica must be settled under a new stamp.
  bool needsSettlement = false;
  std::set<NodeId> failedHolders;                         ///< holders that refused or failed an append
  std::set<std::shared_ptr<asio::steady_timer>> readers;  ///< of waiting long polls; cancelled to answer them

  bool ended() const { return lot.state == LotState::ended; }
  /// True once no more results will be listed under this stamp: all are listed, or the lot was ended and none of its
  /// items or results is in progress.
  bool isFinal() const {
    if (listedResults >= items.size()) return true;
    bool const inProgress = !unlistedResults.empty() || std::any_of(items.begin(), items.end(), [](Item const& item) {
      return item.state == ItemState::running;
    });
    return ended() && !inProgress;
  }
  void wakeReaders() const {
    for (std::shared_ptr<asio::steady_timer> const& reader : readers) reader->cancel();
  }
};

}  // namespace tealshelf
