#pragma once
#include "lots/execution/item_queue.hpp"

namespace tealshelf {

/// State of a lot that this store runs as its primary.
struct LotRun {
  LotRecord lot;
  ItemQueue items;
  std::uint64_t listedResults = 0;
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
    bool const inProgress = !unlistedResults.empty() || items.running() != 0;
    return ended() && !inProgress;
  }
  void wakeReaders() const {
    for (std::shared_ptr<asio::steady_timer> const& reader : readers) reader->cancel();
  }
};

}  // namespace tealshelf
