#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

enum class ItemState : char { queued, running, done };

/// A lot that this store runs as its primary.
struct LotRun {
  /// One item on its way to its result.
  struct Item {
    ItemRecord record;  ///< its body is let go once the item is done
    ItemState state = ItemState::queued;
    std::uint64_t failures = 0;
  };

  LotRecord lot;
  vector<Item> items;
  std::size_t nextItem = 0;  ///< no item before it is queued
  std::uint64_t listedResults = 0;
  std::uint64_t finishedTokens = 0;
  std::deque<ResultRecord> unlistedResults;  ///< results that aren't on all holders yet
  /// No item is started and nothing is listed until the coordinator's next record.
  bool stalled = false;
  /// It was given up here; what is under way ends without effect.
  bool abandoned = false;
  /// This store's own disk failed it, so that it needs a fresh stamp.
  bool needsSettlement = false;
  std::set<NodeId> failedHolders;
  std::set<std::shared_ptr<asio::steady_timer>> readers;  ///< reads that are held; cancelled when there is news

  bool ended() const { return lot.state == LotState::ended; }
  /// True once nothing more will be listed under this stamp: all is listed, or the lot was ended and nothing of it is
  /// under way.
  bool isFinal() const {
    if (listedResults >= items.size()) return true;
    bool const underWay = !unlistedResults.empty() || std::any_of(items.begin(), items.end(), [](Item const& item) {
      return item.state == ItemState::running;
    });
    return ended() && !underWay;
  }
  void wakeReaders() const {
    for (std::shared_ptr<asio::steady_timer> const& reader : readers) reader->cancel();
  }
};

}  // namespace tealshelf
