#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int admissionPort = 17900;
constexpr std::size_t admittedBytes = 60u << 10;
}  // namespace

TEST_GROUP(admissionAfterLoss){};

/// Lots are admitted until the stores have just room for all copies after one loss. Then one store is lost. Its copies
/// must be made anew elsewhere, so the loss makes no room for new lots, neither before its copies are made nor after.
TEST(admissionAfterLoss, aLossMakesNoRoomForNewLots) {
  StoreFleet fleet("/tmp/tealshelf-admission-after-loss", 4, 1, admissionPort);
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("first", 1000) == 0; }, Ms(20000)));
  // So full that no spare copies are made; the store that will be lost holds nothing but copies of lots.
  for (std::size_t store = 1; store < 4; ++store) CHECK(fleet.putFiller(store, 1600u << 10));
  fleet.runUntil([] { return false; }, Ms(1000));
  std::size_t onLost = 0, refusedInARow = 0;
  for (int number = 0; number < 60 && refusedInARow < 4; ++number) {
    string const id = hex(hash64(std::to_string(number)));
    bool const taken = fleet.submit(id, admittedBytes) == 0;
    refusedInARow = taken ? 0 : refusedInARow + 1;
    if (!taken) {
      fleet.runUntil([] { return false; }, Ms(300));
      continue;
    }
    std::optional<LotRecord> const lot = fleet.find(id);
    CHECK(lot.has_value());
    for (StoreRef const& holder : lot->holders) onLost += holder.name == "store-0";
  }
  LONGS_EQUAL(4, refusedInARow);
  CHECK(onLost > 3);
  fleet.halt(0);
  std::size_t acceptedSince = 0;
  TimePoint const end = Clock::now() + Ms(3000);
  for (int number = 0; Clock::now() < end; ++number) {
    if (fleet.submit("late-" + std::to_string(number), admittedBytes) == 0) ++acceptedSince;
    fleet.runUntil([] { return false; }, Ms(5));
  }
  LONGS_EQUAL(0, acceptedSince);
}
