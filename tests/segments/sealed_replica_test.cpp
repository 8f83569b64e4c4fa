#include "segments/replica_table.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace tealshelf;

namespace {
LotKey const key{"h", "lot"};

LotRecord lotRecordWithStamp(std::uint64_t stamp) {
  LotRecord lot;
  lot.host = key.host;
  lot.id = key.id;
  lot.itemCount = 2;
  lot.stamp = GenerationStamp(stamp);
  return lot;
}

string twoItems() {
  return serialize(vector<ItemRecord>{{"first", "/p", string(1000, 'b'), {}, 5}, {"second", "/p", "b", {}, 5}});
}

ErrorCode refusalOf(std::function<void()> const& call) {
  try {
    call();
  } catch (Error const& error) {
    return error.code();
  }
  return ErrorCode::unreadable;
}

std::size_t sumOfBytes(ReplicaTable const& table) {
  std::size_t sum = 0;
  table.forEach([&sum](Replica const& replica) { sum += replica.bytes(); });
  return sum;
}

ReplicaTable replayed(vector<string> const& records) {
  ReplicaTable table;
  for (string const& record : records) table.replay(record);
  return table;
}
}  // namespace

TEST_GROUP(sealedReplica) {
  ReplicaTable table;
  vector<string> log;
  void saveRecords() {
    for (string& record : table.takeRecords()) log.push_back(std::move(record));
  }
  void setup() override {
    table.create(lotRecordWithStamp(5), twoItems(), {});
    table.append(key, GenerationStamp(5), 0, {"a", "b"});
    saveRecords();
  }
};

TEST(sealedReplica, refusesAllChanges) {
  table.seal(key, GenerationStamp(5), 2);
  CHECK(refusalOf([&] { table.append(key, GenerationStamp(5), 2, {"c"}); }) == ErrorCode::staleStamp);
  CHECK(refusalOf([&] { table.settle(key, GenerationStamp(5), GenerationStamp(8), 1); }) == ErrorCode::staleStamp);
  LONGS_EQUAL(2, table.find(key)->results.size());
  saveRecords();
  std::size_t const records = log.size();
  table.seal(key, GenerationStamp(5), 2);
  saveRecords();
  LONGS_EQUAL(records, log.size());
}

TEST(sealedReplica, sealingAndReadingRequireStampAndResultCount) {
  CHECK(refusalOf([&] { table.seal(key, GenerationStamp(6), 2); }) == ErrorCode::staleStamp);
  CHECK(refusalOf([&] { table.seal(key, GenerationStamp(5), 3); }) == ErrorCode::staleStamp);
  CHECK_FALSE(table.find(key)->sealed);
  CHECK(refusalOf([&] { table.readAtLeast(key, GenerationStamp(6), 0); }) == ErrorCode::staleStamp);
  CHECK(refusalOf([&] { table.readAtLeast(key, GenerationStamp(5), 3); }) == ErrorCode::staleStamp);
  LONGS_EQUAL(2, table.readAtLeast(key, GenerationStamp(4), 2).results.size());
}

TEST(sealedReplica, dropsItemBodiesAndKeepsItemIds) {
  std::size_t const before = table.bytes();
  table.seal(key, GenerationStamp(5), 2);
  CHECK(table.bytes() + 1000 <= before);
  vector<ItemRecord> const items = deserialize<vector<ItemRecord>>(table.find(key)->items);
  STRCMP_EQUAL("first", items.at(0).id.c_str());
  STRCMP_EQUAL("second", items.at(1).id.c_str());
  CHECK(items.at(0).body.empty());
}

TEST(sealedReplica, isRestoredFromLogAndSnapshot) {
  table.seal(key, GenerationStamp(5), 1);
  saveRecords();
  ReplicaTable const fromLog = replayed(log), fromSnapshot = replayed(table.snapshot());
  for (ReplicaTable const* const restarted : {&fromLog, &fromSnapshot}) {
    Replica const& replica = restarted->readAtLeast(key, GenerationStamp(5), 1);
    CHECK(replica.sealed && replica.intact);
    LONGS_EQUAL(1, replica.results.size());
    STRCMP_EQUAL(table.find(key)->items.c_str(), replica.items.c_str());
    LONGS_EQUAL(table.bytes(), restarted->bytes());
  }
}

/// The table's byte count decides whether a store accepts new replicas, so it must match the replicas after every
/// change and after a restart.
TEST(sealedReplica, byteCountMatchesTheReplicasAfterAnyChange) {
  std::mt19937_64 random(7);
  std::uint64_t stamp = 5;
  for (int step = 0; step < 400; ++step) {
    LotKey const other{"h", "lot-" + std::to_string(random() % 5)};
    LotRecord lot = lotRecordWithStamp(++stamp);
    lot.id = other.id;
    Replica const* const existing = table.find(other);
    switch (random() % 5) {
      case 0:
        table.create(lot, twoItems(), {});
        break;
      case 1:
        if (existing) refusalOf([&] { table.append(other, existing->lot.stamp, 0, {string(random() % 90, 'r')}); });
        break;
      case 2:
        refusalOf([&] { table.settle(other, GenerationStamp(1), lot.stamp, random() % 2); });
        break;
      case 3:
        refusalOf([&] { table.seal(other, GenerationStamp(1), random() % 2); });
        break;
      default:
        if (random() % 3 == 0) table.remove(other, lot.stamp);
    }
    saveRecords();
    LONGS_EQUAL(sumOfBytes(table), table.bytes());
  }
  LONGS_EQUAL(table.bytes(), replayed(log).bytes());
}
