#include "workers/registry_digest.hpp"

namespace tealshelf {

Worker publishedForm(Worker worker) {
  worker.heartbeatSequence = 0;
  worker.warmupLeftMs = 0;
  worker.registrar = NodeId();
  worker.ejectionRevision = 0;
  return worker;
}

std::uint64_t RegistryDigest::hashOf(Worker const& worker) {
  return hash64(serialize(publishedForm(worker)));
}

std::uint64_t RegistryDigest::total() const {
  std::uint64_t total = bucketCount;
  for (std::uint64_t const bucket : buckets_) {
    total = (total ^ bucket) * 0x9e3779b97f4a7c15ull;
    total ^= total >> 32;
  }
  return total;
}

std::set<std::uint32_t> RegistryDigest::differingFrom(vector<std::uint64_t> const& other) const {
  std::set<std::uint32_t> differing;
  bool const comparable = other.size() == buckets_.size();
  for (std::uint32_t bucket = 0; bucket < buckets_.size(); ++bucket)
    if (!comparable || buckets_[bucket] != other[bucket]) differing.insert(bucket);
  return differing;
}

}  // namespace tealshelf
