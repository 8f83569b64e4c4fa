#include "segments/messages.hpp"

namespace tealshelf {

string scopedLotId(string_view tenant, string_view id) {
  if (tenant.empty()) return string(id);
  string scoped;
  // Escapes '/' and '%' in the tenant's name, so that no two pairs (tenant, id) give the same result.
  for (char const c : tenant) {
    if (c == '/' || c == '%') scoped += '%';
    scoped += c;
  }
  scoped += '/';
  scoped += id;
  return scoped;
}

bool LotRecord::isHeldBy(NodeId store) const {
  return containsStore(holders, store);
}

}  // namespace tealshelf
