#include "tallies/tally_table.hpp"
#include "tallies/tally_records.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;
using AddResult = TallyTable::AddResult;

namespace {
constexpr Ms retention{8000};
OriginId const here(1), there(2);

TallyAdd addition(string const& id, std::int64_t change, std::int64_t acceptedAtMs = 100000) {
  return {"t", addKeyOf("t", id), change, acceptedAtMs};
}
AddBatch batch(OriginId origin, std::uint64_t first, vector<TallyAdd> adds) {
  return {origin, first, std::move(adds)};
}
void expectTotal(std::int64_t expected, TallyTable const& table) {
  CHECK(table.total("t") == expected);
}
}  // namespace

TEST_GROUP(tallyTable){};

TEST(tallyTable, anUnknownTallyReadsZero) {
  expectTotal(0, TallyTable(retention));
}
TEST(tallyTable, anIdCountsOnce) {
  TallyTable table(retention);
  CHECK(table.add(here, addition("a", 4)).result == AddResult::added);
  TallyTable::AddOutcome const again = table.add(here, addition("a", 4));
  CHECK(again.result == AddResult::repeated);
  CHECK((again.position == AddPosition{here, 1}));
  CHECK(table.add(here, addition("a", 5)).result == AddResult::conflicting);
  CHECK(table.add(here, addition("b", -1)).result == AddResult::added);
  expectTotal(3, table);
}
TEST(tallyTable, anIdAtAnotherTallyIsAnotherAddition) {
  TallyTable table(retention);
  table.add(here, addition("a", 4));
  TallyAdd other{"u", addKeyOf("u", "a"), 5, 100000};
  CHECK(table.add(here, other).result == AddResult::added);
  CHECK(table.total("u") == 5);
  // The boundary between name and id is part of the key.
  CHECK(addKeyOf("ab", "c") != addKeyOf("a", "bc"));
}
TEST(tallyTable, conflictingAdditionsConvergeInAnyOrder) {
  TallyTable left(retention), right(retention);
  left.add(here, addition("a", 4));
  right.add(there, addition("a", 3));
  CHECK(left.apply(batch(there, 1, {addition("a", 3)})));
  CHECK(right.apply(batch(here, 1, {addition("a", 4)})));
  expectTotal(3, left);
  expectTotal(3, right);
}
TEST(tallyTable, additionsAreAppliedInOrderAndOnce) {
  TallyTable table(retention);
  CHECK(!table.apply(batch(there, 2, {addition("b", 1)})));
  CHECK(table.apply(batch(there, 1, {addition("a", 1), addition("b", 1)})));
  CHECK(table.apply(batch(there, 2, {addition("b", 1), addition("c", 1)})));
  CHECK(!table.apply(batch(there, 1, {addition("a", 1), addition("b", 1)})));
  expectTotal(3, table);
  LONGS_EQUAL(3, table.lastOf(there));
}
TEST(tallyTable, aRepeatOfASettledAdditionIsDetected) {
  TallyTable table(retention);
  table.add(here, addition("a", 4));
  table.settle({{here, 1}}, 100001);
  LONGS_EQUAL(0, table.recentCount());
  LONGS_EQUAL(1, table.rememberedCount());
  TallyTable::AddOutcome const again = table.add(here, addition("a", 4, 107000));
  CHECK(again.result == AddResult::repeated);
  CHECK(!again.position);
  expectTotal(4, table);
}
TEST(tallyTable, repeatsAreDetectedForTheRetentionOnly) {
  TallyTable table(retention);
  table.add(here, addition("a", 4, 100000));
  table.settle({{here, 1}}, 200000);
  table.forget(100000 + retention.count());
  CHECK(table.add(here, addition("a", 4, 100000 + retention.count())).result == AddResult::repeated);
  std::int64_t const later = 100000 + retention.count() * 5 / 4;
  CHECK(table.add(here, addition("a", 4, later)).result == AddResult::added);
  table.forget(100000 + 2 * retention.count());
  LONGS_EQUAL(0, table.rememberedCount());
}
TEST(tallyTable, nodesThatExpireKeysAtDifferentTimesAgree) {
  TallyTable quick(retention), slow(retention);
  for (TallyTable* table : {&quick, &slow}) {
    table->apply(batch(here, 1, {addition("a", 4, 100000)}));
    table->settle({{here, 1}}, 200000);
  }
  quick.forget(200000);
  TallyAdd const late = addition("a", 4, 100000 + 2 * retention.count());
  quick.apply(batch(there, 1, {late}));
  slow.apply(batch(there, 1, {late}));
  expectTotal(8, quick);
  expectTotal(8, slow);
}
TEST(tallyTable, onlyOldAdditionsThatAllMembersHaveAreSettled) {
  TallyTable table(retention);
  table.apply(batch(there, 1, {addition("a", 1, 100), addition("b", 1, 200), addition("c", 1, 300)}));
  table.settle({{there, 2}}, 200);
  LONGS_EQUAL(2, table.recentCount());
  LONGS_EQUAL(1, sequenceIn(table.settled(), there));
  LONGS_EQUAL(2, table.additionsAfter(there, 1, 3, 10).first);
  LONGS_EQUAL(2, table.additionsAfter(there, 1, 3, 10).adds.size());
  LONGS_EQUAL(1, table.additionsAfter(there, 1, 3, 1).adds.size());
  LONGS_EQUAL(1, table.additionsAfter(there, 1, 2, 10).adds.size());
}
TEST(tallyTable, aStateRestoresAnEmptyTable) {
  TallyTable table(retention);
  table.apply(batch(here, 1, {addition("a", 4), addition("b", 5)}));
  table.settle({{here, 1}}, 200000);
  TallyTable empty(retention);
  CHECK(empty.install(table.state()));
  expectTotal(9, empty);
  CHECK(empty.known() == table.known());
  CHECK(empty.add(there, addition("a", 4)).result == AddResult::repeated);
  CHECK(empty.add(there, addition("b", 5)).result == AddResult::repeated);
}
TEST(tallyTable, installingAStateKeepsLocalAdditions) {
  TallyTable theirs(retention), own(retention);
  theirs.apply(batch(there, 1, {addition("a", 4)}));
  theirs.settle({{there, 1}}, 200000);
  own.add(here, addition("a", 4));
  own.add(here, addition("b", 5));
  CHECK(own.install(theirs.state()));
  expectTotal(9, own);
  LONGS_EQUAL(2, own.lastOf(here));
}
TEST(tallyTable, aStateThatLacksLocallySettledAdditionsIsRefused) {
  TallyTable own(retention);
  own.add(here, addition("a", 4));
  own.settle({{here, 1}}, 200000);
  CHECK(!own.install(TallyTable(retention).state()));
  expectTotal(4, own);
}
TEST(tallyTable, totalsMayExceedSixtyFourBits) {
  TallyTable table(retention);
  constexpr std::int64_t most = std::int64_t(1) << 53;
  vector<TallyAdd> adds;
  for (int i = 0; i < 2048; ++i) adds.push_back(addition("up" + std::to_string(i), most));
  table.apply(batch(here, 1, adds));
  STRCMP_EQUAL("18446744073709551616", textOf(table.total("t")).c_str());
  TallyTable copy(retention);
  copy.install(table.state());
  CHECK(copy.total("t") == table.total("t"));
  STRCMP_EQUAL("-18446744073709551616", textOf(-table.total("t")).c_str());
  STRCMP_EQUAL("0", textOf(0).c_str());
}
TEST(tallyTable, recordsRestoreATable) {
  string const additions = additionsRecord({batch(here, 1, {addition("a", 4)})});
  TallyRecord const read = deserialize<TallyRecord>(additions);
  LONGS_EQUAL(static_cast<int>(TallyRecordKind::additions), read.kind);
  TallyTable table(retention);
  for (AddBatch const& adds : read.batches) table.apply(adds);
  TallyRecord const whole = deserialize<TallyRecord>(stateRecord(table.state()));
  TallyTable second(retention);
  CHECK(second.install(whole.state.front()));
  expectTotal(4, second);
}
