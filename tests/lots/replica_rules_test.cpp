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

/// A store with its disk.
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

/// Four stores, one lot and a coordinator that moves it; the first store is to leave.
class LotMigration {
 public:
  explicit LotMigration(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 4; ++i) stores_[i].ref = {NodeId(i + 1), "s" + std::to_string(i), "z", {}};
    for (std::size_t i = 0; i < 3; ++i) {
      lot_.holders.push_back(stores_[i].ref);
      create(stores_[i], lot_);
    }
  }
  /// Plays until the first store may go, takes it away and wipes another: is the lot lost?
  bool losesTheLot(bool trustsRecordAlone) {
    bool damaged = false;
    for (int step = 0; step < 200; ++step) {
      Store& other = stores_[1 + randomBelow(3)];
      if (!other.up)
        other.restart(false);
      else if (randomBelow(3) == 0 && allUp())
        other.up = false;
      // One loss, of a disk or of records on it, comes before the end.
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
    ConfirmReplicas const question{{{lot_.host, lot_.id, lot_.stamp}}};
    for (StoreRef const& holder : lot_.holders)
      if (Store* const store = at(holder))
        confirmed.add(holder.id, question, {store->ref.id, 1, {store->replicas->holds({"h", "lot"}, lot_.stamp)}});
    return confirmed;
  }
  /// What the coordinator does; it may fail anywhere.
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

TEST(replicaRules, aStoreGoesOnlyWhenOthersSaidThatTheyHoldItsLots) {
  std::size_t caught = 0, finished = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    LotMigration moving(seed);
    CHECK_FALSE_TEXT(moving.losesTheLot(false), ("seed " + std::to_string(seed)).c_str());
    finished += moving.finished();
    caught += LotMigration(seed).losesTheLot(true);
  }
  CHECK(finished > 1000);
  CHECK_TEXT(caught > 0, "going by the record alone was never caught");
}

TEST(replicaRules, anAnswerOfAnotherDiskCountsForNothing) {
  LotRecord lot = lotWith(5);
  ConfirmReplicas const question{{{"h", "lot", GenerationStamp(5)}}};
  for (std::uint64_t const identity : {1u, 2u}) {
    ConfirmedReplicas confirmed;
    confirmed.add(NodeId(1), question, {NodeId(identity), 7, {true}});
    CHECK_EQUAL(identity == 1, confirmed.has(NodeId(1), lot));
    lot.stamp = GenerationStamp(6);
    CHECK_FALSE(confirmed.has(NodeId(1), lot));
    lot.stamp = GenerationStamp(5);
  }
}

/// Whichever synced record is lost, the store doesn't call a replica whole that lacks results.
TEST(replicaRules, aReplicaWithALostRecordDoesntCountAsHeld) {
  ReplicaTable replicas;
  vector<string> records;
  auto const note = [&] {
    for (string& record : replicas.takeRecords()) records.push_back(std::move(record));
  };
  replicas.create(lotWith(1), "items", {});
  for (std::uint64_t i = 0; i < 4; ++i) replicas.append({"h", "lot"}, GenerationStamp(1), i, {"result"});
  replicas.settle({"h", "lot"}, GenerationStamp(1), GenerationStamp(2), 4);
  replicas.append({"h", "lot"}, GenerationStamp(2), 4, {"result"});
  note();
  std::size_t tooFew = 0;
  for (std::size_t lost = 0; lost < records.size(); ++lost)
    for (bool const markedDamaged : {true, false}) {
      ReplicaTable damaged;
      for (std::size_t i = 0; i < records.size(); ++i)
        if (i != lost) damaged.replay(records[i]);
      if (markedDamaged) damaged.markAllDamaged();
      // The doubt outlives the next start, and ends once the replica is made anew.
      ReplicaTable later;
      for (string const& record : damaged.snapshot()) later.replay(record);
      InspectReplicaReply const found = later.inspect({"h", "lot"});
      if (!markedDamaged) {
        tooFew += found.known && found.results < 5;
        continue;
      }
      CHECK_FALSE(found.known);
      CHECK_FALSE(later.holds({"h", "lot"}, GenerationStamp(0)));
      later.create(lotWith(3), "items", {"result"});
      CHECK(later.holds({"h", "lot"}, GenerationStamp(3)));
    }
  CHECK_TEXT(tooFew > 0, "a replica that lacks results was never taken for whole");
}

TEST(replicaRules, aStoreThatFailedTheWriterMayGetAFreshCopy) {
  StoreRef const writer{NodeId(1), "a", "z1", {}}, failed{NodeId(2), "b", "z2", {}}, spare{NodeId(3), "c", "z3", {}};
  std::set<NodeId> const bad{failed.id};
  auto const among = [&](vector<StoreRef> const& live) {
    return [live](std::set<NodeId> const& barred) {
      vector<StoreRef> chosen;
      for (StoreRef const& store : live)
        if (!barred.count(store.id) && chosen.size() < 2) chosen.push_back(store);
      return chosen;
    };
  };
  // Alone with the writer it is taken again; the rule that bars it for good would leave the lot with one store.
  CHECK((storesForRecovery(among({writer, failed}), bad, 2) == vector<StoreRef>{writer, failed}));
  LONGS_EQUAL(1, among({writer, failed})(bad).size());
  CHECK((storesForRecovery(among({writer, failed, spare}), bad, 2) == vector<StoreRef>{writer, spare}));
  LONGS_EQUAL(1, storesForRecovery(among({writer}), bad, 2).size());
}
