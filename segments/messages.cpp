#include "segments/messages.hpp"

namespace tealshelf {

bool LotRecord::isHeldBy(NodeId store) const {
  return std::any_of(holders.begin(), holders.end(), [store](StoreRef const& holder) { return holder.id == store; });
}

}  // namespace tealshelf
