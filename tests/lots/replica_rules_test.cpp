#include "lots/coordination/replica_rules.hpp"

#include <CppUTest/TestHarness.h>
#include <random>

#include "segments/replica_table.hpp"

using namespace tealshelf;

namespace {
LotRecord lotWith(std::uint64_t stamp) {
  LotRecord lot;
  lot.host = "h";
  lot.id = "lot";
  lot.state = LotState::accepted;
  lot.stamp = GenerationStamp(stamp);
  return lot;
}

/// A store and its disk.
struct Store {
  StoreRef ref;
  std::unique_ptr<ReplicaTable> replicas = std::make_unique<ReplicaTable>();
  vector<string> disk;
  bool up = true, gone = false;

  void sync() {
    for (string& record : replicas->takeRecords()) disk.push_back(std::move(record));
  }
  void restart(bool damaged) {
    replicas = std::make_unique<ReplicaTable>();
    for (string const& record : disk) replicas->replay(record);
    if (damaged) replicas->markAllDamaged();
    disk = replicas->snapshot();
    up = true;
  }
  void wipe(std::uint64_t identity) {
    disk.clear();
    ref.id = NodeId(identity);
    restart(false);
  }
};

/// Four stores, one lot and a coordinator that moves it away from the first store, which is to be removed.
class LotMigration {
 public:
  explicit LotMigration(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 4; ++i) stores_[i].ref = {NodeId(i + 1), "s" + std::to_string(i), "z", {}};
    for (std::size_t i = 0; i < 3; ++i) {
      lot_.holders.push_back(stores_[i].ref);
      create(stores_[i], lot_);
    }
  }
  /// Runs random faults until the first store may be removed, removes it and wipes another; true if the lot is lost.
  bool losesTheLot(bool trustsRecordAlone) {
    bool damaged = false;
    for (int step = 0; step < 200; ++step) {
      Store& other = stores_[1 + randomBelow(3)];
      if (!other.up)
        other.restart(false);
      else if (randomBelow(3) == 0 && allUp())
        other.up = false;
      // One loss of a disk, or of records on it, comes before the removal.
      else if (!damaged && randomBelow(8) == 0 && allUp()) {
        damaged = true;
        if (randomBelow(2))
          other.wipe(100);
        else
          other.restart(true);
      }
      if (randomBelow(3) == 0) recover();
      bool const finished =
          trustsRecordAlone ? !namesStore(lot_, "s0") : canRemoveStore(lot_, "s0", confirmAll(), needed);
      if (!finished || randomBelow(2)) continue;
      stores_[0].gone = finished_ = true;
      for (Store& store : stores_) store.restart(false);
      stores_[1 + randomBelow(3)].wipe(200);
      return copies() == 0;
    }
    return false;
  }

  bool finished() const { return finished_; }

 private:
  static constexpr std::size_t needed = 2;
  std::size_t randomBelow(std::size_t n) { return random_() % n; }
  bool allUp() const {
    return std::all_of(std::begin(stores_), std::end(stores_), [](Store const& store) { return store.up; });
  }
  Store* at(StoreRef const& ref) {
    for (Store& store : stores_)
      if (store.ref == ref && store.up && !store.gone) return &store;
    return nullptr;
  }
  static void create(Store& store, LotRecord const& lot) {
    store.replicas->create(lot, "items", {});
    store.sync();
  }
  std::size_t copies() const {
    std::size_t count = 0;
    for (Store const& store : stores_) count += !store.gone && store.replicas->holds({"h", "lot"}, lot_.stamp);
    return count;
  }
  ConfirmedReplicas confirmAll() {
    ConfirmedReplicas confirmed;
    ConfirmReplicas const request{{{lot_.host, lot_.id, lot_.stamp}}};
    for (StoreRef const& holder : lot_.holders)
      if (Store* const store = at(holder))
        confirmed.add(holder.id, request, {store->ref.id, 1, {store->replicas->holds({"h", "lot"}, lot_.stamp)}});
    return confirmed;
  }
  /// Recovery by the coordinator, which may fail at any point.
  void recover() {
    vector<StoreRef> kept, staying;
    GenerationStamp const fresh(++lastStamp_);
    for (StoreRef const& holder : lot_.holders) {
      Store* const store = at(holder);
      if (!store) continue;
      InspectReplicaReply const found = store->replicas->inspect({"h", "lot"});
      if (!found.known || found.stamp < lot_.stamp) continue;
      store->replicas->settle({"h", "lot"}, lot_.stamp, fresh, 0);
      store->sync();
      kept.push_back(holder);
    }
    if (kept.empty()) return;
    for (StoreRef const& holder : kept)
      if (holder.name != "s0") staying.push_back(holder);
    LotRecord next = lot_;
    next.stamp = fresh;
    for (Store& store : stores_) {
      bool const has = std::find(staying.begin(), staying.end(), store.ref) != staying.end();
      if (has || store.ref.name == "s0" || !store.up || staying.size() > needed || randomBelow(3) == 0) continue;
      create(store, next);
      staying.push_back(store.ref);
    }
    next.holders = holdersAfterRecovery(kept, staying, needed);
    if (next.holders.size() < std::min(needed, lot_.holders.size()) || randomBelow(5) == 0) return;
    lot_ = next;
  }

