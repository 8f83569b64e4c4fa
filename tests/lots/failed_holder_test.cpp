#include "tests/lots/store_fleet.hpp"

using namespace tealshelf;

namespace {
constexpr int failedHolderPort = 17880;
}  // namespace

TEST_GROUP(failedHolder){};

/// All stores are over their limit, and a live holder with an intact replica failed the primary once. The lot must go
/// on under a fresh stamp, as this needs no room for a new copy.
TEST(failedHolder, aHolderWithAnIntactReplicaStaysWithoutFreeSpace) {
  StoreFleet fleet("/tmp/tealshelf-failed-holder", 3, 1, failedHolderPort);
  for (std::size_t store = 0; store < 3; ++store) CHECK(fleet.putFiller(store, 1350u << 10, 1));
  fleet.runUntil([] { return false; }, Ms(1000));
  CHECK(fleet.runUntil([&fleet] { return fleet.submit("lot", 1000) == 0; }, Ms(20000)));
  std::optional<LotRecord> const accepted = fleet.find("lot");
  CHECK(accepted.has_value());
  LONGS_EQUAL(2, accepted->holders.size());
  for (std::size_t store = 0; store < 3; ++store) CHECK(fleet.putFiller(store, 2800u << 10, 2));
  fleet.runUntil([] { return false; }, Ms(600));
  StoreHeartbeat report;
  report.self = accepted->holders[0];
  report.load = {3u << 20, 0, 1u << 20};
  report.failures.push_back({StoreFleet::host(), "lot", accepted->stamp, accepted->holders[1].id});
  CHECK_EQUAL(0, fleet.ask(fleet.controlAddress(), report).first);
  bool const goesOn = fleet.runUntil(
      [&] {
        std::optional<LotRecord> const lot = fleet.find("lot");
        return lot && lot->stamp > accepted->stamp && lot->holders.size() == 2 && fleet.isReadable("lot");
      },
      Ms(10000));
  CHECK(goesOn);
}
