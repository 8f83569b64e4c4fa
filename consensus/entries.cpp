#include "consensus/entries.hpp"

namespace tealshelf {

void mergeNewer(Entries& target, Entries const& source) {
  for (auto const& [key, entry] : source) {
    Entry& present = target[key];
    if (present.position() < entry.position()) present = entry;
  }
}

std::size_t byteSize(string const& key, Entry const& entry) {
  return key.size() + entry.value.size() + sizeof(Entry);
}

std::size_t byteSize(Entries const& entries) {
  std::size_t bytes = 0;
  for (auto const& [key, entry] : entries) bytes += byteSize(key, entry);
  return bytes;
}

}  // namespace tealshelf