  std::mt19937_64 random_;
  Store stores_[4];
  LotRecord lot_ = lotWith(1);
  std::uint64_t lastStamp_ = 1;
  bool finished_ = false;
};
}  // namespace

TEST_GROUP(replicaRules){};

TEST(replicaRules, aStoreIsRemovedOnlyAfterOthersConfirmedTheirReplicas) {
  std::size_t lost = 0, finished = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    LotMigration migration(seed);
    CHECK_FALSE_TEXT(migration.losesTheLot(false), ("seed " + std::to_string(seed)).c_str());
    finished += migration.finished();
    lost += LotMigration(seed).losesTheLot(true);
  }
  CHECK(finished > 1000);
  CHECK_TEXT(lost > 0, "trusting the record alone never lost a lot");
}

TEST(replicaRules, aConfirmationByAnotherDiskIsIgnored) {
  LotRecord lot = lotWith(5);
  ConfirmReplicas const request{{{"h", "lot", GenerationStamp(5)}}};
  for (std::uint64_t const identity : {1u, 2u}) {
    ConfirmedReplicas confirmed;
    confirmed.add(NodeId(1), request, {NodeId(identity), 7, {true}});
    CHECK_EQUAL(identity == 1, confirmed.has(NodeId(1), lot));
    lot.stamp = GenerationStamp(6);
    CHECK_FALSE(confirmed.has(NodeId(1), lot));
    lot.stamp = GenerationStamp(5);
  }
}

/// Whichever synced record is lost, the store doesn't report an incomplete replica as intact.
TEST(replicaRules, aReplicaWithALostRecordIsNotHeld) {
  ReplicaTable replicas;
  vector<string> records;
  auto const syncRecords = [&] {
    for (string& record : replicas.takeRecords()) records.push_back(std::move(record));
  };
  replicas.create(lotWith(1), "items", {});
  for (std::uint64_t i = 0; i < 4; ++i) replicas.append({"h", "lot"}, GenerationStamp(1), i, {"result"});
  replicas.settle({"h", "lot"}, GenerationStamp(1), GenerationStamp(2), 4);
  replicas.append({"h", "lot"}, GenerationStamp(2), 4, {"result"});
  syncRecords();
  std::size_t incomplete = 0;
  for (std::size_t lost = 0; lost < records.size(); ++lost)
    for (bool const markedDamaged : {true, false}) {
      ReplicaTable damaged;
      for (std::size_t i = 0; i < records.size(); ++i)
        if (i != lost) damaged.replay(records[i]);
      if (markedDamaged) damaged.markAllDamaged();
      // The mark outlives a restart, and ends when the replica is created again.
      ReplicaTable later;
      for (string const& record : damaged.snapshot()) later.replay(record);
      InspectReplicaReply const found = later.inspect({"h", "lot"});
      if (!markedDamaged) {
        incomplete += found.known && found.results < 5;
        continue;
      }
      CHECK_FALSE(found.known);
      CHECK_FALSE(later.holds({"h", "lot"}, GenerationStamp(0)));
      later.create(lotWith(3), "items", {"result"});
      CHECK(later.holds({"h", "lot"}, GenerationStamp(3)));
    }
  CHECK_TEXT(incomplete > 0, "without the mark, no incomplete replica was reported as intact");
}

TEST(replicaRules, aStoreThatFailedThePrimaryMayGetAFreshCopy) {
  StoreRef const primary{NodeId(1), "a", "z1", {}}, failed{NodeId(2), "b", "z2", {}}, spare{NodeId(3), "c", "z3", {}};
  std::set<NodeId> const bad{failed.id};
  auto const among = [&](vector<StoreRef> const& live) {
    return [live](std::set<NodeId> const& excluded) {
      vector<StoreRef> chosen;
      for (StoreRef const& store : live)
        if (!excluded.count(store.id) && chosen.size() < 2) chosen.push_back(store);
      return chosen;
    };
  };
  // With only the primary left it may be used again; if it stayed excluded, the lot would have one store.
  CHECK((storesForRecovery(among({primary, failed}), bad, 2) == vector<StoreRef>{primary, failed}));
  LONGS_EQUAL(1, among({primary, failed})(bad).size());
  CHECK((storesForRecovery(among({primary, failed, spare}), bad, 2) == vector<StoreRef>{primary, spare}));
  LONGS_EQUAL(1, storesForRecovery(among({primary}), bad, 2).size());
}
