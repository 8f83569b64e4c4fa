#include "segments/replica_table.hpp"
#include "lots/coordination/lease_grants.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace tealshelf;

TEST_GROUP(replicaTable){static LotRecord lot(std::uint64_t stamp){LotRecord record;
record.host = "h";
record.id = "lot";
record.itemCount = 1000;
record.stamp = GenerationStamp(stamp);
return record;
}
static bool refused(std::function<void()> call) {
  try {
    call();
  } catch (Error const& error) {
    return error.code() == ErrorCode::staleStamp || error.code() == ErrorCode::lotUnknown;
  }
  return false;
}
}
;

TEST(replicaTable, anotherStampIsRefused) {
  ReplicaTable table;
  table.create(lot(5), "items", {});
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a"});
  CHECK(refused([&] { table.append({"h", "lot"}, GenerationStamp(4), 1, {"b"}); }));
  CHECK(refused([&] { table.append({"h", "lot"}, GenerationStamp(6), 1, {"b"}); }));
  CHECK(refused([&] { table.read({"h", "lot"}, GenerationStamp(4)); }));
  CHECK(refused([&] { table.settle({"h", "lot"}, GenerationStamp(6), GenerationStamp(9), 0); }));
  CHECK(refused([&] { table.settle({"h", "lot"}, GenerationStamp(1), GenerationStamp(5), 0); }));
  CHECK(refused([&] { table.create(lot(4), "items", {}); }));
}
TEST(replicaTable, aRecoveryBlocksAppendsUntilItSettles) {
  ReplicaTable table;
  table.create(lot(5), "items", {});
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a", "b"});
  LONGS_EQUAL(2, table.inspect({"h", "lot"}).results);
  CHECK(refused([&] { table.append({"h", "lot"}, GenerationStamp(5), 2, {"c"}); }));
  table.settle({"h", "lot"}, GenerationStamp(5), GenerationStamp(8), 1);
  CHECK(refused([&] { table.append({"h", "lot"}, GenerationStamp(5), 1, {"c"}); }));
  table.append({"h", "lot"}, GenerationStamp(8), 1, {"c"});
  LONGS_EQUAL(2, table.read({"h", "lot"}, GenerationStamp(8)).results.size());
}
TEST(replicaTable, aRestartedReplicaRefusesAppendsUntilSettled) {
  ReplicaTable table, restarted;
  table.create(lot(5), "items", {});
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a"});
  for (string const& record : table.takeRecords()) restarted.replay(record);
  LONGS_EQUAL(1, restarted.find({"h", "lot"})->results.size());
  CHECK(refused([&] { restarted.append({"h", "lot"}, GenerationStamp(5), 1, {"b"}); }));
  restarted.settle({"h", "lot"}, GenerationStamp(5), GenerationStamp(6), 1);
  restarted.append({"h", "lot"}, GenerationStamp(6), 1, {"b"});
}
TEST(replicaTable, gapsAreRefusedAndRepeatsIgnored) {
  ReplicaTable table;
  table.create(lot(5), "items", {});
  CHECK(refused([&] { table.append({"h", "lot"}, GenerationStamp(5), 1, {"b"}); }));
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a"});
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a", "b"});
  LONGS_EQUAL(2, table.read({"h", "lot"}, GenerationStamp(5)).results.size());
}
TEST(replicaTable, staleReplicasAreDeleted) {
  ReplicaTable table;
  table.create(lot(5), "items", {});
  CHECK_FALSE(table.remove({"h", "lot"}, GenerationStamp(4)));
  CHECK(table.remove({"h", "lot"}, GenerationStamp(5)));
  POINTERS_EQUAL(nullptr, table.find({"h", "lot"}));
}
TEST(replicaTable, snapshotAndLogRestoreTheSameReplica) {
  ReplicaTable table, fromSnapshot, fromLog;
  table.create(lot(5), "items", {});
  table.append({"h", "lot"}, GenerationStamp(5), 0, {"a", "b", "c"});
  table.settle({"h", "lot"}, GenerationStamp(5), GenerationStamp(7), 2);
  for (string const& record : table.snapshot()) fromSnapshot.replay(record);
  for (string const& record : table.takeRecords()) fromLog.replay(record);
  for (ReplicaTable const* const restored : {&fromSnapshot, &fromLog}) {
    LONGS_EQUAL(2, restored->find({"h", "lot"})->results.size());
    CHECK(restored->find({"h", "lot"})->lot.stamp == GenerationStamp(7));
  }
}

