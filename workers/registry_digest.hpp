#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// A worker without what changes with each heartbeat and is of no use to the data plane.
Worker publishedForm(Worker worker);

/// Digests of a registry of workers, a bucket of ids each, so that two control nodes find where they differ without
/// sending what they have in common. No input or output of its own.
///
/// A bucket's digest is the sum of its workers' hashes: a change costs one subtraction and one addition, and the order
/// in which workers came doesn't matter.
class RegistryDigest {
 public:
  /// At 3,000 workers a bucket holds about 12.
  static constexpr std::size_t bucketCount = 256;
  static std::size_t bucketOf(string const& workerId) { return hash64(workerId) % bucketCount; }
  /// What a worker adds to its bucket.
  static std::uint64_t hashOf(Worker const& worker);

  RegistryDigest() : buckets_(bucketCount, 0) {}
  void add(string const& workerId, std::uint64_t hash) { buckets_[bucketOf(workerId)] += hash; }
  void subtract(string const& workerId, std::uint64_t hash) { buckets_[bucketOf(workerId)] -= hash; }
  vector<std::uint64_t> const& buckets() const { return buckets_; }
  /// One digest for all buckets; of the same buckets always the same.
  std::uint64_t total() const;
  /// The buckets in which another registry differs; all of them if it has another number of buckets.
  std::set<std::uint32_t> differingFrom(vector<std::uint64_t> const& other) const;

 private:
  vector<std::uint64_t> buckets_;
};

}  // namespace tealshelf
