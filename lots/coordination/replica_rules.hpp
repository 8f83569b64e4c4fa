#pragma once
#include "lots/messages.hpp"

/// Rules on the holders of a lot; they do no I/O.
namespace tealshelf {

/// Replicas that stores confirmed to hold.
class ConfirmedReplicas {
 public:
  /// Adds a store's answer; ignores it if the store has another disk than the one asked.
  void add(NodeId asked, ConfirmReplicas const& request, ConfirmReplicasReply const& reply) {
    if (reply.self != asked) return;
    for (std::size_t i = 0; i < request.replicas.size() && i < reply.held.size(); ++i)
      if (reply.held[i]) held_.insert({asked, request.replicas[i]});
  }
  bool has(NodeId store, LotRecord const& lot) const {
    return held_.contains({store, {lot.host, lot.id, lot.lowestReplicaStamp()}});
  }

 private:
  struct Held {
    NodeId store;
    ReplicaVersion replica;
    auto operator<=>(Held const&) const = default;
  };
  std::set<Held> held_;
};

inline bool namesStore(LotRecord const& lot, string const& store) {
  return std::any_of(lot.holders.begin(), lot.holders.end(),
                     [&store](StoreRef const& holder) { return holder.name == store; });
}

/// True if one lot doesn't prevent the removal of a store with its disk: the record doesn't name the store, and enough
/// holders confirmed their replicas. The record alone isn't enough: a holder may have lost its disk since it was
/// written.
inline bool canRemoveStore(LotRecord const& lot, string const& store, ConfirmedReplicas const& confirmed,
                           std::size_t needed) {
  if (namesStore(lot, store)) return false;
  if (lot.state == LotState::opening) return true;
  std::size_t copies = 0;
  for (StoreRef const& holder : lot.holders) copies += confirmed.has(holder.id, lot);
  return copies >= needed;
}

/// The holders of a lot after its recovery. Retiring stores are left out only if enough others have the lot; otherwise
/// every intact copy is kept, the new ones too.
inline vector<StoreRef> holdersAfterRecovery(vector<StoreRef> const& settled, vector<StoreRef> const& staying,
                                             std::size_t needed) {
  if (staying.size() >= needed) return staying;
  vector<StoreRef> all = settled;
  for (StoreRef const& store : staying)
    if (std::find(all.begin(), all.end(), store) == all.end()) all.push_back(store);
  return all;
}

/// The holders for a recovery: `choose(excluded)` returns the holders that stay or get a copy. Stores that failed the
/// primary are excluded, unless too few others are available: then they may get a fresh copy, as the lot would
/// otherwise never have a primary again.
template <class Choose>
vector<StoreRef> storesForRecovery(Choose choose, std::set<NodeId> const& failed, std::size_t needed) {
  vector<StoreRef> chosen = choose(failed);
  if (chosen.size() < needed) chosen = choose(std::set<NodeId>());
  return chosen;
}

}  // namespace tealshelf
