#include "lots/replicas/store_metrics.hpp"

namespace tealshelf {

namespace {
std::size_t bytesOf(Replica const& replica) {
  std::size_t bytes = replica.items.size();
  for (string const& result : replica.results) bytes += result.size();
  return bytes;
}
}  // namespace

StoreMetrics::StoreMetrics()
    : replicas_(metrics().gauge("tealshelf_store_replicas", "Replicas of lots on this store.")),
      damaged_(metrics().gauge("tealshelf_store_damaged_replicas", "Replicas of which records may be lost.")),
      replicaBytes_(metrics().gauge("tealshelf_store_replica_bytes", "Bytes of items and results of all replicas.")),
      unusable_(metrics().gauge("tealshelf_store_unusable_replicas", "Replicas wanted here that can't be used.")),
      hasLease_(metrics().gauge("tealshelf_store_has_lease", "1 while a majority grants this store its lease.")) {}

void StoreMetrics::sample(ReplicaTable const& replicas, std::size_t unusable, bool hasLease) {
  std::size_t damaged = 0, bytes = 0;
  replicas.forEach([&](Replica const& replica) {
    bytes += bytesOf(replica);
    if (!replica.intact) ++damaged;
  });
  replicas_.setCount(replicas.size());
  damaged_.setCount(damaged);
  replicaBytes_.setCount(bytes);
  unusable_.setCount(unusable);
  hasLease_.setCount(hasLease);
}

}  // namespace tealshelf