/// Simulates a primary, three stores and a coordinator under seeded restarts and lost messages. A result that was
/// listed, which requires that all holders of the record synced it, must keep its position. The mutant lists results
/// before all have synced them.
TEST(replicaTable, aListedResultNeverVanishes) {
  struct Store {
    ReplicaTable live;
    vector<string> disk;
    bool up = true;
    void sync() {
      for (string& record : live.takeRecords()) disk.push_back(std::move(record));
    }
    void restart(bool loseUnsynced) {
      if (!loseUnsynced) sync();
      live = ReplicaTable();
      for (string const& record : disk) live.replay(record);
      up = true;
    }
  };
  bool mutantCaught = false;
  for (int isMutant = 0; isMutant < 2; ++isMutant)
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      std::mt19937_64 random(seed);
      Store stores[3];
      GenerationStamp stamp(1), last(1);
      vector<int> holders = {0, 1, 2};
      for (Store& store : stores) {
        store.live.create(lot(1), "items", {});
        store.sync();
      }
      vector<string> listed;
      int next = 0;
      bool violated = false;
      // Readers see the results of the primary, which must extend what was listed before.
      auto const list = [&](vector<string> const& results) {
        violated =
            violated || results.size() < listed.size() || !std::equal(listed.begin(), listed.end(), results.begin());
        listed = results;
      };
      for (int step = 0; step < 300 && !violated; ++step) {
        int const event = static_cast<int>(random() % 8);
        if (event < 4) {
          // The primary appends at every holder and lists the result only if all have synced it.
          int const primary = holders[0];
          Replica const* const own = stores[primary].up ? stores[primary].live.find({"h", "lot"}) : nullptr;
          if (!own || own->lot.stamp != stamp) continue;
          std::uint64_t const from = own->results.size();
          string const result = "r" + std::to_string(next++);
          bool allSynced = true;
          for (int const i : holders) {
            // The append to the primary's own disk can't get lost, only a message to another holder.
            bool synced = stores[i].up && (i == primary || random() % 12 != 0);
            if (synced) {
              try {
                stores[i].live.append({"h", "lot"}, stamp, from, {result});
                stores[i].sync();
              } catch (Error const&) {
                synced = false;
              }
            }
            allSynced = allSynced && synced;
          }
          if (allSynced || (isMutant && random() % 4 == 0)) list(stores[primary].live.find({"h", "lot"})->results);
        } else if (event == 4) {
          Store& store = stores[random() % 3];
          if (store.up && stores[0].up + stores[1].up + stores[2].up == 3) store.up = false;
        } else if (event == 5) {
          for (Store& store : stores)
            if (!store.up) store.restart(random() % 2);
        } else {
          // The coordinator's recovery, which may stop after any step.
          vector<int> intact;
          std::uint64_t shortest = ~0ull;
          for (int const i : holders) {
            if (!stores[i].up) continue;
            InspectReplicaReply const reply = stores[i].live.inspect({"h", "lot"});
            if (!reply.known || reply.stamp < stamp) continue;
            intact.push_back(i);
            shortest = std::min(shortest, reply.results);
          }
          if (intact.size() < 2) continue;
          GenerationStamp const fresh(last.value + 1);
          last = fresh;
          vector<int> settled;
          for (int const i : intact) {
            if (random() % 10 == 0) continue;
            try {
              stores[i].live.settle({"h", "lot"}, stamp, fresh, shortest);
              stores[i].sync();
              settled.push_back(i);
            } catch (Error const&) {
            }
          }
          if (settled.size() < 2 || random() % 5 == 0) continue;
          for (int i = 0; i < 3; ++i) {
            if (std::find(settled.begin(), settled.end(), i) != settled.end() || !stores[i].up) continue;
            Replica const source = *stores[settled[0]].live.find({"h", "lot"});
            LotRecord const record = lot(fresh.value);
            stores[i].live.create(record, source.items, source.results);
            stores[i].sync();
            settled.push_back(i);
          }
          stamp = fresh;
          holders = settled;
          list(stores[settled[0]].live.find({"h", "lot"})->results);
        }
        for (int const i : holders) {
          Replica const* const replica = stores[i].up ? stores[i].live.find({"h", "lot"}) : nullptr;
          if (!replica || replica->lot.stamp != stamp) continue;
          for (std::size_t n = 0; n < listed.size(); ++n)
            violated = violated || n >= replica->results.size() || replica->results[n] != listed[n];
        }
      }
      if (isMutant)
        mutantCaught = mutantCaught || violated;
      else
        CHECK_FALSE_TEXT(violated, ("seed " + std::to_string(seed)).c_str());
      if (!isMutant) CHECK(!listed.empty());
    }
  CHECK_TEXT(mutantCaught, "the mutant, which lists results before every holder has synced them, was never caught");
}

TEST_GROUP(leases) {
  TimePoint const start = TimePoint() + std::chrono::hours(1);
  LeaseGrants grants{Ms(600), start};
  NodeId const store{7};
};

TEST(leases, aFencedLeaseIsNeverGrantedAgainButANewerOneIs) {
  TimePoint now = start + Ms(1000);
  CHECK(grants.renew(store, 5, true, now) == LeaseGrants::Decision::granted);
  CHECK(grants.fence(store, now + Ms(601)));
  CHECK(grants.renew(store, 5, true, now + Ms(700)) == LeaseGrants::Decision::fenced);
  CHECK(grants.renew(store, 6, true, now + Ms(800)) == LeaseGrants::Decision::granted);
}
TEST(leases, anActiveLeaseIsNotFencedAndStaysGranted) {
  TimePoint now = start + Ms(1000);
  CHECK(grants.renew(store, 5, true, now) == LeaseGrants::Decision::granted);
  CHECK_FALSE(grants.fence(store, now + Ms(600)));
  CHECK(grants.renew(store, 5, true, now + Ms(650)) == LeaseGrants::Decision::granted);
}
TEST(leases, aRestartedGrantorFencesOnlyAfterTheLeaseTime) {
  CHECK_FALSE(grants.fence(store, start + Ms(600)));
  CHECK(grants.fence(store, start + Ms(601)));
}
TEST(leases, anUnhealthyNodeGrantsNothing) {
  CHECK(grants.renew(store, 5, false, start) == LeaseGrants::Decision::notReady);
  CHECK(grants.fence(store, start + Ms(601)));
}
