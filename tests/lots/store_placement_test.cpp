#include "lots/coordination/store_placement.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
constexpr std::uint64_t limit = 100;

FleetLoad fleetOf(std::size_t stores, std::uint64_t used) {
  FleetLoad fleet;
  fleet.stores.assign(stores, StoreLoad{used, 0, limit});
  fleet.lossesToTolerate = 2;
  fleet.neededCopies = 3;
  return fleet;
}
}  // namespace

TEST_GROUP(storePlacement){};

TEST(storePlacement, roomDependsOnThePurposeOfACopy) {
  StoreLoad const load{60, 20, limit};
  CHECK(hasRoom(load, CopyPurpose::admission, 10));
  CHECK_FALSE(hasRoom(load, CopyPurpose::admission, 11));
  CHECK(hasRoom(load, CopyPurpose::recovery, 40));
  CHECK_FALSE(hasRoom(load, CopyPurpose::recovery, 41));
  CHECK_FALSE(hasRoom(load, CopyPurpose::spare, 0));
  CHECK(hasRoom(StoreLoad{}, CopyPurpose::spare, 1e9));
}

/// Two of nine stores may be lost: admitted lots fit the remaining seven.
TEST(storePlacement, aLotIsAdmittedWhileItsCopiesFitTheRemainingStores) {
  CHECK(admits(fleetOf(9, 50), 10));
  CHECK_FALSE(admits(fleetOf(9, 70), 10));
  FleetLoad fleet = fleetOf(9, 70);
  // Spare copies don't count, as they are removed when needed copies lack space.
  fleet.neededCopyShare = 0.75;
  CHECK(admits(fleet, 10));
  // A loss that has happened no longer counts as a loss to tolerate.
  fleet = fleetOf(7, 70);
  fleet.lossesToTolerate = 0;
  CHECK(admits(fleet, 10));
  fleet.lossesToTolerate = 2;
  CHECK_FALSE(admits(fleet, 10));
}

TEST(storePlacement, expectedGrowthOfOpenLotsCounts) {
  FleetLoad fleet = fleetOf(9, 30);
  CHECK(admits(fleet, 10));
  for (StoreLoad& store : fleet.stores) store.expectedGrowth = 40;
  CHECK_FALSE(admits(fleet, 10));
}

TEST(storePlacement, aStoreThatReportsNoLoadRefusesNothing) {
  FleetLoad fleet = fleetOf(9, 100);
  fleet.stores[4] = StoreLoad{};
  CHECK(admits(fleet, 10));
}
