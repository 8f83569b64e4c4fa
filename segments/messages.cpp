#include "segments/messages.hpp"

namespace tealshelf {

string scopedLotId(string_view tenant, string_view id) {
  if (tenant.empty()) return string(id);
  string scoped;
  // Escaped, so that no two pairs of names give the same text.
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
