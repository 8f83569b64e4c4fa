#include "workers/worker_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace tealshelf;

namespace {
NodeId const ownNode(1), otherNode(2);

Worker workerOf(int number, std::uint64_t heartbeatSequence, NodeId registrar) {
  Worker worker;
  worker.id = "i-" + std::to_string(number);
  worker.service = "s";
  worker.address = {"10.0.0.1", 80};
  worker.heartbeatSequence = heartbeatSequence;
  worker.registrar = registrar;
  return worker;
}

/// The expected digest, computed anew from the registry's workers.
std::uint64_t expectedTotal(WorkerRegistry const& registry) {
  RegistryDigest digest;
  for (Worker const& worker : registry.present())
    if (!worker.removed) digest.add(worker.id, RegistryDigest::hashOf(worker));
  return digest.total();
}
}  // namespace

TEST_GROUP(registryDigest) {
  TimePoint now = TimePoint() + std::chrono::hours(1);
  WorkerRegistry a{Ms(3600), ownNode}, b{Ms(3600), otherNode};

  /// Compares b with a and merges what differs into b.
  void compareBWithA() {
    std::set<std::uint32_t> const buckets = a.digest().differingFrom(b.digest().buckets());
    b.mergeBuckets(a.presentIn(buckets), buckets, ownNode, now, now);
  }
};

TEST(registryDigest, doesNotDependOnTheOrderOfArrival) {
  for (int number = 0; number < 50; ++number) a.merge(workerOf(number, 1, ownNode), now);
  for (int number = 49; number >= 0; --number) b.merge(workerOf(number, 7, ownNode), now);
  CHECK_EQUAL(a.digest().total(), b.digest().total());
  CHECK(a.digest().differingFrom(b.digest().buckets()).empty());
}

TEST(registryDigest, namesOnlyTheBucketsThatDiffer) {
  for (int number = 0; number < 500; ++number) {
    a.merge(workerOf(number, 1, ownNode), now);
    if (number != 123) b.merge(workerOf(number, 1, ownNode), now);
  }
  std::set<std::uint32_t> const buckets = a.digest().differingFrom(b.digest().buckets());
  LONGS_EQUAL(1, buckets.size());
  CHECK(buckets.contains(static_cast<std::uint32_t>(RegistryDigest::bucketOf("i-123"))));
  // A fraction of the registry is sent, not all of it.
  CHECK(a.presentIn(buckets).size() < 500 / 20);
  compareBWithA();
  CHECK_EQUAL(a.digest().total(), b.digest().total());
}

TEST(registryDigest, anotherNumberOfBucketsDiffersEverywhere) {
  CHECK_EQUAL(RegistryDigest::bucketCount, a.digest().differingFrom({1, 2, 3}).size());
  CHECK_EQUAL(RegistryDigest::bucketCount, a.digest().differingFrom({}).size());
}

TEST(registryDigest, workersNoLongerListedAreLostInTheComparedBucketsOnly) {
  for (int number = 0; number < 100; ++number) b.merge(workerOf(number, 1, ownNode), now);
  std::uint32_t const bucket = static_cast<std::uint32_t>(RegistryDigest::bucketOf("i-5"));
  b.mergeBuckets({}, {bucket}, ownNode, now, now);
  for (Worker const& worker : b.present()) CHECK(RegistryDigest::bucketOf(worker.id) != bucket);
  CHECK(b.present().size() > 90);
}

/// The answer to a comparison and a report of a worker use two connections and may overtake each other.
TEST(registryDigest, aWorkerReportedAfterTheQuestionIsNotLost) {
  b.merge(workerOf(1, 1, otherNode), now);
  TimePoint const askedAt = now;
  std::set<std::uint32_t> const buckets = a.digest().differingFrom({});
  vector<Worker> const answer = a.presentIn(buckets);
  // One worker is new, and one has moved from another control node.
  b.merge(workerOf(2, 1, ownNode), askedAt + Ms(1));
  b.merge(workerOf(1, 2, ownNode), askedAt + Ms(1));
  b.mergeBuckets(answer, buckets, ownNode, askedAt, askedAt + Ms(2));
  LONGS_EQUAL(2, b.present().size());
  // A later comparison that doesn't list them marks them as lost.
  b.mergeBuckets(answer, buckets, ownNode, askedAt + Ms(3), askedAt + Ms(4));
  LONGS_EQUAL(0, b.present().size());
}
TEST(registryDigest, workersOfAnotherRegistrarAreNotLost) {
  b.merge(workerOf(1, 1, NodeId(3)), now);
  compareBWithA();
  LONGS_EQUAL(1, b.present().size());
}

TEST(registryDigest, followsTheRegistryThroughRandomHistories) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    WorkerRegistry registry{Ms(3600), ownNode};
    TimePoint at = now;
    for (int step = 0; step < 400; ++step) {
      Worker worker = workerOf(static_cast<int>(random() % 40), random() % 20, random() % 2 ? ownNode : otherNode);
      worker.draining = random() % 8 == 0;
      worker.removed = random() % 16 == 0;
      worker.lost = random() % 16 == 0;
      registry.merge(worker, at);
      if (random() % 10 == 0) registry.setEjected(worker.id, random() % 2 == 0);
      if (random() % 20 == 0) registry.expire(at);
      if (random() % 30 == 0) registry.mergeAll({worker}, otherNode, at);
      at += Ms(static_cast<std::int64_t>(random() % 200));
      CHECK_EQUAL_TEXT(expectedTotal(registry), registry.digest().total(), std::to_string(seed).c_str());
    }
  }
}
