#pragma once
#include "lots/messages.hpp"

/// Rules on the holders of a lot, without input or output.
namespace tealshelf {

/// The replicas that stores confirmed in their present process, by store.
class ConfirmedReplicas {
 public:
  /// Takes in an answer; one of another disk than the one asked counts for nothing.
  void add(NodeId asked, ConfirmReplicas const& question, ConfirmReplicasReply const& answer) {
    if (answer.self != asked) return;
    for (std::size_t i = 0; i < question.replicas.size() && i < answer.held.size(); ++i)
      if (answer.held[i]) held_.insert({asked, question.replicas[i]});
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

/// True if a store may be taken away, with its disk, as far as one lot goes: the record doesn't name it, and enough
/// others said themselves that they hold the lot. A record alone proves nothing: a holder may have lost its disk since
/// it was written.
inline bool canRemoveStore(LotRecord const& lot, string const& store, ConfirmedReplicas const& confirmed,
                           std::size_t needed) {
  if (namesStore(lot, store)) return false;
  if (lot.state == LotState::opening) return true;
  std::size_t copies = 0;
  for (StoreRef const& holder : lot.holders) copies += confirmed.has(holder.id, lot);
  return copies >= needed;
}

/// Who holds a lot after its recovery. Leaving stores go only once enough others have it; until then every intact copy
/// is kept, the new ones too.
inline vector<StoreRef> holdersAfterRecovery(vector<StoreRef> const& settled, vector<StoreRef> const& staying,
                                             std::size_t needed) {
  if (staying.size() >= needed) return staying;
  vector<StoreRef> all = settled;
  for (StoreRef const& store : staying)
    if (std::find(all.begin(), all.end(), store) == all.end()) all.push_back(store);
  return all;
}

/// The stores for a recovery: `choose(excluded)` gives the holders that would be left or taken. Stores that failed the
/// writer are excluded, unless too few others are there: then they may get a fresh copy once they are back, as the lot
/// would stay without a writer for good.
template <class Choose>
vector<StoreRef> storesForRecovery(Choose choose, std::set<NodeId> const& failed, std::size_t needed) {
  vector<StoreRef> chosen = choose(failed);
  if (chosen.size() < needed) chosen = choose(std::set<NodeId>());
  return chosen;
}

}  // namespace tealshelf
