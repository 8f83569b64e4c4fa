#pragma once
#include "fleet/nodes.hpp"

namespace tealshelf {

/// A worker's record without the fields that change with each heartbeat and that the data plane doesn't need.
Worker publishedForm(Worker worker);

/// Digests of a registry of workers, one for each bucket of ids, by which two control nodes find the buckets that
/// differ without sending those that are equal. Performs no I/O.
///
/// A bucket's digest is the sum of its workers' hashes: a change costs one subtraction and one addition, and the order
/// in which workers were added doesn't matter.
class RegistryDigest {
 public:
  /// At 3,000 workers a bucket holds about 12.
  static constexpr std::size_t bucketCount = 256;
  static std::size_t bucketOf(string const& workerId) { return hash64(workerId) % bucketCount; }
  /// The hash that a worker adds to its bucket's digest.
  static std::uint64_t hashOf(Worker const& worker);

  RegistryDigest() : buckets_(bucketCount, 0) {}
  void add(string const& workerId, std::uint64_t hash) { buckets_[bucketOf(workerId)] += hash; }
  void subtract(string const& workerId, std::uint64_t hash) { buckets_[bucketOf(workerId)] -= hash; }
  vector<std::uint64_t> const& buckets() const { return buckets_; }
  /// One digest of all buckets; equal for equal buckets.
  std::uint64_t total() const;
  /// The buckets in which another registry differs; all if its number of buckets differs.
  std::set<std::uint32_t> differingFrom(vector<std::uint64_t> const& other) const;

 private:
  vector<std::uint64_t> buckets_;
};

}  // namespace tealshelf
