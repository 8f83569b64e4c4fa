#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int admissionPort = 17900;
constexpr std::size_t admittedBytes = 60u << 10;
}  // namespace

TEST_GROUP(admissionAfterLoss){};

/// Admission control accepts lots until the stores can just hold all copies after the loss of one store. When a store
/// is then lost, its copies need the remaining space, so no further lot may be admitted before or after they are
/// restored.
TEST(admissionAfterLoss, noLotIsAdmittedAfterALossOnFullStores) {
  StoreFleet fleet("/tmp/tealshelf-admission-after-loss", 4, 1, admissionPort);
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("first", 1000) == 0; }, Ms(20000)));
  // Fills the stores so far that no spare copies are made. Store 0, which is lost below, holds only copies of lots.
  for (std::size_t store = 1; store < 4; ++store) CHECK(fleet.putFiller(store, 1600u << 10));
  fleet.runUntil([] { return false; }, Ms(1000));
  std::size_t copiesOnLostStore = 0, refusedInARow = 0;
  for (int number = 0; number < 60 && refusedInARow < 4; ++number) {
    string const id = hex(hash64(std::to_string(number)));
    bool const accepted = fleet.submit(id, admittedBytes) == 0;
    refusedInARow = accepted ? 0 : refusedInARow + 1;
    if (!accepted) {
      fleet.runUntil([] { return false; }, Ms(300));
      continue;
    }
    std::optional<LotRecord> const lot = fleet.find(id);
    CHECK(lot.has_value());
    for (StoreRef const& holder : lot->holders) copiesOnLostStore += holder.name == "store-0";
  }
  LONGS_EQUAL(4, refusedInARow);
  CHECK(copiesOnLostStore > 3);
  fleet.halt(0);
  std::size_t acceptedAfterLoss = 0;
  TimePoint const end = Clock::now() + Ms(3000);
  for (int number = 0; Clock::now() < end; ++number) {
    if (fleet.submit("late-" + std::to_string(number), admittedBytes) == 0) ++acceptedAfterLoss;
    fleet.runUntil([] { return false; }, Ms(5));
  }
  LONGS_EQUAL(0, acceptedAfterLoss);
}
