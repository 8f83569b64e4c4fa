#pragma once
#include "lots/messages.hpp"

namespace tealshelf {

/// The replicas that stores confirmed in their present life, by store.
class ConfirmedReplicas {
 public:
  /// Takes in an answer; one of another disk than the one asked counts for nothing.
  void add(NodeId asked, SegConfirm const& question, SegConfirmReply const& answer) {
    if (answer.self != asked) return;
    for (std::size_t i = 0; i < question.replicas.size() && i < answer.held.size(); ++i)
      if (answer.held[i]) held_.insert({asked, question.replicas[i]});
  }
  bool has(NodeId store, LotRecord const& lot) const { return held_.count({store, {lot.host, lot.id, lot.stamp}}); }

 private:
  struct Held {
    NodeId store;
    ReplicaMark mark;
    bool operator<(Held const& o) const {
      return std::tie(store, mark.host, mark.id, mark.stamp) < std::tie(o.store, o.mark.host, o.mark.id, o.mark.stamp);
    }
  };
  std::set<Held> held_;
};

inline bool namesStore(LotRecord const& lot, string const& store) {
  for (StoreRef const& h : lot.holders)
    if (h.name == store) return true;
  return false;
}

/// True if a store may be taken away, with its disk, as far as one lot goes: the record doesn't name
/// it, and enough others said themselves that they hold the lot. A record alone proves nothing: a
/// holder may have lost its disk since it was written.
inline bool freeOf(LotRecord const& lot, string const& store, ConfirmedReplicas const& confirmed, std::size_t needed) {
  if (namesStore(lot, store)) return false;
  if (lot.state == static_cast<int>(LotState::taking)) return true;
  std::size_t copies = 0;
  for (StoreRef const& h : lot.holders) copies += confirmed.has(h.id, lot);
  return copies >= needed;
}

/// Who holds a lot after its recovery. Leaving stores go only once enough others have it; until
/// then every whole copy is kept, the new ones too.
inline vector<StoreRef> holdersAfter(vector<StoreRef> const& kept, vector<StoreRef> const& staying,
                                     std::size_t needed) {
  if (staying.size() >= needed) return staying;
  vector<StoreRef> all = kept;
  for (StoreRef const& s : staying)
    if (std::find(all.begin(), all.end(), s) == all.end()) all.push_back(s);
  return all;
}

/// The stores for a recovery: `choose(barred)` gives the holders that would be left or taken. Stores that failed the
/// writer are barred, unless too few others are there: then they may get a fresh copy once they are back, as the lot
/// would stay without a writer for good.
template <class Choose>
vector<StoreRef> storesForRecovery(Choose choose, std::set<NodeId> const& failed, std::size_t needed) {
  vector<StoreRef> chosen = choose(failed);
  if (chosen.size() < needed) chosen = choose(std::set<NodeId>());
  return chosen;
}

}  // namespace tealshelf
