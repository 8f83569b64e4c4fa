// The cost of merging two replicas after a long partition.
#include "tallies/tally_replica.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace tealshelf;

namespace {
constexpr int addsPerSide = 100000, names = 1000;
constexpr int pushSizeInAdds = 1024;

struct Side {
  TallyReplica replica;
  explicit Side(std::uint64_t id)
      : replica(NodeId(id), TallyTiming{10, 80, Ms(250), Ms(500), Ms(60000), Ms(3600000)}, TallyDurability{2, 2}) {
    replica.beginOrigin(OriginId(10 + id));
    Member first, second;
    first.id = NodeId(1);
    second.id = NodeId(2);
    replica.setMembers({first, second});
    for (int i = 0; i < addsPerSide; ++i) {
      string const tally = "tally-" + std::to_string(i % names);
      string const callerId = hex(static_cast<std::uint64_t>(i) * 7919 + id);
      replica.add(TallyAdd{tally, addKeyOf(tally, callerId), 1 + i % 5, 1790000000000 + i});
    }
    sync();
  }
  void sync() {
    replica.takeRecords();
    replica.noteSynced(replica.known());
  }
};

struct Cost {
  int pushes = 0;
  std::size_t bytes = 0;
};
/// Delivers the pending pushes of one side to the other.
void exchange(Side& from, Side& to, TimePoint now, Cost& cost) {
  for (OutgoingPush const& push : from.replica.takePushes(now)) {
    string const message = serialize(push.push);
    ++cost.pushes;
    cost.bytes += message.size();
    TallyPush const received = deserialize<TallyPush>(message);
    to.replica.receive(received);
    to.sync();
    from.replica.receive(to.replica.replyTo(received), now);
  }
}
}  // namespace

TEST_GROUP(tallyMerge){};

TEST(tallyMerge, additionsOfBothSidesAreMergedInChunks) {
  Side left(1), right(2);
  TimePoint now(Ms(1000000));
  Cost cost;
  std::clock_t const begun = std::clock();
  for (int round = 0; round < 300 && left.replica.known() != right.replica.known(); ++round) {
    exchange(left, right, now, cost);
    exchange(right, left, now, cost);
  }
  double const cpuMs = 1000.0 * static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
  std::printf("%d pushes, %zu bytes, %.0f ms of processor for both sides\n", cost.pushes, cost.bytes, cpuMs);
  CHECK(left.replica.known() == right.replica.known());
  CHECK(left.replica.table().totals() == right.replica.table().totals());
  LONGS_EQUAL(names, left.replica.table().totals().size());
  constexpr int chunks = 2 * (addsPerSide / pushSizeInAdds + 1);
  CHECK(cost.pushes <= chunks + 4);
  constexpr std::size_t maxBytesPerAdd = 48;
  CHECK(cost.bytes <= 2 * addsPerSide * maxBytesPerAdd);
}
TEST(tallyMerge, storedSizeOfAMillionSettledAdditions) {
  TallyTable table(Ms(3600000));
  constexpr std::uint64_t million = 1000000, batchSize = 10000;
  OriginId const origin(1);
  for (std::uint64_t first = 1; first <= million; first += batchSize) {
    AddBatch batch{origin, first, {}};
    for (std::uint64_t i = 0; i < batchSize; ++i)
      batch.adds.push_back(TallyAdd{"t", AddKey{first, hash64(hex(first + i))}, 1, 1790000000000});
    table.apply(batch);
    table.settle({{origin, first + batchSize - 1}}, 1800000000000);
  }
  LONGS_EQUAL(million, table.rememberedCount());
  std::size_t const stored = serialize(table.state()).size();
  std::printf("%zu bytes on a disk for a million settled additions\n", stored);
  constexpr std::size_t maxBytesPerKey = 10;
  CHECK(stored <= million * maxBytesPerKey);
}
